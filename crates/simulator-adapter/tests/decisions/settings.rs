//! The settings of a simulated site, and the JSON text with which a node is started.

/// The effect of executing a request twice.
#[derive(Clone, Copy)]
pub enum Effect {
    Idempotent,
    /// Repeated requests are deduplicated within this scope, for this time in microseconds.
    Deduplicated(&'static str, u64),
    NonIdempotent,
}

#[derive(Clone, Copy)]
pub struct RequestClass {
    pub effect: Effect,
    pub slo_us: u64,
    pub client_timeout_us: u32,
    pub value: f64,
    pub value_after_slo: f64,
}

impl RequestClass {
    pub const READ: RequestClass = RequestClass {
        effect: Effect::Idempotent,
        slo_us: 300_000,
        client_timeout_us: 900_000,
        value: 1.0,
        value_after_slo: 0.0,
    };
    pub const WRITE: RequestClass = RequestClass {
        effect: Effect::Deduplicated("all", 600_000),
        slo_us: 500_000,
        client_timeout_us: 1_500_000,
        value: 2.0,
        value_after_slo: 0.0,
    };
}

#[derive(Clone)]
pub struct Settings {
    /// Whether caches fetch from the origin themselves on a cache miss. Otherwise the node sends an attempt
    /// to the origin.
    pub through: bool,
    pub nodes: u16,
    /// Whether nodes request the endpoint list. Otherwise the list is pushed to them.
    pub list_on_request: bool,
    pub only_draining_binds: bool,
    /// The meaning of the size of a list entry.
    pub weight_kind: &'static str,
    pub value_per: &'static str,
    pub report_columns: &'static [&'static str],
    pub request_classes: Vec<RequestClass>,
    pub max_attempts: u8,
    pub hedged_requests: bool,
    pub may_cancel: bool,
    pub max_retry_after_us: u64,
    pub cold_from: f64,
    pub warm_after_us: u64,
    pub fall_multiple: f64,
    pub fall_us: u64,
    pub max_poll_interval_us: u64,
    pub tenants: &'static [&'static str],
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            through: false,
            nodes: 2,
            list_on_request: false,
            only_draining_binds: false,
            weight_kind: "silent",
            value_per: "request",
            report_columns: &[],
            request_classes: vec![RequestClass::READ, RequestClass::WRITE],
            max_attempts: 4,
            hedged_requests: false,
            may_cancel: true,
            max_retry_after_us: 1_500_000,
            cold_from: 0.25,
            warm_after_us: 8_000_000,
            fall_multiple: 3.0,
            fall_us: 2_000_000,
            max_poll_interval_us: 10_000_000,
            tenants: &[],
        }
    }
}

impl Settings {
    /// The JSON text of the settings for the node with this number.
    pub fn text(&self, node: u16, zones: u16) -> String {
        let request_classes: Vec<String> = self.request_classes.iter().map(request_class_text).collect();
        let zones: Vec<String> = (0..zones).map(|zone| format!("\"zone-{zone}\"")).collect();
        let tenant = |name: &&str| format!(r#"{{"Name":"{name}","QuotaPerS":50.0,"Share":0.5}}"#);
        let tenants: Vec<String> = self.tenants.iter().map(tenant).collect();
        let (mode, origin_kind) = if self.through { ("through", -1) } else { ("aside", 1) };
        let discovery = if self.list_on_request { "ask" } else { "push" };
        let columns: Vec<String> = self.report_columns.iter().map(|c| format!("\"{c}\"")).collect();
        [
            format!(r#"{{"BilledValuePer":"{}","Discovery":"{discovery}","#, self.value_per),
            format!(r#""Bounds":{{"MostShots":{},"MayCancel":{},"#, self.max_attempts, self.may_cancel),
            format!(r#""SecondCopies":{},"RetryAfter":true,"#, self.hedged_requests),
            format!(r#""MaxRetryAfterUs":{}}},"#, self.max_retry_after_us),
            format!(r#""LoadInfo":{{"How":"piggyback","Columns":[{}]}},"#, columns.join(",")),
            format!(r#""MyNumber":{node},"Siblings":{},"Tenants":[{}],"#, self.nodes, tenants.join(",")),
            format!(r#""Products":[{}],"Zones":[{}],"#, request_classes.join(","), zones.join(",")),
            format!(r#""Rules":{{"ColdFrom":{},"FallMultiple":{},"#, self.cold_from, self.fall_multiple),
            format!(r#""FallUs":{},"WarmAfterUs":{},"#, self.fall_us, self.warm_after_us),
            format!(r#""MustAskInUs":{},"#, self.max_poll_interval_us),
            format!(r#""OnlyDrainingBinds":{}}},"#, self.only_draining_binds),
            format!(r#""Shapes":["cache","origin"],"WeightKind":"{}","#, self.weight_kind),
            format!(r#""Specifics":{{"Mode":"{mode}","OriginKind":{origin_kind}}}}}"#),
        ]
        .concat()
    }
}

fn request_class_text(request_class: &RequestClass) -> String {
    let (effect, scope, window) = match request_class.effect {
        Effect::Idempotent => ("read_like", "all", 0),
        Effect::Deduplicated(scope, window) => ("idempotency_key", scope, window),
        Effect::NonIdempotent => ("non_idempotent", "all", 0),
    };
    [
        format!(r#"{{"Effect":"{effect}","DedupScope":"{scope}","WindowUs":{window},"#),
        format!(
            r#""LatencySloUs":{},"ClientTimeoutUs":{},"#,
            request_class.slo_us, request_class.client_timeout_us
        ),
        format!(
            r#""BilledValue":{},"TardyBilledValue":{}}}"#,
            request_class.value, request_class.value_after_slo
        ),
    ]
    .concat()
}
