//! How the log is written: a line of text for people, or a JSON object a line for programs.

use std::io::Write;

use env_logger::{Builder, Env};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

use super::command::LogFormat;

/// Starts the log; `RUST_LOG` says what is in it.
pub fn start(format: LogFormat) {
    let mut log = Builder::from_env(Env::default().default_filter_or("info"));
    if format == LogFormat::Json {
        log.format(|out, record| {
            let mut fields = Fields(Map::new());
            fields.put("time", out.timestamp_millis().to_string().into());
            fields.put("level", record.level().as_str().to_lowercase().into());
            fields.put("part", record.target().into());
            fields.put("message", record.args().to_string().into());
            // Visiting fails only where a field does, and none of these does.
            let _ = record.key_values().visit(&mut fields);
            writeln!(out, "{}", serde_json::Value::Object(fields.0))
        });
    }
    log.init();
}

/// The fields of a line, by name.
struct Fields(Map<String, serde_json::Value>);

impl Fields {
    fn put(&mut self, name: &str, value: serde_json::Value) {
        self.0.insert(name.into(), value);
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(truth)) => truth.into(),
            _ => value.to_string().into(),
        };
        self.put(key.as_str(), json);
        Ok(())
    }
}
