//! The parameters of a synthetic trace.

/// How caches, keys and clients of a trace differ from the ordinary. The example's command line takes these
/// names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All caches have the same properties.
    Calm,
    /// One cache takes three times as long for all work.
    Slow,
    /// A third of all requests are for three keys.
    Hot,
    /// A quarter of the caches have a third of the others' hit rate.
    Cold,
    /// A third of the caches are quicker, and four in five heavy requests, of which there are many, go to the
    /// quickest of their candidates. The work confounds the choice of the cache and the time.
    Confounded,
    /// Six in ten requests are cancelled early, heavy requests sooner than others. One cache is slow.
    CutShort,
    /// A quarter of the requests go to a random candidate of the three, as if nodes' information about caches
    /// differed much.
    Scattered,
}

/// All scenarios, in the order in which the example prints them.
pub const SCENARIOS: [Scenario; 7] = [
    Scenario::Calm,
    Scenario::Scattered,
    Scenario::Slow,
    Scenario::Hot,
    Scenario::Cold,
    Scenario::Confounded,
    Scenario::CutShort,
];

/// The parameters of a trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceConfig {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The number of forwarders.
    pub nodes: usize,
    /// The number of caches.
    pub caches: u64,
    /// The length of the trace in seconds.
    pub seconds: f64,
    /// The number of sampled requests. The estimators receive no other requests.
    pub requests: usize,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that arrive twice.
    pub duplication: f64,
}

impl Default for TraceConfig {
    fn default() -> TraceConfig {
        TraceConfig {
            scenario: Scenario::Calm,
            seed: 1,
            nodes: 24,
            caches: 20,
            seconds: 600.0,
            requests: 20_000,
            loss: 0.05,
            duplication: 0.05,
        }
    }
}
