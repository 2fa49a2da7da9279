//! What is played: the size of a fleet, its load, its servers and its faults.

use granitelb_balancer::time::Span;

use crate::faults::Fault;
use crate::mind::Policy;

/// One fleet and one day of it. Times are in seconds from the start.
#[derive(Clone, Debug)]
pub struct Play {
    pub policy: Policy,
    pub nodes: usize,
    pub caches: usize,
    pub zones: usize,
    /// Work asked of caches as a share of what they can do.
    pub load: f64,
    /// Standard deviation of the logarithm of a node's share of the calls.
    pub node_spread: f64,
    /// Places that wait at a cache, beside the one at work; drawn for each cache between these two.
    pub queue: (usize, usize),
    /// Mean work of a read that a cache holds, and its coefficient of variation.
    pub work: Span,
    pub work_cv: f64,
    /// Standard deviation of the logarithm of a key's work; calls tell of it.
    pub size_spread: f64,
    /// Popularity falls as (rank + offset) to the power of minus this.
    pub zipf: f64,
    pub offset: f64,
    /// Hits of one cache as large as all together, and for how many seconds of calls it keeps what was asked for.
    pub hits: f64,
    pub keep_s: f64,
    /// What the origin can take, as a multiple of the usual misses and writes.
    pub origin_headroom: f64,
    pub origin_time: Span,
    pub writes: f64,
    /// The work that a new connection costs a cache, and its round trips.
    pub handshake: Span,
    pub handshake_trips: f64,
    pub idle: Span,
    pub connect_timeout: Span,
    /// One way within a zone, and between zones.
    pub near: Span,
    pub far: Span,
    /// The list tells of a change after a time drawn between these, at each node.
    pub notice: (f64, f64),
    /// Clients whose call was rate-limited or errored come once more, with this chance.
    pub comes_again: f64,
    /// Of those, how many heed the time to come back; the others come after 60 ms.
    pub heeds: f64,
    /// Caches are filled in so many seconds before the day, with an origin that takes all.
    pub warm_up: f64,
    pub seconds: f64,
    pub faults: Vec<Fault>,
    /// None: each node learns alone.
    pub planners: usize,
    pub together: Together,
    /// What is leased of the origin's fetches, as a multiple of what it stands.
    pub whole: f64,
    /// Thousandths of that which are each node's own for ever, and which are handed out as standing parts.
    pub reserve: u32,
    pub standing: u32,
    /// The share of letters that never arrive.
    pub loss: f64,
    /// When all planners are dead, if ever; they come back knowing nothing.
    pub planners_dead: Option<(f64, f64)>,
    pub seed: u64,
}

/// What nodes and planners decide together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Together {
    /// What caches fail, and whose turn it is to try them.
    pub verdicts: bool,
    /// Of the origin's fetches and of cold caches' work.
    pub leases: bool,
}

impl Together {
    pub const ALL: Together = Together { verdicts: true, leases: true };
    pub const VERDICTS: Together = Together { verdicts: true, leases: false };
    pub const LEASES: Together = Together { verdicts: false, leases: true };
}

impl Default for Play {
    fn default() -> Play {
        Play {
            policy: Policy::Module,
            nodes: 300,
            caches: 200,
            zones: 3,
            load: 0.55,
            node_spread: 0.7,
            queue: (1, 2),
            work: Span::from_millis(28),
            work_cv: 0.4,
            size_spread: 0.8,
            zipf: 1.05,
            offset: 3.0,
            hits: 0.9,
            keep_s: 8.0,
            origin_headroom: 2.5,
            origin_time: Span::from_millis(90),
            writes: 0.08,
            handshake: Span::from_millis(2),
            handshake_trips: 2.0,
            idle: Span::from_millis(10_000),
            connect_timeout: Span::from_millis(250),
            near: Span(200),
            far: Span(8_000),
            notice: (1.4, 4.4),
            comes_again: 0.5,
            heeds: 0.6,
            warm_up: 6.0,
            seconds: 20.0,
            faults: Vec::new(),
            planners: 0,
            together: Together::ALL,
            whole: 1.0,
            reserve: 500,
            standing: 0,
            loss: 0.05,
            planners_dead: None,
            seed: 1,
        }
    }
}

/// The SLO of both products, and the client timeouts of reads and of writes.
pub const SLO: Span = Span::from_millis(600);
pub const READ_TIMEOUT: Span = Span::from_millis(1200);
pub const WRITE_TIMEOUT: Span = Span::from_millis(1500);
pub const MOST_SHOTS: u8 = 4;

impl Play {
    /// Calls a second over the whole fleet that ask so much work of caches.
    pub fn rate(&self) -> f64 {
        self.load * self.caches as f64 / self.work.as_secs_f64() / (1.0 - self.writes)
    }
}
