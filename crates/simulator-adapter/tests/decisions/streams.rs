//! The recorded streams: what each site is like, and what happens there.

use crate::endpoint::Trouble;
use crate::settings::{Effect, Product, Settings};

/// The columns of a load report that decide something, in an order of their own.
const ALL_COLUMNS: &[&str] = &["outstanding", "throughput", "utilization", "recent_ms"];
const QUEUE_COLUMN: &[&str] = &["backlog"];

/// A simulated site. Caches have the numbers from 1 on, and stand in the zone `number % zones`.
pub struct Site {
    pub seed: u64,
    pub seconds: u64,
    pub settings: Settings,
    pub caches: u16,
    pub zones: u16,
    pub cache_workers: usize,
    pub origin_workers: usize,
    /// Over all nodes together.
    pub requests_per_s: u64,
    pub keys: u64,
    pub work_us: (u64, u64),
    /// Whether requests tell their work.
    pub tells_work: bool,
    pub write_share: f64,
    /// Of the clients so many leave early.
    pub leaving_share: f64,
    /// Whether all caches started a second ago.
    pub starts_cold: bool,
    /// What happens, by the second.
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
            tells_work: true,
            write_share: 0.1,
            leaving_share: 0.02,
            starts_cold: false,
            incidents: Vec::new(),
        }
    }
}

/// Something that happens to a site. Caches and nodes are named by number, spans are in seconds.
pub enum Incident {
    Drain(u16),
    /// The list names a cache as gone.
    Remove(u16),
    /// A cache starts anew: cold, with nothing stored.
    Restart(u16),
    /// An endpoint has trouble with a share of its attempts, for a time; 0 is the origin.
    Trouble(u16, Trouble, f64, f64),
    ZoneTrouble(u16, Trouble, f64),
    /// So many times as many requests, for a time.
    Crowd(f64, f64),
    /// Watches on the list are refused.
    ListsFail(f64),
    /// Answers to watches come so much later, for a time.
    ListsSlow(f64, f64),
    WatchesLost,
    /// The full list comes without the first so many caches.
    ListForgets(usize),
    StopNode(u16),
    StartNode(u16),
    /// Nodes that start from now on have these settings.
    SettingsChange(Box<Settings>),
}

use Incident::*;
use Trouble::*;

/// A calm site, then a crowd that is over what caches and origin can do.
pub fn crowd_aside() -> Site {
    Site {
        seed: 11,
        requests_per_s: 220,
        incidents: vec![(6.0, Crowd(4.0, 6.0)), (18.0, Crowd(8.0, 4.0))],
        ..Site::default()
    }
}

/// The list comes on request, and requests for it fail; caches drain, go and come back.
pub fn list_on_request() -> Site {
    let products = vec![Product::READ, Product { late_value: 0.5, ..Product::WRITE }];
    Site {
        seed: 12,
        settings: Settings {
            nodes: 4,
            list_on_request: true,
            sizes: "nominal",
            products,
            ..Settings::default()
        },
        incidents: vec![
            (0.0, ListsFail(1.5)),
            (5.0, Drain(1)),
            (7.0, Remove(1)),
            (8.0, WatchesLost),
            (8.0, ListsFail(4.0)),
            (9.0, Drain(2)),
            (9.5, Remove(2)),
            (14.0, Restart(1)),
            (16.0, Restart(2)),
            (19.0, ListsSlow(3.0, 1.0)),
            (19.0, WatchesLost),
            (23.0, Remove(5)),
            (24.0, Crowd(4.0, 3.0)),
        ],
        ..Site::default()
    }
}

/// All caches start cold, under a crowd; later some are replaced one after the other.
pub fn cold_starts() -> Site {
    Site {
        seed: 13,
        settings: Settings { nodes: 3, sizes: "rough", fall_multiple: 1.5, ..Settings::default() },
        starts_cold: true,
        requests_per_s: 300,
        incidents: vec![
            (1.0, Crowd(3.0, 3.0)),
            (11.0, Restart(1)),
            (13.0, Restart(2)),
            (15.0, Restart(3)),
            (17.0, Crowd(3.0, 4.0)),
            (18.0, Restart(4)),
            (20.0, Restart(5)),
        ],
        ..Site::default()
    }
}

/// Caches hang, drop connections, fail and can't be reached.
pub fn ill_caches() -> Site {
    Site {
        seed: 14,
        settings: Settings { nodes: 2, ..Settings::default() },
        incidents: vec![
            (3.0, Trouble(1, Hung, 1.0, 5.0)),
            (7.0, Trouble(2, Resetting, 0.5, 4.0)),
            (10.0, Trouble(3, Unreachable, 1.0, 5.0)),
            (13.0, Trouble(4, Failing, 0.7, 3.0)),
            (16.0, Trouble(5, Hung, 0.4, 5.0)),
            (20.0, Trouble(6, Refusing, 0.6, 3.0)),
            (23.0, Trouble(1, Slow(8.0), 1.0, 4.0)),
            (24.0, Trouble(2, Unreachable, 0.5, 3.0)),
            (27.0, Trouble(3, NotSent, 0.3, 3.0)),
        ],
        ..Site::default()
    }
}

/// A zone falls silent, and two attempts of a request may be out at a time.
pub fn silent_zone() -> Site {
    let products = vec![Product { late_value: 0.6, ..Product::READ }, Product::WRITE];
    Site {
        seed: 15,
        settings: Settings { nodes: 3, second_copies: true, products, ..Settings::default() },
        caches: 12,
        zones: 3,
        incidents: vec![
            (4.0, ZoneTrouble(1, Hung, 7.0)),
            (14.0, ZoneTrouble(2, Unreachable, 5.0)),
            (22.0, ZoneTrouble(0, Hung, 2.0)),
            (23.0, ZoneTrouble(1, Hung, 1.0)),
            (23.0, ZoneTrouble(2, Hung, 1.0)),
        ],
        ..Site::default()
    }
}

/// The origin is slow, turns away, and hangs; clients take late answers.
pub fn slow_origin() -> Site {
    let read = Product { late_value: 0.4, ..Product::READ };
    Site {
        seed: 16,
        settings: Settings { products: vec![read, Product::WRITE], most_attempts: 3, ..Settings::default() },
        keys: 4000,
        requests_per_s: 160,
        incidents: vec![
            (4.0, Trouble(0, Slow(5.0), 1.0, 6.0)),
            (13.0, Trouble(0, Refusing, 0.7, 3.0)),
            (18.0, Trouble(0, Hung, 1.0, 3.0)),
            (24.0, Trouble(1, Unreachable, 1.0, 4.0)),
            (24.0, Trouble(2, Unreachable, 1.0, 4.0)),
            (24.0, Trouble(3, Hung, 1.0, 4.0)),
            (24.0, Trouble(4, Hung, 1.0, 4.0)),
            (24.0, Trouble(5, Refusing, 1.0, 4.0)),
            (24.0, Trouble(6, Refusing, 1.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// Caches fetch by themselves and report their load in full.
pub fn through_with_reports() -> Site {
    Site {
        seed: 17,
        settings: Settings {
            through: true,
            nodes: 3,
            sizes: "nominal",
            report_columns: ALL_COLUMNS,
            ..Settings::default()
        },
        tells_work: false,
        cache_workers: 8,
        origin_workers: 40,
        incidents: vec![
            (5.0, Trouble(2, Slow(5.0), 1.0, 5.0)),
            (12.0, Crowd(4.0, 4.0)),
            (18.0, Restart(3)),
            (20.0, Trouble(0, Slow(6.0), 1.0, 4.0)),
            (25.0, Trouble(4, Failing, 1.0, 3.0)),
        ],
        ..Site::default()
    }
}

/// Caches fetch by themselves, report their queues, and some or most of them hang.
pub fn through_with_hung_caches() -> Site {
    Site {
        seed: 18,
        settings: Settings { through: true, report_columns: QUEUE_COLUMN, ..Settings::default() },
        caches: 9,
        cache_workers: 8,
        origin_workers: 40,
        work_us: (4_000, 45_000),
        incidents: vec![
            (3.0, Trouble(1, Hung, 1.0, 5.0)),
            (9.0, Trouble(2, Hung, 1.0, 4.0)),
            (9.0, Trouble(3, Hung, 1.0, 4.0)),
            (9.0, Trouble(4, Hung, 1.0, 4.0)),
            (14.0, Trouble(0, Hung, 1.0, 4.0)),
            (20.0, Trouble(5, Hung, 0.3, 6.0)),
            (20.0, Trouble(6, Hung, 0.3, 6.0)),
            (26.0, ZoneTrouble(1, Hung, 2.0)),
        ],
        ..Site::default()
    }
}

/// Writes that are idempotent in a zone, in a cell and anywhere, for short windows, among failing caches.
pub fn idempotent_writes() -> Site {
    let write = |scope, window| Product { effect: Effect::Idempotent(scope, window), ..Product::WRITE };
    let products = vec![Product::READ, write("zone", 250_000), write("cell", 700_000), write("all", 120_000)];
    Site {
        seed: 19,
        settings: Settings { through: true, products, ..Settings::default() },
        write_share: 0.4,
        requests_per_s: 140,
        cache_workers: 8,
        origin_workers: 40,
        incidents: vec![
            (2.0, Trouble(1, Resetting, 0.5, 25.0)),
            (4.0, Trouble(2, Resetting, 0.3, 22.0)),
            (8.0, Trouble(3, Failing, 0.4, 8.0)),
            (12.0, Crowd(4.0, 5.0)),
            (19.0, Trouble(4, Hung, 0.6, 6.0)),
            (22.0, Trouble(5, Refusing, 0.5, 6.0)),
        ],
        ..Site::default()
    }
}

/// Writes that must not run twice, at a site that allows no cancelling; nodes ask the origin for them.
pub fn non_idempotent_writes() -> Site {
    let write = Product { effect: Effect::NonIdempotent, ..Product::WRITE };
    Site {
        seed: 20,
        settings: Settings {
            products: vec![Product::READ, write],
            may_cancel: false,
            max_retry_after_us: 0,
            ..Settings::default()
        },
        write_share: 0.4,
        incidents: vec![
            (3.0, Trouble(0, Resetting, 0.3, 4.0)),
            (8.0, Trouble(0, Refusing, 0.5, 4.0)),
            (13.0, Trouble(0, Unreachable, 0.5, 4.0)),
            (18.0, Trouble(1, Hung, 1.0, 5.0)),
            (20.0, Crowd(4.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// Writes that must not run twice, where caches forward them.
pub fn non_idempotent_through() -> Site {
    let write = Product { effect: Effect::NonIdempotent, ..Product::WRITE };
    Site {
        seed: 21,
        settings: Settings {
            through: true,
            nodes: 5,
            products: vec![Product::READ, write],
            ..Settings::default()
        },
        write_share: 0.4,
        requests_per_s: 140,
        cache_workers: 8,
        origin_workers: 40,
        incidents: vec![
            (3.0, Trouble(1, Resetting, 0.6, 5.0)),
            (9.0, Trouble(2, Unreachable, 0.8, 5.0)),
            (14.0, ZoneTrouble(0, Refusing, 3.0)),
            (19.0, Trouble(3, Hung, 1.0, 4.0)),
            (23.0, Crowd(4.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// One node alone, worth by work that is not told, tenants with quotas, and late answers worth half.
pub fn one_node() -> Site {
    let read = Product { late_value: 0.5, ..Product::READ };
    Site {
        seed: 22,
        settings: Settings {
            nodes: 1,
            value_per: "work",
            products: vec![read, Product::WRITE],
            tenants: &["first", "second"],
            ..Settings::default()
        },
        tells_work: false,
        incidents: vec![
            (5.0, Crowd(5.0, 5.0)),
            (14.0, Trouble(2, Hung, 1.0, 4.0)),
            (20.0, Drain(3)),
            (23.0, Restart(4)),
        ],
        ..Site::default()
    }
}

/// Many nodes, each with a small part of every limit.
pub fn many_nodes() -> Site {
    Site {
        seed: 23,
        settings: Settings { nodes: 30, ..Settings::default() },
        requests_per_s: 260,
        incidents: vec![
            (5.0, Crowd(4.0, 6.0)),
            (14.0, Restart(1)),
            (16.0, Trouble(2, Hung, 1.0, 5.0)),
            (22.0, Trouble(0, Slow(6.0), 1.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// The list drops caches that were not seen to drain: few, then many, and they serve on.
pub fn doubted_lists() -> Site {
    Site {
        seed: 24,
        settings: Settings { only_draining_binds: true, ..Settings::default() },
        caches: 8,
        incidents: vec![
            (4.0, ListForgets(1)),
            (8.0, ListForgets(4)),
            (13.0, ListForgets(0)),
            (16.0, Remove(2)),
            (18.0, Drain(3)),
            (20.0, ListForgets(8)),
            (25.0, ListForgets(2)),
        ],
        ..Site::default()
    }
}

/// Nodes are killed and start again, one of them with other settings.
pub fn nodes_restart() -> Site {
    let before =
        Settings { nodes: 3, list_on_request: true, must_ask_in_us: 1_500_000, ..Settings::default() };
    let after = Settings { sizes: "nominal", may_cancel: false, fall_us: 1_000_000, ..before.clone() };
    Site {
        seed: 25,
        settings: before,
        incidents: vec![
            (5.0, StopNode(1)),
            (6.9, ListsSlow(2.0, 0.5)),
            (7.0, StartNode(1)),
            (10.0, SettingsChange(Box::new(after))),
            (11.0, StopNode(2)),
            (11.0, StartNode(2)),
            (14.0, StopNode(0)),
            (15.0, Drain(1)),
            (16.0, StartNode(0)),
            (18.0, Crowd(4.0, 4.0)),
        ],
        ..Site::default()
    }
}

/// More keys than a node keeps weights of, and a few that have most of the requests.
pub fn many_keys() -> Site {
    Site {
        seed: 26,
        settings: Settings { nodes: 1, sizes: "nominal", ..Settings::default() },
        caches: 10,
        keys: 40_000,
        requests_per_s: 450,
        work_us: (1_000, 6_000),
        origin_workers: 30,
        incidents: vec![(20.0, Restart(1)), (23.0, Drain(2))],
        ..Site::default()
    }
}

/// Few keys, some of them heavier than one cache's part: nodes spread them over several caches.
pub fn heavy_keys() -> Site {
    Site {
        seed: 27,
        settings: Settings { through: true, nodes: 8, ..Settings::default() },
        caches: 12,
        keys: 40,
        incidents: vec![(10.0, Drain(1)), (14.0, Crowd(4.0, 4.0)), (20.0, Restart(2))],
        ..Site::default()
    }
}
