//! Decodes the settings text, for the simulator's adapter and for the real node alike; keys that are not read
//! are skipped.

use std::fmt;

use granitelb_balancer::calls::LoadReport;
use granitelb_balancer::ids::KindId;
use granitelb_balancer::settings::{DedupScope, Effect, RequestClass, Settings};
use granitelb_balancer::time::Span;
use serde::Deserialize;

/// What the settings say to the decisions, and what they say to whoever hosts them on sockets.
#[derive(Clone, Debug, PartialEq)]
pub struct Decoded {
    pub decisions: Settings,
    pub names: Names,
    /// Each product's client timeout, for a call that names none.
    pub client_timeouts: Vec<Span>,
    /// A connection that is not up by then never will be.
    pub connect_limit: Span,
    /// How long a cache keeps an idle connection.
    pub keepalive: Span,
    /// What the figures of a load report mean, in their order.
    pub columns: Vec<Column>,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    Held,
    Waiting,
    ServiceMs,
    PerSecond,
    /// One that decides nothing.
    Other,
}

impl Column {
    pub fn of_name(name: &str) -> Column {
        match name {
            "outstanding" => Column::Held,
            "backlog" => Column::Waiting,
            "recent_ms" => Column::ServiceMs,
            "throughput" => Column::PerSecond,
            _ => Column::Other,
        }
    }
}

/// A load report from its figures; one that is negative or no number counts as not told.
pub fn report(figures: impl IntoIterator<Item = (Column, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, figure) in figures.into_iter().filter(|(_, f)| f.is_finite() && *f >= 0.0) {
        match column {
            Column::Held => report.held = Some(figure),
            Column::Waiting => report.waiting = Some(figure),
            Column::ServiceMs => report.service = Some(Span::from_secs_f64(figure / 1e3)),
            Column::PerSecond => report.per_s = Some(figure),
            Column::Other => {}
        }
    }
    report
}

/// Names by the numbers that stand for them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub request_classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// What is wrong with a text, and at which key.
#[derive(Debug)]
pub struct Fault {
    /// Empty where it is the text as a whole, such as for want of a key, which the trouble then names.
    pub key: String,
    pub trouble: String,
}

impl Fault {
    /// The same fault, seen from a text that holds this one under a key.
    pub fn under(self, key: &str) -> Fault {
        let key = if self.key.is_empty() { key.into() } else { format!("{key}.{}", self.key) };
        Fault { key, ..self }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = if self.key.is_empty() { "at its top" } else { &self.key };
        write!(f, "{key}: {}", self.trouble)
    }
}

impl std::error::Error for Fault {}

/// Reads a JSON text; what is wrong with it is told by its key.
pub fn read<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, Fault> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let read = serde_path_to_error::deserialize(&mut json).map_err(|fault| {
        let (path, trouble) = (fault.path().to_string(), fault.inner());
        let key = match path.as_str() {
            "." if trouble.is_syntax() || trouble.is_eof() => "the whole text",
            "." => "",
            path => path,
        };
        Fault { key: key.into(), trouble: trouble.to_string() }
    })?;
    json.end().map_err(|e| Fault { key: "after the text".into(), trouble: e.to_string() })?;
    Ok(read)
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Params {
    #[serde(default)]
    billed_value_per: String,
    bounds: Bounds,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    load_info: LoadInfo,
    #[serde(default)]
    shapes: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(rename = "Products")]
    request_classes: Vec<RequestClassParams>,
    rules: Rules,
    #[serde(default = "one")]
    siblings: u32,
    #[serde(default)]
    specifics: Specifics,
    #[serde(default)]
    weight_kind: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Bounds {
    connect_timeout_us: u64,
    keepalive_us: u64,
    max_retry_after_us: u64,
    may_cancel: bool,
    most_shots: u8,
    retry_after: bool,
    #[serde(rename = "SecondCopies")]
    hedged_requests: bool,
}

impl Default for Bounds {
    /// Nothing is allowed that is not said to be; the times are common ones.
    fn default() -> Bounds {
        Bounds {
            connect_timeout_us: 250_000,
            keepalive_us: 10_000_000,
            max_retry_after_us: 0,
            may_cancel: false,
            most_shots: 1,
            retry_after: false,
            hedged_requests: false,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RequestClassParams {
    #[serde(default = "one_f")]
    billed_value: f64,
    client_timeout_us: u64,
    #[serde(default)]
    name: String,
    #[serde(default)]
    dedup_scope: String,
    effect: String,
    latency_slo_us: u64,
    #[serde(default)]
    tardy_billed_value: f64,
    #[serde(default)]
    window_us: u64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Rules {
    cold_from: f64,
    fall_multiple: f64,
    fall_us: u64,
    must_ask_in_us: u64,
    only_draining_binds: bool,
    warm_after_us: u64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct LoadInfo {
    columns: Vec<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Specifics {
    mode: String,
    origin_kind: i64,
}

fn one() -> u32 {
    1
}

fn one_f() -> f64 {
    1.0
}

/// More products than this since a node's start, and it has to be started anew.
const MAX_REQUEST_CLASSES: usize = 256;
/// Stands before the name of a product that can't be asked for any more; no path has it.
const NOT_OFFERED: char = '\n';

impl Decoded {
    /// These settings for a node that serves under others: its products keep their places, also those that can't be
    /// asked for any more, and what differs in its terms is another product. A fault where that can't be done safely.
    pub fn after(&self, running: &Decoded) -> Result<Decoded, Fault> {
        let fault = |key: &str, trouble: &str| Fault { key: key.into(), trouble: trouble.into() };
        let (old, new) = (&running.decisions, &self.decisions);
        if old.origin != new.origin {
            return Err(fault("Specifics.OriginKind", "the origin is another"));
        }
        for (key, old, new) in [
            ("Shapes", &running.names.kinds, &self.names.kinds),
            ("Zones", &running.names.zones, &self.names.zones),
        ] {
            if !new.starts_with(old) {
                return Err(fault(key, "names that the list has used would change places"));
            }
        }
        let mut merged = Decoded {
            decisions: Settings { request_classes: old.request_classes.clone(), ..new.clone() },
            names: Names { request_classes: running.names.request_classes.clone(), ..self.names.clone() },
            client_timeouts: running.client_timeouts.clone(),
            ..self.clone()
        };
        merged.decisions.request_classes.iter_mut().for_each(|p| p.offered = false);
        merged
            .names
            .request_classes
            .iter_mut()
            .for_each(|name| *name = name.trim_start_matches(NOT_OFFERED).into());
        let known = merged.names.request_classes.clone();
        for (n, request_class) in new.request_classes.iter().enumerate() {
            let (name, timeout) = (&self.names.request_classes[n], self.client_timeouts[n]);
            let same = |at: &usize| {
                let mut held = old.request_classes[*at].clone();
                held.offered = true;
                held == *request_class && running.client_timeouts[*at] == timeout && known[*at] == *name
            };
            match (0..old.request_classes.len()).find(same) {
                Some(at) => merged.decisions.request_classes[at].offered = true,
                None => {
                    merged.decisions.request_classes.push(request_class.clone());
                    merged.names.request_classes.push(name.clone());
                    merged.client_timeouts.push(timeout);
                }
            }
        }
        if merged.decisions.request_classes.len() > MAX_REQUEST_CLASSES {
            return Err(fault("Products", "too many changed since the start"));
        }
        for (name, request_class) in
            merged.names.request_classes.iter_mut().zip(&merged.decisions.request_classes)
        {
            if !request_class.offered {
                name.insert(0, NOT_OFFERED);
            }
        }
        Ok(merged)
    }
}

/// Names the key of a figure that is no share, or under the least that it may be.
fn check(params: &Params) -> Result<(), Fault> {
    let share = |key: &str, value: f64| (key.to_string(), value, 0.0..=1.0);
    let least = |key: &str, value: f64| (key.to_string(), value, 0.0..=f64::MAX);
    let mut figures = vec![
        share("Rules.ColdFrom", params.rules.cold_from),
        least("Rules.FallMultiple", params.rules.fall_multiple),
    ];
    for (n, request_class) in params.request_classes.iter().enumerate() {
        figures.push(share(&format!("Products[{n}].TardyBilledValue"), request_class.tardy_billed_value));
        figures.push(least(&format!("Products[{n}].BilledValue"), request_class.billed_value));
    }
    match figures.into_iter().find(|(_, value, range)| !range.contains(value)) {
        Some((key, value, range)) => {
            let most = if *range.end() == 1.0 { "between 0 and 1" } else { "0 or more" };
            Err(Fault { key, trouble: format!("{value} is not {most}") })
        }
        None => Ok(()),
    }
}

pub fn decode(text: &[u8]) -> Result<Decoded, Fault> {
    let params: Params = read(text)?;
    check(&params)?;
    let specifics = &params.specifics;
    let origin = match specifics.mode.as_str() {
        "through" => None,
        "aside" => Some(KindId(u16::try_from(specifics.origin_kind).map_err(|_| Fault {
            key: "Specifics.OriginKind".into(),
            trouble: format!("{} is no place in Shapes", specifics.origin_kind),
        })?)),
        other => {
            let trouble = format!("{other:?} is neither \"aside\" nor \"through\"");
            return Err(Fault { key: "Specifics.Mode".into(), trouble });
        }
    };
    if params.weight_kind == "live" {
        let trouble = "sizes that follow the load are not served; load comes with reports".into();
        return Err(Fault { key: "WeightKind".into(), trouble });
    }
    let bounds = params.bounds;
    let rules = params.rules;
    let decisions = Settings {
        origin,
        request_classes: params.request_classes.iter().map(request_class).collect(),
        nodes: f64::from(params.siblings.max(1)),
        list_on_request: params.discovery == "ask",
        max_poll_interval: Span(rules.must_ask_in_us),
        only_draining_binds: rules.only_draining_binds,
        cold_from: rules.cold_from,
        warm_after: Span(rules.warm_after_us),
        fall_multiple: rules.fall_multiple,
        fall_window: Span(rules.fall_us),
        max_attempts: bounds.most_shots,
        hedged_requests: bounds.hedged_requests,
        may_cancel: bounds.may_cancel,
        max_retry_after: Span(if bounds.retry_after { bounds.max_retry_after_us } else { 0 }),
        value_by_work: params.billed_value_per == "work",
        steady_sizes: matches!(params.weight_kind.as_str(), "nominal" | "rough"),
    };
    Ok(Decoded {
        decisions,
        client_timeouts: params.request_classes.iter().map(|p| Span(p.client_timeout_us)).collect(),
        connect_limit: Span(bounds.connect_timeout_us),
        keepalive: Span(bounds.keepalive_us),
        columns: params.load_info.columns.iter().map(|name| Column::of_name(name)).collect(),
        names: Names {
            request_classes: params.request_classes.into_iter().map(|p| p.name).collect(),
            zones: params.zones,
            kinds: params.shapes,
        },
    })
}

fn request_class(params: &RequestClassParams) -> RequestClass {
    let scope = match params.dedup_scope.as_str() {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        _ => DedupScope::Cell,
    };
    RequestClass {
        slo: Span(params.latency_slo_us),
        billed_value: params.billed_value,
        value_after_slo: params.tardy_billed_value,
        offered: true,
        effect: match params.effect.as_str() {
            "read_like" => Effect::Idempotent,
            "idempotency_key" => Effect::Deduplicated { scope, window: Span(params.window_us) },
            // What is not known to be harmless is held to be harmful.
            _ => Effect::NonIdempotent,
        },
    }
}

#[cfg(test)]
mod tests;
