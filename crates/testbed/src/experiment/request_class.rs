//! Request classes, which experiment files call products.

use serde::Deserialize;

use super::InvalidValue;

/// The effect of executing a request twice at the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEffect {
    /// No second effect: a read.
    Idempotent,
    /// No second effect while the origin remembers the request's idempotency key: a write that may be
    /// retried.
    Deduplicated,
    /// A second effect: a write that must not be retried once it may have executed.
    NonIdempotent,
}

/// A request class. All requests that are not idempotent are writes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The class's name, the first part of request paths.
    pub name: String,
    /// The effect of executing a request twice.
    pub effect: RequestEffect,
    /// The latency objective, in milliseconds.
    pub slo_ms: u64,
    /// How long clients wait for a final response, in milliseconds.
    pub timeout_ms: u64,
    /// The value of a fulfilled request, relative to other classes.
    #[serde(default = "one")]
    pub value: f64,
    /// The weight of this class when a request's class is drawn.
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

/// The default classes: one of each [`RequestEffect`], with 90% reads.
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

/// Checks that there is at least one class, that each class has a name, and that classes can be drawn by
/// share.
pub(super) fn check(classes: &[RequestClass]) -> Result<(), InvalidValue> {
    if classes.is_empty() || classes.iter().any(|class| class.name.is_empty()) {
        return Err(InvalidValue::rule(
            "product",
            "there must be at least one class, and each must have a name",
        ));
    }
    let total_share: f64 = classes.iter().map(|class| class.share).sum();
    if total_share.is_nan() || total_share <= 0.0 || classes.iter().any(|class| class.share < 0.0) {
        return Err(InvalidValue::rule(
            "product.share",
            "no share may be negative, and at least one must be over 0",
        ));
    }
    Ok(())
}
