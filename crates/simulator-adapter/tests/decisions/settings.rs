//! The settings of a simulated site, written as the text that a node is started with.

/// What running a request twice would do.
#[derive(Clone, Copy)]
pub enum Effect {
    Read,
    /// Repeats are dropped in this scope, for so many microseconds.
    Idempotent(&'static str, u64),
    NonIdempotent,
}

#[derive(Clone, Copy)]
pub struct Product {
    pub effect: Effect,
    pub slo_us: u64,
    pub client_timeout_us: u32,
    pub value: f64,
    pub late_value: f64,
}

impl Product {
    pub const READ: Product = Product {
        effect: Effect::Read,
        slo_us: 300_000,
        client_timeout_us: 900_000,
        value: 1.0,
        late_value: 0.0,
    };
    pub const WRITE: Product = Product {
        effect: Effect::Idempotent("all", 600_000),
        slo_us: 500_000,
        client_timeout_us: 1_500_000,
        value: 2.0,
        late_value: 0.0,
    };
}

#[derive(Clone)]
pub struct Settings {
    /// Caches fetch what they lack themselves; else the node asks the origin.
    pub through: bool,
    pub nodes: u16,
    /// The list comes on request; else it is pushed.
    pub list_on_request: bool,
    pub only_draining_binds: bool,
    /// What an entry's size means.
    pub sizes: &'static str,
    pub value_per: &'static str,
    pub report_columns: &'static [&'static str],
    pub products: Vec<Product>,
    pub most_attempts: u8,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub max_retry_after_us: u64,
    pub cold_from: f64,
    pub warm_after_us: u64,
    pub fall_multiple: f64,
    pub fall_us: u64,
    pub must_ask_in_us: u64,
    pub tenants: &'static [&'static str],
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            through: false,
            nodes: 2,
            list_on_request: false,
            only_draining_binds: false,
            sizes: "silent",
            value_per: "request",
            report_columns: &[],
            products: vec![Product::READ, Product::WRITE],
            most_attempts: 4,
            second_copies: false,
            may_cancel: true,
            max_retry_after_us: 1_500_000,
            cold_from: 0.25,
            warm_after_us: 8_000_000,
            fall_multiple: 3.0,
            fall_us: 2_000_000,
            must_ask_in_us: 10_000_000,
            tenants: &[],
        }
    }
}

impl Settings {
    /// The text for the node of this number.
    pub fn text(&self, node: u16, zones: u16) -> String {
        let products: Vec<String> = self.products.iter().map(product_text).collect();
        let zones: Vec<String> = (0..zones).map(|zone| format!("\"zone-{zone}\"")).collect();
        let tenant = |name: &&str| format!(r#"{{"Name":"{name}","QuotaPerS":50.0,"Share":0.5}}"#);
        let tenants: Vec<String> = self.tenants.iter().map(tenant).collect();
        let (mode, origin_kind) = if self.through { ("through", -1) } else { ("aside", 1) };
        let discovery = if self.list_on_request { "ask" } else { "push" };
        let columns: Vec<String> = self.report_columns.iter().map(|c| format!("\"{c}\"")).collect();
        [
            format!(r#"{{"BilledValuePer":"{}","Discovery":"{discovery}","#, self.value_per),
            format!(r#""Bounds":{{"MostShots":{},"MayCancel":{},"#, self.most_attempts, self.may_cancel),
            format!(r#""SecondCopies":{},"RetryAfter":true,"#, self.second_copies),
            format!(r#""MaxRetryAfterUs":{}}},"#, self.max_retry_after_us),
            format!(r#""LoadInfo":{{"How":"piggyback","Columns":[{}]}},"#, columns.join(",")),
            format!(r#""MyNumber":{node},"Siblings":{},"Tenants":[{}],"#, self.nodes, tenants.join(",")),
            format!(r#""Products":[{}],"Zones":[{}],"#, products.join(","), zones.join(",")),
            format!(r#""Rules":{{"ColdFrom":{},"FallMultiple":{},"#, self.cold_from, self.fall_multiple),
            format!(r#""FallUs":{},"WarmAfterUs":{},"#, self.fall_us, self.warm_after_us),
            format!(r#""MustAskInUs":{},"#, self.must_ask_in_us),
            format!(r#""OnlyDrainingBinds":{}}},"#, self.only_draining_binds),
            format!(r#""Shapes":["cache","origin"],"WeightKind":"{}","#, self.sizes),
            format!(r#""Specifics":{{"Mode":"{mode}","OriginKind":{origin_kind}}}}}"#),
        ]
        .concat()
    }
}

fn product_text(product: &Product) -> String {
    let (effect, scope, window) = match product.effect {
        Effect::Read => ("read_like", "all", 0),
        Effect::Idempotent(scope, window) => ("idempotency_key", scope, window),
        Effect::NonIdempotent => ("non_idempotent", "all", 0),
    };
    [
        format!(r#"{{"Effect":"{effect}","DedupScope":"{scope}","WindowUs":{window},"#),
        format!(r#""LatencySloUs":{},"ClientTimeoutUs":{},"#, product.slo_us, product.client_timeout_us),
        format!(r#""BilledValue":{},"TardyBilledValue":{}}}"#, product.value, product.late_value),
    ]
    .concat()
}
