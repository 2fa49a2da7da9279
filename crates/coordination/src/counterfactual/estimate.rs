//! The result of an estimation: an estimate with its confidence interval, or [`NoSupport`].

/// There are too few suitable requests for an estimate, so there is no figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there are too few suitable requests in the sample for an estimate")]
pub struct NoSupport;

/// An estimate with its 95% confidence interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The point estimate.
    pub mean: f64,
    /// The lower end of the confidence interval.
    pub low: f64,
    /// The upper end of the confidence interval.
    pub high: f64,
    /// The probability that chance alone gives an estimate at least as far from the hypothesis.
    pub p_value: f64,
    /// Whether the estimate holds without any single forwarder, which may be cut off from a cache, or lie.
    pub is_corroborated: bool,
    /// The number of requests from which the mean is estimated.
    pub requests: usize,
    /// The strata that the estimate covers; empty for estimates by randomized assignment.
    pub strata: Vec<Stratum>,
}

/// The work class and candidate positions of one part of the requests that an estimate covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stratum {
    /// The work class.
    pub work_class: u8,
    /// The positions among the candidates that the estimate covers.
    pub positions: Vec<usize>,
}
