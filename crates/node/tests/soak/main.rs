//! A soak by seeds: clients of all kinds at once against one node, with new configurations in between.
//!
//! Judged: a valid request gets its one response in time, in order; a request that is not valid gets 400 and is not
//! forwarded; a request under an identifier that was used before gets 409, also where its original is open at an endpoint
//! that does not answer, and after the original's client has left; a request that must not be repeated reaches an endpoint at most once; the memory stays under half of
//! the limit; and afterwards the node serves at once.

mod clients;
mod connection;
mod fixture;

use std::time::{Duration, Instant};

use test_case::test_case;

use self::clients::{Findings, run_client};
use self::fixture::Fixture;

/// How long the clients send.
const DURATION: Duration = Duration::from_secs(5);
const CLIENTS: u64 = 12;
const MEMORY_LIMITS_MB: [u64; 3] = [32, 48, 192];
const RELOAD_INTERVAL: Duration = Duration::from_millis(700);
/// In this time after the last response the node has handled the disconnects, too.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Guards against requests that are lost, mixed up, served though they are not valid, or executed twice, and against
/// memory without a bound, where clients of all kinds come together.
#[test_case(1, 32)]
#[test_case(2, 48)]
#[test_case(3, 32)]
#[test_case(4, 192)]
fn clients_of_all_kinds_are_answered(seed: u64, memory_mb: u64) {
    soak(seed, memory_mb);
}

/// The same by fifty further seeds.
#[test]
#[ignore = "takes five minutes; run by hand"]
fn clients_of_all_kinds_are_answered_by_fifty_seeds() {
    for seed in 11..=60 {
        soak(seed, MEMORY_LIMITS_MB[seed as usize % MEMORY_LIMITS_MB.len()]);
    }
}

fn soak(seed: u64, memory_mb: u64) {
    let fixture = Fixture::start(seed, memory_mb);
    let end = Instant::now() + DURATION;
    let mut findings = Findings::default();
    std::thread::scope(|scope| {
        let node = fixture.node();
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || run_client(node, seed, client, end))).collect();
        while Instant::now() < end {
            std::thread::sleep(RELOAD_INTERVAL);
            fixture.reload();
        }
        for client in clients {
            findings.merge(client.join().expect("a client"));
        }
    });
    std::thread::sleep(SETTLE_TIME);
    assert!(findings.faults.is_empty(), "seed {seed}: {:#?}", findings.faults);
    assert!(findings.served > 0 && findings.refused > 0 && findings.returned > 0, "{findings:?}");
    assert!(findings.copies > 0, "{findings:?}");
    let attempts = fixture.attempts();
    for id in &findings.refused_ids {
        assert!(!attempts.contains_key(id), "seed {seed}: {id} is not valid and was forwarded");
    }
    assert!(!attempts.contains_key(""), "seed {seed}: a request without its identifier was forwarded");
    for (id, count) in attempts.iter().filter(|(id, _)| clients::is_non_idempotent(id)) {
        assert!(*count <= 1, "seed {seed}: {id} was sent to endpoints {count} times");
    }
    assert!(fixture.peak_memory_kib() <= memory_mb * 1024 / 2, "{} KiB", fixture.peak_memory_kib());
    assert_eq!(clients::probe(fixture.node(), "end"), Some(200), "seed {seed}: the node serves afterwards");
}
