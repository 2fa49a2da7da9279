//! What is played, and what came of it.

/// What is played. Times are in seconds from the start.
#[derive(Clone, Debug)]
pub struct Play {
    pub forwarders: usize,
    pub caches: usize,
    /// None: each forwarder learns alone.
    pub planners: usize,
    /// Calls a second of one forwarder.
    pub rate: f64,
    pub keys: f64,
    pub seconds: f64,
    /// Caches that hang, and when.
    pub hung: usize,
    pub hang: (f64, f64),
    /// When planners stand still, if ever: they neither say nor hear anything.
    pub planners_dead: Option<(f64, f64)>,
    /// The first so many of them do.
    pub dead: usize,
    /// When every forwarder that has a turn just then dies, if ever.
    pub holders_die: Option<f64>,
    /// The share of reports and plans that never arrive.
    pub loss: f64,
    /// The share of those that arrive with a bit changed.
    pub spoilt: f64,
    /// A planner that says of every cache that it fails, and one forwarder that reports the same.
    pub liar: bool,
    pub seed: u64,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            forwarders: 400,
            caches: 70,
            planners: 2,
            rate: 1.5,
            keys: 20_000.0,
            seconds: 30.0,
            hung: 1,
            hang: (8.0, 20.0),
            planners_dead: None,
            dead: usize::MAX,
            holders_die: None,
            loss: 0.05,
            spoilt: 0.0,
            liar: false,
            seed: 1,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Came {
    pub calls: usize,
    pub fulfilled: usize,
    /// Fulfilled within the SLO.
    pub in_time: usize,
    pub rate_limited: usize,
    pub errored: usize,
    /// Shots sent to a cache while it hung.
    pub wasted: usize,
    /// Of those, the ones sent more than 3 s after it began to.
    pub wasted_late: usize,
    /// The longest that nothing was sent to a cache that hung, from the fourth second of the hang to its end; none if the
    /// hang is shorter.
    pub longest_quiet: Option<f64>,
    /// Forwarders that died.
    pub died: usize,
    /// From their death to the next shot at the cache that hangs, in seconds.
    pub taken_over_after: Option<f64>,
    /// From the end of the hang until the caches that hung answered half of what others do, in seconds.
    pub back_after: Option<f64>,
    /// Letters that were sent and not lost, and the bytes in all of them.
    pub letters: usize,
    pub bytes: usize,
    /// Letters that were refused as what they are not.
    pub refused: usize,
    /// Calls with more than one final answer, or none.
    pub unsound: usize,
}
