//! A node of a fleet that decides together, as a process, beside a planner that this test speaks for.

#[path = "together/stage.rs"]
mod stage;

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use granitelb_coordination::message::Message;
use granitelb_coordination::{ForwarderId, Member, Sender, endpoint_health, leases, membership};
use rustix::process::Signal;
use stage::{Client, Stage};

fn start(address: &str, operator: Option<&str>, status: u16) -> Stage {
    let (program, folder) = (env!("CARGO_BIN_EXE_granitelb"), env!("CARGO_TARGET_TMPDIR"));
    Stage::start(Path::new(program), Path::new(folder), address, operator, status)
}

fn wait(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Until the log says so, so many times.
fn until_said(stage: &Stage, event: &str, times: usize) {
    let until = Instant::now() + Duration::from_secs(8);
    while stage.log().matches(event).count() < times {
        assert!(Instant::now() < until, "{event} not said: {}", stage.log());
        wait(10);
    }
}

/// The next letter of the node's.
fn heard_by(stage: &mut Stage) -> (Sender, Message) {
    let until = Instant::now() + Duration::from_secs(8);
    loop {
        assert!(Instant::now() < until, "no letter: {}", stage.log());
        if let Some(heard) = stage.planner.hear() {
            return heard;
        }
    }
}

#[test]
fn without_an_operators_file_there_is_no_thread_socket_or_letter_more() {
    let count = |operator, address| {
        let stage = start(address, operator, 200);
        let mut client = Client::new(stage.node);
        assert_eq!(client.ask("k"), 200);
        let of = |what| {
            std::fs::read_dir(format!("/proc/{}/{what}", stage.child.id())).expect("a process").count()
        };
        (of("task"), of("fd"))
    };
    let (threads, descriptors) = count(None, "127.84.1.1");
    assert_eq!(threads, 1);
    // A socket for its planner, and one for whoever else writes.
    assert_eq!(count(Some("forwarders = 2"), "127.84.1.2"), (2, descriptors + 2));
}

#[test]
fn a_planner_hears_of_the_node_and_neither_junk_nor_silence_changes_an_answer() {
    let mut stage = start("127.84.2.1", Some("forwarders = 2"), 404);
    let mut client = Client::new(stage.node);
    for n in 0..20 {
        assert_eq!(client.ask(&format!("k{n}")), 200);
    }
    let (mut beats, mut answered, mut numbers) = (0, 0.0, BTreeSet::new());
    let until = Instant::now() + Duration::from_secs(8);
    // Each call had an answer of its cache. A planner is told once it has been heard.
    while beats < 2 || answered < 20.0 {
        if numbers.len() == 1 {
            stage.planner.say(&Message::Membership(membership::MembershipMessage::Beat));
        }
        assert!(Instant::now() < until, "{beats} beats, {answered} answers told");
        let Some((from, letter)) = stage.planner.hear() else { continue };
        assert_eq!(from.member, Member::Forwarder(ForwarderId::of_name("n")));
        assert!(numbers.insert(from.number), "a number that came before");
        match letter {
            Message::Membership(membership::MembershipMessage::Beat) => beats += 1,
            Message::EndpointHealth(endpoint_health::HealthMessage::Report(report)) => {
                beats += 1;
                answered += report.caches.iter().map(|c| c.answered).sum::<f64>();
            }
            _ => {}
        }
    }
    let flooding = AtomicBool::new(true);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for n in (0u32..).take_while(|_| flooding.load(Ordering::Relaxed)) {
                // Some of it looks like letters.
                let junk: Vec<u8> =
                    b"GL\x02\x01".iter().copied().chain((0..n % 1500).map(|b| b as u8)).collect();
                stage.planner.send(&junk[(n % 3) as usize..]);
            }
        });
        let took = Instant::now();
        for n in 0..300 {
            assert_eq!(client.ask(&format!("f{n}")), 200);
        }
        flooding.store(false, Ordering::Relaxed);
        assert!(took.elapsed() < Duration::from_secs(5), "{:?}", took.elapsed());
    });
    assert!(!stage.log().contains("courier_"), "{}", stage.log());
}

#[test]
fn the_operators_file_is_read_again_at_sighup_and_one_with_a_fault_changes_nothing() {
    let mut stage = start("127.84.4.1", Some("forwarders = 2"), 200);
    let text = std::fs::read_to_string(&stage.operator).expect("a file");
    let (from, _) = heard_by(&mut stage);
    std::fs::write(&stage.operator, text.replace("forwarders = 2", "forwarders = 0")).expect("a file");
    stage.signal(Signal::HUP);
    until_said(&stage, "operator's file, ", 1);
    std::fs::write(&stage.operator, text.replace("forwarders = 2", "forwarders = 3")).expect("a file");
    stage.signal(Signal::HUP);
    until_said(&stage, "was read again", 1);
    // Other figures: what was granted under those before counts no more.
    while heard_by(&mut stage).0.incarnation == from.incarnation {}
    assert_eq!(Client::new(stage.node).ask("k"), 200);
}

/// Five fetches a second are the node's own for ever, of a tenth of 100 for two; what it is granted comes on top.
#[test]
fn leases_bind_and_end_by_themselves_also_in_a_process_that_stood_still() {
    let operator = "forwarders = 2\n[leases]\norigin_per_s = 100.0\nreserve = 0.1\nlasts_ms = 1000";
    let mut stage = start("127.84.3.1", Some(operator), 404);
    let (asking, node) = (AtomicBool::new(true), stage.node);
    std::thread::scope(|scope| {
        for client in 0..24 {
            let asking = &asking;
            scope.spawn(move || {
                let mut connection = Client::new(node);
                for n in 0.. {
                    if !asking.load(Ordering::Relaxed) {
                        return;
                    }
                    connection.ask(&format!("c{client}-{n}"));
                    wait(100);
                }
            });
        }
        // Grants every ask while that is wanted, and says how many fetches there were meanwhile.
        let mut play = |ms, grants: bool| {
            let (before, until) =
                (stage.fetches.load(Ordering::Relaxed), Instant::now() + Duration::from_millis(ms));
            while Instant::now() < until {
                let Some((_, letter)) = stage.planner.hear() else { continue };
                stage.planner.say(&Message::Membership(membership::MembershipMessage::Beat));
                let Message::Leases(leases::LeaseMessage::Request { request_id: ask, .. }) = letter else {
                    continue;
                };
                if grants {
                    let granted =
                        vec![leases::ResourceAmount { resource: leases::Resource::Origin, amount: 40_000 }];
                    let grant = leases::LeaseMessage::Grant { request_id: ask, granted, duration: 1_000_000 };
                    stage.planner.say(&Message::Leases(grant));
                }
            }
            stage.fetches.load(Ordering::Relaxed) - before
        };
        play(1000, false);
        let own = play(1000, false);
        play(1000, true);
        let leased = play(1000, true);
        play(1200, false);
        let ended = play(1000, false);
        play(1000, true);
        stage.signal(Signal::STOP);
        wait(1500);
        stage.signal(Signal::CONT);
        let play = |ms| {
            let before = stage.fetches.load(Ordering::Relaxed);
            wait(ms);
            stage.fetches.load(Ordering::Relaxed) - before
        };
        let stood_still = play(1000);
        asking.store(false, Ordering::Relaxed);
        // Its own are five, and as many that were saved up; with the lease it is 45 a second.
        assert!((2..=12).contains(&own), "{own} before any lease");
        assert!((30..=60).contains(&leased), "{leased} leased");
        assert!((2..=12).contains(&ended), "{ended} when it has ended");
        assert!(stood_still <= 14, "{stood_still} by a lease that had ended");
    });
}
