//! The output of the log: lines of plain text for people, or one JSON object per line for programs.

use std::io::{self, Write};

use env_logger::fmt::Formatter;
use env_logger::{Builder, Env};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

use super::arguments::LogFormat;

const DEFAULT_FILTER: &str = "info";

/// Starts logging to standard error. The environment variable `RUST_LOG` sets the filter.
pub fn start(format: LogFormat) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
    if format == LogFormat::Json {
        builder.format(write_json);
    }
    builder.init();
}

/// Writes a record as a JSON object with `time` (RFC 3339, in milliseconds), `level`, `part`, `message` and
/// the record's own fields.
fn write_json(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut fields = JsonFields(Map::new());
    fields.insert("time", out.timestamp_millis().to_string().into());
    fields.insert("level", record.level().as_str().to_lowercase().into());
    fields.insert("part", record.target().into());
    fields.insert("message", record.args().to_string().into());
    // Visiting fails only if the visitor returns an error, which `JsonFields` never does.
    let _ = record.key_values().visit(&mut fields);
    writeln!(out, "{}", serde_json::Value::Object(fields.0))
}

/// The fields of a log record by name.
struct JsonFields(Map<String, serde_json::Value>);

impl JsonFields {
    fn insert(&mut self, name: &str, value: serde_json::Value) {
        self.0.insert(name.into(), value);
    }
}

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else {
            value.to_string().into()
        };
        self.insert(key.as_str(), json);
        Ok(())
    }
}
