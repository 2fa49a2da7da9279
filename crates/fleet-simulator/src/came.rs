//! What came of a day.

/// Counts over the day, calls by the first try of a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Came {
    /// First tries, and of them those fulfilled within the SLO counted from the first try.
    pub calls: usize,
    pub in_time: usize,
    /// Tries: a client that comes again makes one more.
    pub tries: usize,
    pub late: usize,
    pub rate_limited: usize,
    pub errored: usize,
    /// Shots at caches and at the origin, and what came of those at caches.
    pub shots: usize,
    pub full: usize,
    pub hits: usize,
    pub misses: usize,
    pub unreachable: usize,
    pub timed_out: usize,
    pub recalled: usize,
    pub at_origin: usize,
    pub origin_full: usize,
    /// Calls that the origin fulfilled after the SLO.
    pub origin_late: usize,
    /// Reads sent to the origin, by second of the day.
    pub origin_reads: Vec<usize>,
    /// Shots at caches while they hung, and of those the ones after 3 s.
    pub wasted: usize,
    pub trials: usize,
    /// Letters that were sent.
    pub letters: usize,
    pub handshakes: usize,
    /// Tries with more than one final answer, none, or one after the client's time.
    pub unsound: usize,
    /// Two shots of one call out at once.
    pub copies: usize,
    /// First tries and those in time, by the second they came in.
    pub by_second: Vec<(usize, usize)>,
}

impl Came {
    /// Of a day of so many seconds.
    pub fn of(seconds: f64) -> Came {
        let seconds = seconds.ceil() as usize + 1;
        Came { by_second: vec![(0, 0); seconds], origin_reads: vec![0; seconds], ..Came::default() }
    }

    pub fn service(&self) -> f64 {
        self.in_time as f64 / self.calls.max(1) as f64
    }

    /// Of the shots at caches, the share turned away.
    pub fn full_share(&self) -> f64 {
        self.full as f64 / self.shots.max(1) as f64
    }

    pub fn per_call(&self, n: usize) -> f64 {
        n as f64 / self.calls.max(1) as f64
    }

    /// Service of the calls that came in these seconds.
    pub fn service_between(&self, from: usize, to: usize) -> f64 {
        let part = self.by_second.iter().skip(from).take(to - from);
        let (calls, good) = part.fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        good as f64 / calls.max(1) as f64
    }

    /// Service of the worst stretch of this length.
    pub fn worst(&self, seconds: usize) -> f64 {
        let starts = 0..=self.by_second.len().saturating_sub(seconds);
        starts.map(|s| self.service_between(s, s + seconds)).fold(1.0, f64::min)
    }
}
