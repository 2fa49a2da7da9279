//! The result of an estimation: a figure with its interval, or that there is no support for one.

/// No node's choice gives evidence, so there is no figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no node's choice gives evidence")]
pub struct NoSupport;

/// An estimate with its 95% confidence interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The point estimate.
    pub mean: f64,
    /// The lower end of the interval.
    pub low: f64,
    /// The upper end of the interval.
    pub high: f64,
    /// The probability of as large a figure, or a larger one, by chance alone.
    pub p_value: f64,
    /// Whether several forwarders saw it: it doesn't rest on a single one that is cut off from a cache, or lies.
    pub is_corroborated: bool,
    /// The number of requests on which it rests.
    pub requests: usize,
    /// What it speaks of; empty for estimates by randomized assignment.
    pub strata: Vec<Stratum>,
}

/// The requests of one work class that are part of an estimate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stratum {
    /// The work class.
    pub work_class: u8,
    /// The positions among the candidates that are compared.
    pub positions: Vec<usize>,
}
