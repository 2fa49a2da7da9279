//! Tests of a node process in a fleet with a control plane, whose planner's messages the test itself sends.

#[path = "control_plane/node_fixture.rs"]
mod node_fixture;

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use granitelb_coordination::message::Message;
use granitelb_coordination::{ForwarderId, Member, Sender, endpoint_health, leases, membership};
use rustix::process::Signal;

use self::node_fixture::{Client, NodeFixture, TEST_TIMEOUT};

/// The number of clients that send requests while leases are tested, and the pause of each between requests.
const LEASE_CLIENTS: usize = 24;
const LEASE_CLIENT_PAUSE_MS: u64 = 100;

fn start_node(address: &str, fleet_config: Option<&str>, status: u16) -> NodeFixture {
    let program = Path::new(env!("CARGO_BIN_EXE_granitelb"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    NodeFixture::start(program, folder, address, fleet_config, status)
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until the node's log contains a text this many times.
fn wait_for_log(fixture: &NodeFixture, text: &str, times: usize) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while fixture.log().matches(text).count() < times {
        assert!(Instant::now() < deadline, "log lacks {text:?} {times} times: {}", fixture.log());
        sleep_ms(10);
    }
}

/// The next message from the node to the planner.
fn receive_message(fixture: &mut NodeFixture) -> (Sender, Message) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        assert!(Instant::now() < deadline, "no message from the node, whose log is: {}", fixture.log());
        if let Some(received) = fixture.planner.receive() {
            return received;
        }
    }
}

/// The number of entries of a directory of the node's process under `/proc`.
fn count_process_entries(fixture: &NodeFixture, directory: &str) -> usize {
    let path = format!("/proc/{}/{directory}", fixture.child.id());
    std::fs::read_dir(path).expect("a process").count()
}

/// The numbers of threads and of descriptors of a node that has answered a request.
fn threads_and_descriptors(fleet_config: Option<&str>, address: &str) -> (usize, usize) {
    let fixture = start_node(address, fleet_config, 200);
    let mut client = Client::new(fixture.node);
    assert_eq!(client.request("k"), 200);
    (count_process_entries(&fixture, "task"), count_process_entries(&fixture, "fd"))
}

#[test]
fn node_without_fleet_config_has_no_agent_thread_or_socket() {
    let (threads, descriptors) = threads_and_descriptors(None, "127.84.1.1");
    assert_eq!(threads, 1);
    // The agent's thread; a socket for the node's planner, and one for other senders.
    let with_agent = threads_and_descriptors(Some("forwarders = 2"), "127.84.1.2");
    assert_eq!(with_agent, (2, descriptors + 2));
}

#[test]
fn planner_gets_reports_and_invalid_messages_change_no_response() {
    let mut fixture = start_node("127.84.2.1", Some("forwarders = 2"), 404);
    let mut client = Client::new(fixture.node);
    for n in 0..20 {
        assert_eq!(client.request(&format!("k{n}")), 200);
    }
    expect_heartbeats_and_reports(&mut fixture, 20.0);
    let is_flooding = AtomicBool::new(true);
    std::thread::scope(|scope| {
        scope.spawn(|| send_invalid_messages(&fixture, &is_flooding));
        let start = Instant::now();
        for n in 0..300 {
            assert_eq!(client.request(&format!("f{n}")), 200);
        }
        is_flooding.store(false, Ordering::Relaxed);
        assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    });
    assert!(!fixture.log().contains("control_plane_agent_"), "{}", fixture.log());
}

/// Waits for two heartbeats or reports and for reports of this many answered attempts. Each request had an
/// attempt that its cache server answered. A node sends more once it has received a message from
/// its planner.
fn expect_heartbeats_and_reports(fixture: &mut NodeFixture, expected: f64) {
    let mut heartbeats = 0;
    let mut answered = 0.0;
    let mut numbers = BTreeSet::new();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while heartbeats < 2 || answered < expected {
        if numbers.len() == 1 {
            fixture.planner.send_message(&Message::Membership(membership::MembershipMessage::Heartbeat));
        }
        assert!(Instant::now() < deadline, "{heartbeats} heartbeats, {answered} answered attempts reported");
        let Some((from, message)) = fixture.planner.receive() else { continue };
        assert_eq!(from.member, Member::Forwarder(ForwarderId::of_name("n")));
        assert!(numbers.insert(from.sequence), "a sequence number was received twice");
        match message {
            Message::Membership(membership::MembershipMessage::Heartbeat) => heartbeats += 1,
            Message::EndpointHealth(endpoint_health::HealthMessage::Report(report)) => {
                heartbeats += 1;
                answered += report.endpoints.iter().map(|c| c.answered).sum::<f64>();
            }
            _ => {}
        }
    }
}

/// Sends the node invalid messages, some of which begin like valid messages.
fn send_invalid_messages(fixture: &NodeFixture, is_flooding: &AtomicBool) {
    for n in (0u32..).take_while(|_| is_flooding.load(Ordering::Relaxed)) {
        let filler = (0..n % 1500).map(|byte| byte as u8);
        let bytes: Vec<u8> = b"GL\x02\x01".iter().copied().chain(filler).collect();
        fixture.planner.send_bytes(&bytes[(n % 3) as usize..]);
    }
}

#[test]
fn fleet_config_is_reloaded_at_sighup_unless_invalid() {
    let mut fixture = start_node("127.84.4.1", Some("forwarders = 2"), 200);
    let text = std::fs::read_to_string(&fixture.fleet_config).expect("a file");
    let (from, _) = receive_message(&mut fixture);
    std::fs::write(&fixture.fleet_config, text.replace("forwarders = 2", "forwarders = 0")).expect("a file");
    fixture.signal(Signal::HUP);
    wait_for_log(&fixture, "fleet configuration, ", 1);
    std::fs::write(&fixture.fleet_config, text.replace("forwarders = 2", "forwarders = 3")).expect("a file");
    fixture.signal(Signal::HUP);
    wait_for_log(&fixture, "was read again", 1);
    // The node continues under a new incarnation: leases granted under the former configuration are void.
    while receive_message(&mut fixture).0.incarnation == from.incarnation {}
    assert_eq!(Client::new(fixture.node).request("k"), 200);
}

/// The number of origin fetches within `ms`, while the planner grants all lease requests or none.
fn fetches_with_planner(fixture: &mut NodeFixture, ms: u64, grants: bool) -> u64 {
    let before = fixture.fetches.load(Ordering::Relaxed);
    let end = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < end {
        let Some((_, message)) = fixture.planner.receive() else { continue };
        fixture.planner.send_message(&Message::Membership(membership::MembershipMessage::Heartbeat));
        let Message::Leases(leases::LeaseMessage::Request { request_id, .. }) = message else { continue };
        if grants {
            let granted = vec![leases::ResourceAmount { resource: leases::Resource::Origin, amount: 40_000 }];
            let grant = leases::LeaseMessage::Grant { request_id, granted, duration: 1_000_000 };
            fixture.planner.send_message(&Message::Leases(grant));
        }
    }
    fixture.fetches.load(Ordering::Relaxed) - before
}

/// The number of origin fetches within `ms`, while the planner is silent.
fn fetches_without_planner(fixture: &NodeFixture, ms: u64) -> u64 {
    let before = fixture.fetches.load(Ordering::Relaxed);
    sleep_ms(ms);
    fixture.fetches.load(Ordering::Relaxed) - before
}

/// Guards against origin fetches under an expired lease, also after a suspension that outlasts the lease. The
/// node may always make five fetches a second, its half of a tenth of 100; granted leases are added to them.
#[test]
fn leases_limit_fetches_and_expire_also_while_the_process_is_suspended() {
    let fleet_config = "forwarders = 2\n[leases]\norigin_per_s = 100.0\nreserve = 0.1\nlasts_ms = 1000";
    let mut fixture = start_node("127.84.3.1", Some(fleet_config), 404);
    let is_running = AtomicBool::new(true);
    let node = fixture.node;
    std::thread::scope(|scope| {
        for client in 0..LEASE_CLIENTS {
            let is_running = &is_running;
            scope.spawn(move || {
                let mut connection = Client::new(node);
                for n in 0.. {
                    if !is_running.load(Ordering::Relaxed) {
                        return;
                    }
                    connection.request(&format!("c{client}-{n}"));
                    sleep_ms(LEASE_CLIENT_PAUSE_MS);
                }
            });
        }
        fetches_with_planner(&mut fixture, 1000, false);
        let own = fetches_with_planner(&mut fixture, 1000, false);
        fetches_with_planner(&mut fixture, 1000, true);
        let leased = fetches_with_planner(&mut fixture, 1000, true);
        fetches_with_planner(&mut fixture, 1200, false);
        let expired = fetches_with_planner(&mut fixture, 1000, false);
        fetches_with_planner(&mut fixture, 1000, true);
        fixture.signal(Signal::STOP);
        sleep_ms(1500);
        fixture.signal(Signal::CONT);
        let after_suspension = fetches_without_planner(&fixture, 1000);
        is_running.store(false, Ordering::Relaxed);
        // Without a lease the node may make five fetches a second, and up to five more that it left unused
        // before; with the lease, 45 a second.
        assert!((2..=12).contains(&own), "{own} fetches before any lease");
        assert!((30..=60).contains(&leased), "{leased} fetches with a lease");
        assert!((2..=12).contains(&expired), "{expired} fetches after the lease expired");
        assert!(after_suspension <= 14, "{after_suspension} fetches under an expired lease");
    });
}
