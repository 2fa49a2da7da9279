//! The recorded streams: the properties of each simulated site, and the incidents at the site.

use crate::endpoint::Fault;
use crate::settings::{Effect, RequestClass, Settings};

/// Columns of a load report that the balancer uses, and one that it ignores, in an unusual order.
const ALL_COLUMNS: &[&str] = &["outstanding", "throughput", "utilization", "recent_ms"];
const QUEUE_COLUMN: &[&str] = &["backlog"];

/// A simulated site. Caches are numbered from 1, and cache `number` is in the zone `number % zones`.
pub struct Site {
    pub seed: u64,
    pub seconds: u64,
    pub settings: Settings,
    pub caches: u16,
    pub zones: u16,
    pub cache_workers: usize,
    pub origin_workers: usize,
    /// Requests per second at all nodes together.
    pub requests_per_s: u64,
    pub keys: u64,
    pub work_us: (u64, u64),
    /// Whether requests state their work.
    pub states_work: bool,
    pub write_share: f64,
    /// Share of the clients that disconnect before their timeout.
    pub disconnect_share: f64,
    /// Whether all caches have started one second before the stream.
    pub starts_cold: bool,
    /// The incidents, each with its time in seconds from the start of the stream.
    pub incidents: Vec<(f64, Incident)>,
}

impl Default for Site {
    fn default() -> Site {
        Site {
            seed: 1,
            seconds: 30,
            settings: Settings::default(),
            caches: 6,
            zones: 2,
            cache_workers: 2,
            origin_workers: 12,
            requests_per_s: 200,
            keys: 900,
            work_us: (4_000, 30_000),
            states_work: true,
            write_share: 0.1,
            disconnect_share: 0.02,
            starts_cold: false,
            incidents: Vec::new(),
        }
    }
}

/// An incident at a site. Caches and nodes are identified by number; durations are in seconds.
pub enum Incident {
    /// A cache starts draining.
    Drain(u16),
    /// The endpoint list reports a cache as removed.
    Remove(u16),
    /// A cache restarts: cold, and with an empty store.
    Restart(u16),
    /// An endpoint (0 is the origin) has a fault for a share of its attempts, for a duration.
    EndpointFault(u16, Fault, f64, f64),
    /// All caches of a zone have a fault, for a duration.
    ZoneFault(u16, Fault, f64),
    /// The request rate is multiplied by a factor, for a duration.
    LoadSurge(f64, f64),
    /// Watches on the endpoint list are refused, for a duration.
    WatchesRefused(f64),
    /// Responses to watches have an additional delay, for a duration.
    WatchesDelayed(f64, f64),
    /// All open watches end.
    WatchesLost,
    /// The complete endpoint list omits this many caches, from the first on.
    ListOmits(usize),
    StopNode(u16),
    StartNode(u16),
    /// Nodes that start after this incident have these settings.
    SettingsChange(Box<Settings>),
}

use Fault::*;
use Incident::*;

/// Normal load, then load surges above the capacity of the caches and the origin.
pub fn crowd_aside() -> Site {
    Site {
        seed: 11,
        requests_per_s: 220,
        incidents: vec![(6.0, LoadSurge(4.0, 6.0)), (18.0, LoadSurge(8.0, 4.0))],
        ..Site::default()
    }
}

/// Nodes request the endpoint list, and some of these requests fail; caches drain, are removed and restart.
pub fn list_on_request() -> Site {
    let request_classes =
        vec![RequestClass::READ, RequestClass { value_after_slo: 0.5, ..RequestClass::WRITE }];
    Site {
        seed: 12,
        settings: Settings {
            nodes: 4,
            list_on_request: true,
            weight_kind: "nominal",
            request_classes,
            ..Settings::default()
        },
        incidents: vec![
            (0.0, WatchesRefused(1.5)),
            (5.0, Drain(1)),
            (7.0, Remove(1)),
            (8.0, WatchesLost),
            (8.0, WatchesRefused(4.0)),
            (9.0, Drain(2)),
            (9.5, Remove(2)),
            (14.0, Restart(1)),
            (16.0, Restart(2)),
            (19.0, WatchesDelayed(3.0, 1.0)),
            (19.0, WatchesLost),
            (23.0, Remove(5)),
            (24.0, LoadSurge(4.0, 3.0)),
        ],
        ..Site::default()
    }
}

/// All caches start cold during a load surge; later five of them restart one after the other.
pub fn cold_starts() -> Site {
    Site {
        seed: 13,
        settings: Settings { nodes: 3, weight_kind: "rough", fall_multiple: 1.5, ..Settings::default() },
        starts_cold: true,
        requests_per_s: 300,
        incidents: vec![
            (1.0, LoadSurge(3.0, 3.0)),
            (11.0, Restart(1)),
            (13.0, Restart(2)),
            (15.0, Restart(3)),
            (17.0, LoadSurge(3.0, 4.0)),
            (18.0, Restart(4)),
            (20.0, Restart(5)),
        ],
        ..Site::default()
    }
}

/// Caches hang, reset connections, fail, reject attempts, are slow or cannot be reached.
pub fn ill_caches() -> Site {
    Site {
        seed: 14,
        settings: Settings { nodes: 2, ..Settings::default() },
        incidents: vec![
            (3.0, EndpointFault(1, Hung, 1.0, 5.0)),
            (7.0, EndpointFault(2, Resetting, 0.5, 4.0)),
            (10.0, EndpointFault(3, Unreachable, 1.0, 5.0)),
            (13.0, EndpointFault(4, Failing, 0.7, 3.0)),
            (16.0, EndpointFault(5, Hung, 0.4, 5.0)),
            (20.0, EndpointFault(6, Rejecting, 0.6, 3.0)),
            (23.0, EndpointFault(1, Slow(8.0), 1.0, 4.0)),
            (24.0, EndpointFault(2, Unreachable, 0.5, 3.0)),
            (27.0, EndpointFault(3, NotSent, 0.3, 3.0)),
        ],
        ..Site::default()
    }
}

/// All caches of a zone hang or cannot be reached, while a request may have two attempts in progress
/// (hedging).
pub fn silent_zone() -> Site {
    let request_classes =
        vec![RequestClass { value_after_slo: 0.6, ..RequestClass::READ }, RequestClass::WRITE];
    Site {
        seed: 15,
        settings: Settings { nodes: 3, hedged_requests: true, request_classes, ..Settings::default() },
        caches: 12,
        zones: 3,
        incidents: vec![
            (4.0, ZoneFault(1, Hung, 7.0)),
            (14.0, ZoneFault(2, Unreachable, 5.0)),
            (22.0, ZoneFault(0, Hung, 2.0)),
            (23.0, ZoneFault(1, Hung, 1.0)),
            (23.0, ZoneFault(2, Hung, 1.0)),
        ],
        ..Site::default()
    }
}

/// The origin is slow, rejects attempts and hangs. Late responses still have a value.
pub fn slow_origin() -> Site {
    let read = RequestClass { value_after_slo: 0.4, ..RequestClass::READ };
    Site {
        seed: 16,
        settings: Settings {
            request_classes: vec![read, RequestClass::WRITE],
            max_attempts: 3,
            ..Settings::default()
        },
        keys: 4000,
        requests_per_s: 160,
        incidents: vec![
            (4.0, EndpointFault(0, Slow(5.0), 1.0, 6.0)),
            (13.0, EndpointFault(0, Rejecting, 0.7, 3.0)),
            (18.0, EndpointFault(0, Hung, 1.0, 3.0)),
            (24.0, EndpointFault(1, Unreachable, 1.0, 4.0)),
            (24.0, EndpointFault(2, Unreachable, 1.0, 4.0)),
            (24.0, EndpointFault(3, Hung, 1.0, 4.0)),
            (24.0, EndpointFault(4, Hung, 1.0, 4.0)),
            (24.0, EndpointFault(5, Rejecting, 1.0, 4.0)),
            (24.0, EndpointFault(6, Rejecting, 1.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// Caches fetch from the origin themselves and send load reports with several columns.
pub fn through_with_reports() -> Site {
    Site {
        seed: 17,
        settings: Settings {
            through: true,
            nodes: 3,
            weight_kind: "nominal",
            report_columns: ALL_COLUMNS,
            ..Settings::default()
        },
        states_work: false,
        cache_workers: 8,
        origin_workers: 40,
        incidents: vec![
            (5.0, EndpointFault(2, Slow(5.0), 1.0, 5.0)),
            (12.0, LoadSurge(4.0, 4.0)),
            (18.0, Restart(3)),
            (20.0, EndpointFault(0, Slow(6.0), 1.0, 4.0)),
            (25.0, EndpointFault(4, Failing, 1.0, 3.0)),
        ],
        ..Site::default()
    }
}

/// Caches fetch from the origin themselves and report their queue lengths; some or most of them hang.
pub fn through_with_hung_caches() -> Site {
    Site {
        seed: 18,
        settings: Settings { through: true, report_columns: QUEUE_COLUMN, ..Settings::default() },
        caches: 9,
        cache_workers: 8,
        origin_workers: 40,
        work_us: (4_000, 45_000),
        incidents: vec![
            (3.0, EndpointFault(1, Hung, 1.0, 5.0)),
            (9.0, EndpointFault(2, Hung, 1.0, 4.0)),
            (9.0, EndpointFault(3, Hung, 1.0, 4.0)),
            (9.0, EndpointFault(4, Hung, 1.0, 4.0)),
            (14.0, EndpointFault(0, Hung, 1.0, 4.0)),
            (20.0, EndpointFault(5, Hung, 0.3, 6.0)),
            (20.0, EndpointFault(6, Hung, 0.3, 6.0)),
            (26.0, ZoneFault(1, Hung, 2.0)),
        ],
        ..Site::default()
    }
}

/// Writes that are deduplicated within a zone, a cell or everywhere, for short windows, while caches fail.
pub fn idempotent_writes() -> Site {
    let write =
        |scope, window| RequestClass { effect: Effect::Deduplicated(scope, window), ..RequestClass::WRITE };
    let request_classes =
        vec![RequestClass::READ, write("zone", 250_000), write("cell", 700_000), write("all", 120_000)];
    Site {
        seed: 19,
        settings: Settings { through: true, request_classes, ..Settings::default() },
        write_share: 0.4,
        requests_per_s: 140,
        cache_workers: 8,
        origin_workers: 40,
        incidents: vec![
            (2.0, EndpointFault(1, Resetting, 0.5, 25.0)),
            (4.0, EndpointFault(2, Resetting, 0.3, 22.0)),
            (8.0, EndpointFault(3, Failing, 0.4, 8.0)),
            (12.0, LoadSurge(4.0, 5.0)),
            (19.0, EndpointFault(4, Hung, 0.6, 6.0)),
            (22.0, EndpointFault(5, Rejecting, 0.5, 6.0)),
        ],
        ..Site::default()
    }
}

/// Non-idempotent writes at a site that forbids cancellations. Nodes send them to the origin.
pub fn non_idempotent_writes() -> Site {
    let write = RequestClass { effect: Effect::NonIdempotent, ..RequestClass::WRITE };
    Site {
        seed: 20,
        settings: Settings {
            request_classes: vec![RequestClass::READ, write],
            may_cancel: false,
            max_retry_after_us: 0,
            ..Settings::default()
        },
        write_share: 0.4,
        incidents: vec![
            (3.0, EndpointFault(0, Resetting, 0.3, 4.0)),
            (8.0, EndpointFault(0, Rejecting, 0.5, 4.0)),
            (13.0, EndpointFault(0, Unreachable, 0.5, 4.0)),
            (18.0, EndpointFault(1, Hung, 1.0, 5.0)),
            (20.0, LoadSurge(4.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// Non-idempotent writes that caches forward to the origin.
pub fn non_idempotent_through() -> Site {
    let write = RequestClass { effect: Effect::NonIdempotent, ..RequestClass::WRITE };
    Site {
        seed: 21,
        settings: Settings {
            through: true,
            nodes: 5,
            request_classes: vec![RequestClass::READ, write],
            ..Settings::default()
        },
        write_share: 0.4,
        requests_per_s: 140,
        cache_workers: 8,
        origin_workers: 40,
        incidents: vec![
            (3.0, EndpointFault(1, Resetting, 0.6, 5.0)),
            (9.0, EndpointFault(2, Unreachable, 0.8, 5.0)),
            (14.0, ZoneFault(0, Rejecting, 3.0)),
            (19.0, EndpointFault(3, Hung, 1.0, 4.0)),
            (23.0, LoadSurge(4.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// A single node and tenants with quotas. Responses are valued by work, which requests do not state, and late
/// responses to reads have half the value.
pub fn one_node() -> Site {
    let read = RequestClass { value_after_slo: 0.5, ..RequestClass::READ };
    Site {
        seed: 22,
        settings: Settings {
            nodes: 1,
            value_per: "work",
            request_classes: vec![read, RequestClass::WRITE],
            tenants: &["first", "second"],
            ..Settings::default()
        },
        states_work: false,
        incidents: vec![
            (5.0, LoadSurge(5.0, 5.0)),
            (14.0, EndpointFault(2, Hung, 1.0, 4.0)),
            (20.0, Drain(3)),
            (23.0, Restart(4)),
        ],
        ..Site::default()
    }
}

/// Many nodes, each of which has a small share of every limit.
pub fn many_nodes() -> Site {
    Site {
        seed: 23,
        settings: Settings { nodes: 30, ..Settings::default() },
        requests_per_s: 260,
        incidents: vec![
            (5.0, LoadSurge(4.0, 6.0)),
            (14.0, Restart(1)),
            (16.0, EndpointFault(2, Hung, 1.0, 5.0)),
            (22.0, EndpointFault(0, Slow(6.0), 1.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// The endpoint list omits caches that were not reported as draining: few, then many. The caches continue to
/// serve.
pub fn doubted_lists() -> Site {
    Site {
        seed: 24,
        settings: Settings { only_draining_binds: true, ..Settings::default() },
        caches: 8,
        incidents: vec![
            (4.0, ListOmits(1)),
            (8.0, ListOmits(4)),
            (13.0, ListOmits(0)),
            (16.0, Remove(2)),
            (18.0, Drain(3)),
            (20.0, ListOmits(8)),
            (25.0, ListOmits(2)),
        ],
        ..Site::default()
    }
}

/// Nodes are killed and restart, some of them with changed settings.
pub fn nodes_restart() -> Site {
    let before =
        Settings { nodes: 3, list_on_request: true, max_poll_interval_us: 1_500_000, ..Settings::default() };
    let after = Settings { weight_kind: "nominal", may_cancel: false, fall_us: 1_000_000, ..before.clone() };
    Site {
        seed: 25,
        settings: before,
        incidents: vec![
            (5.0, StopNode(1)),
            (6.9, WatchesDelayed(2.0, 0.5)),
            (7.0, StartNode(1)),
            (10.0, SettingsChange(Box::new(after))),
            (11.0, StopNode(2)),
            (11.0, StartNode(2)),
            (14.0, StopNode(0)),
            (15.0, Drain(1)),
            (16.0, StartNode(0)),
            (18.0, LoadSurge(4.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// More keys than a node tracks weights for; a few of the keys receive most of the requests.
pub fn many_keys() -> Site {
    Site {
        seed: 26,
        settings: Settings { nodes: 1, weight_kind: "nominal", ..Settings::default() },
        caches: 10,
        keys: 40_000,
        requests_per_s: 450,
        work_us: (1_000, 6_000),
        origin_workers: 30,
        incidents: vec![(20.0, Restart(1)), (23.0, Drain(2))],
        ..Site::default()
    }
}

/// Few keys, some of which exceed the share of a single cache, so that nodes spread them over several caches.
pub fn heavy_keys() -> Site {
    Site {
        seed: 27,
        settings: Settings { through: true, nodes: 8, ..Settings::default() },
        caches: 12,
        keys: 40,
        incidents: vec![(10.0, Drain(1)), (14.0, LoadSurge(4.0, 4.0)), (20.0, Restart(2))],
        ..Site::default()
    }
}
