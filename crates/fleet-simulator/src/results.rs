//! The counters that the simulation of a day returns.

/// Counts of the requests that arrived in one second of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondCounts {
    /// Requests, each counted at its first submission.
    pub requests: usize,
    /// Requests of this second that were fulfilled within the SLO.
    pub within_slo: usize,
}

/// Counters over one day. Each request is counted at its client's first submission; retries belong to the
/// same request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunResult {
    /// Requests, each counted at its first submission.
    pub requests: usize,
    /// Requests that were fulfilled within the SLO, counted from the first submission.
    pub within_slo: usize,
    /// Submissions by clients, including retries and the submissions during the warm-up.
    pub submissions: usize,
    /// Requests that were fulfilled after the SLO.
    pub late: usize,
    /// Submissions that a node rejected with a rate limit.
    pub rate_limited: usize,
    /// Submissions that a node answered with an error.
    pub errored: usize,
    /// Attempts at caches.
    pub cache_attempts: usize,
    /// Attempts that a cache rejected because its queue was full.
    pub cache_rejections: usize,
    /// Attempts that a cache fulfilled.
    pub cache_hits: usize,
    /// Attempts to which a cache responded with a cache miss.
    pub cache_misses: usize,
    /// Attempts whose connection was never established.
    pub unreachable: usize,
    /// Attempts that received no response in time.
    pub timed_out: usize,
    /// Attempts that a node cancelled.
    pub cancelled: usize,
    /// Attempts at the origin.
    pub origin_attempts: usize,
    /// Attempts that the origin rejected.
    pub origin_rejections: usize,
    /// Requests that the origin fulfilled after the SLO.
    pub origin_late: usize,
    /// Reads sent to the origin, by second of the day.
    pub origin_reads: Vec<usize>,
    /// Attempts that were sent to a cache while it hung.
    pub attempts_at_hung_caches: usize,
    /// Attempts that were sent to a hung cache 3 s or more after the hang began. Since the hang can be
    /// detected by then, these attempts are probes.
    pub probes_of_hung_caches: usize,
    /// Messages that nodes and planners sent.
    pub messages_sent: usize,
    /// Connections that were opened.
    pub handshakes: usize,
    /// Submissions with no final response, more than one, or one after the client's deadline. A count above
    /// zero is a fault of the balancer or the simulator.
    pub invariant_violations: usize,
    /// Attempts that started while another attempt of the same request was in flight. A count above zero is a
    /// fault, since the settings do not permit hedged requests.
    pub duplicate_attempts: usize,
    /// Requests by the second in which they were first submitted.
    pub by_second: Vec<SecondCounts>,
}

impl RunResult {
    /// Returns an empty result for a day of this length, in seconds.
    pub fn with_duration(seconds: f64) -> RunResult {
        let seconds = seconds.ceil() as usize + 1;
        RunResult {
            by_second: vec![SecondCounts::default(); seconds],
            origin_reads: vec![0; seconds],
            ..RunResult::default()
        }
    }

    /// Returns the share of the requests that were fulfilled within the SLO.
    pub fn service_level(&self) -> f64 {
        self.within_slo as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of the attempts at caches that were rejected.
    pub fn rejection_ratio(&self) -> f64 {
        self.cache_rejections as f64 / self.cache_attempts.max(1) as f64
    }

    /// Returns a count divided by the number of requests.
    pub fn per_request(&self, count: usize) -> f64 {
        count as f64 / self.requests.max(1) as f64
    }

    /// Returns the service level of the requests that arrived from second `from`, inclusive, to second `to`,
    /// exclusive.
    pub fn service_level_between(&self, from: usize, to: usize) -> f64 {
        let mut requests = 0;
        let mut within_slo = 0;
        for second in self.by_second.iter().skip(from).take(to - from) {
            requests += second.requests;
            within_slo += second.within_slo;
        }
        within_slo as f64 / requests.max(1) as f64
    }

    /// Returns the lowest service level of any interval of this many seconds.
    pub fn worst_service_level(&self, seconds: usize) -> f64 {
        let starts = 0..=self.by_second.len().saturating_sub(seconds);
        starts.map(|start| self.service_level_between(start, start + seconds)).fold(1.0, f64::min)
    }
}
