//! Classes of requests (the settings call them products).

use serde::Deserialize;

use super::InvalidValue;

/// What executing a request twice does at the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEffect {
    /// Nothing: a read.
    Idempotent,
    /// Nothing while the origin remembers the request's idempotency key: a write that may be retried.
    Deduplicated,
    /// A second effect: a write that must not be retried once it may have executed.
    NonIdempotent,
}

/// One class of requests. Every request that is not idempotent is a write.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The class's name, the first part of request paths.
    pub name: String,
    /// What executing a request twice does.
    pub effect: RequestEffect,
    /// The latency objective, in milliseconds.
    pub slo_ms: u64,
    /// How long clients wait for a final answer, in milliseconds.
    pub timeout_ms: u64,
    /// What a fulfilled request is worth, relative to other classes.
    #[serde(default = "one")]
    pub value: f64,
    /// The weight of this class in the mix of requests.
    #[serde(default = "one")]
    pub share: f64,
}

impl RequestClass {
    /// Whether requests of this class are writes.
    pub fn writes(&self) -> bool {
        self.effect != RequestEffect::Idempotent
    }
}

fn one() -> f64 {
    1.0
}

/// One class of each effect, mostly reads.
pub(super) fn default_request_classes() -> Vec<RequestClass> {
    let class = |name: &str, effect, value, share| RequestClass {
        name: name.into(),
        effect,
        slo_ms: 400,
        timeout_ms: 1000,
        value,
        share,
    };
    vec![
        class("summary", RequestEffect::Idempotent, 1.0, 0.9),
        class("rename", RequestEffect::Deduplicated, 2.0, 0.06),
        class("transfer", RequestEffect::NonIdempotent, 4.0, 0.04),
    ]
}

/// Checks that there is a class, that each has a name, and that the shares can be drawn from.
pub(super) fn check(classes: &[RequestClass]) -> Result<(), InvalidValue> {
    if classes.is_empty() || classes.iter().any(|class| class.name.is_empty()) {
        return Err(InvalidValue::rule("product", "at least one, and each with a name"));
    }
    let total_share: f64 = classes.iter().map(|class| class.share).sum();
    if total_share.is_nan() || total_share <= 0.0 || classes.iter().any(|class| class.share < 0.0) {
        return Err(InvalidValue::rule("product.share", "shares are not negative, and one is over 0"));
    }
    Ok(())
}
