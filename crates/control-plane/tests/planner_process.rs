//! Planners as processes on loopback: the messages that they answer and reject, the state that they persist,
//! and how they end and restart.

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use granitelb_coordination::leases::{Demand, LeaseMessage, Resource, ResourceAmount};
use granitelb_coordination::membership::MembershipMessage;
use granitelb_coordination::message::Message;
use granitelb_coordination::{Member, PlannerId, Sender};
use rustix::process::Signal;
use serde_json::Value;

use crate::support::{Fleet, Forwarder, OTHER_SECRET, SECRET, run_check};

const HEARTBEAT: Message = Message::Membership(MembershipMessage::Heartbeat);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

fn send_heartbeat(forwarder: &mut Forwarder, to: SocketAddr) {
    let heartbeat = forwarder.seal(&HEARTBEAT, SECRET);
    forwarder.send(&heartbeat, to);
}

/// The messages that arrive, each within `timeout` after the previous one.
fn receive_all(forwarder: &Forwarder, timeout: Duration) -> impl Iterator<Item = (Sender, Message)> {
    std::iter::from_fn(move || forwarder.receive(SECRET, timeout))
}

/// The text of a log line.
fn message_of(line: &Value) -> &str {
    line["message"].as_str().expect("the line has a message")
}

#[test]
fn heartbeat_is_answered_and_invalid_datagrams_are_rejected_and_counted() {
    let fleet = Fleet::new(1);
    let mut planner = fleet.start(1);
    let mut forwarder = Forwarder::new("node-1");
    let heartbeat = forwarder.seal(&HEARTBEAT, SECRET);
    forwarder.send(&heartbeat, fleet.addresses[0]);
    let (from, message) = forwarder.receive(SECRET, ANSWER_TIMEOUT).expect("an answer");
    assert_eq!((from.member, message), (Member::Planner(PlannerId(1)), HEARTBEAT));

    let mut changed = forwarder.seal(&HEARTBEAT, SECRET);
    changed[6] ^= 1;
    let foreign = forwarder.seal(&HEARTBEAT, OTHER_SECRET);
    let mut of_older_version = forwarder.seal(&HEARTBEAT, SECRET);
    of_older_version[2] = 1;
    let no_message = b"GET / HTTP/1.1\r\n\r\n".to_vec();
    for bytes in [&changed, &foreign, &of_older_version, &no_message, &heartbeat] {
        forwarder.send(bytes, fleet.addresses[0]);
    }
    // The planner still reads messages after the rejected ones.
    send_heartbeat(&mut forwarder, fleet.addresses[0]);
    thread::sleep(Duration::from_millis(200));
    assert!(planner.stop().success());
    let metrics = &planner.events("message_metrics")[0];
    assert_eq!(metrics["read"], 7);
    assert_eq!(metrics["refused"], "forged=2 other_version=1 stranger=1 twice=1");
    assert_eq!(planner.events("stopped").len(), 1);
}

#[test]
fn planners_find_each_other_and_a_killed_one_restarts_with_its_store() {
    let fleet = Fleet::new(2);
    let (planner_1, mut planner_2) = (fleet.start(1), fleet.start(2));
    let names_planner_2 = |line: &Value| line["message"].as_str().is_some_and(|m| m.starts_with("planner 2"));
    planner_1.wait_for_event_with("member_joined", names_planner_2);
    planner_2.kill();
    planner_1.wait_for_event_with("member_failed", names_planner_2);
    let restarted = fleet.start(2);
    restarted.wait_for_event("member_joined");
    assert_eq!(restarted.events("store_refused"), Vec::<Value>::new());
    planner_1.wait_for_event_with("member_joined", |line| line["message"] == "planner 2 is back");
}

#[test]
fn store_that_is_corrupt_or_of_another_planner_is_refused_renamed_and_logged() {
    let fleet = Fleet::new(2);
    fleet.start(1).stop();
    let mut bytes = fs::read(fleet.store_file(1)).expect("the store exists");
    fs::create_dir(fleet.path("state-2")).expect("the folder is created");
    fs::write(fleet.store_file(2), &bytes).expect("the store is written");
    bytes[4096..].fill(0x5a);
    fs::write(fleet.store_file(1), &bytes).expect("the store is written");
    for (number, reason) in [(1, "corrupt"), (2, "it belongs to planner 1")] {
        let mut planner = fleet.start(number);
        let refused = planner.wait_for_event("store_refused");
        let message = message_of(&refused);
        assert!(message.contains(reason), "{message}");
        let moved_to = refused["aside"].as_str().expect("a path");
        assert!(fs::metadata(moved_to).is_ok_and(|m| m.len() == bytes.len() as u64), "{moved_to}");
        assert!(planner.stop().success());
    }
    // Planner 2 opens the store that it created in place of planner 1's store.
    let restarted = fleet.start(2);
    assert!(restarted.events("store_refused").is_empty());
}

#[test]
fn suspended_planner_continues_under_a_new_incarnation() {
    let fleet = Fleet::new(1);
    let planner = fleet.start(1);
    let mut forwarder = Forwarder::new("node-1");
    send_heartbeat(&mut forwarder, fleet.addresses[0]);
    let (before, _) = forwarder.receive(SECRET, ANSWER_TIMEOUT).expect("an answer");
    planner.signal(Signal::STOP);
    thread::sleep(Duration::from_secs(3));
    planner.signal(Signal::CONT);
    planner.wait_for_event("incarnation_changed");
    send_heartbeat(&mut forwarder, fleet.addresses[0]);
    let mut later = receive_all(&forwarder, ANSWER_TIMEOUT).take(20);
    assert!(
        later.any(|(from, _)| from.incarnation > before.incarnation),
        "the planner's messages still carry the former incarnation"
    );
}

/// Guards against a planner that removes the address of a forwarder that it declared failed: without the
/// address, the planner can't notify the forwarder, and ignores all its further messages.
#[test]
fn partitioned_forwarder_is_notified_that_it_was_declared_failed() {
    let fleet = Fleet::new(1);
    let planner = fleet.start(1);
    let mut forwarder = Forwarder::new("node-1");
    send_heartbeat(&mut forwarder, fleet.addresses[0]);
    planner.wait_for_event("member_failed");
    let started_at = Instant::now();
    loop {
        assert!(started_at.elapsed() < ANSWER_TIMEOUT, "the forwarder was not notified");
        send_heartbeat(&mut forwarder, fleet.addresses[0]);
        let mut messages = receive_all(&forwarder, Duration::from_millis(100)).take(8);
        let is_notice =
            |message| matches!(message, Message::Membership(MembershipMessage::DeclaredFailed { .. }));
        if messages.any(|(_, message)| is_notice(message)) {
            return;
        }
    }
}

#[test]
fn sighup_rotates_the_secret_and_an_invalid_file_changes_nothing() {
    let fleet = Fleet::new(1);
    let mut planner = fleet.start(1);
    let mut forwarder = Forwarder::new("node-1");
    fleet.write_fleet_config("secret = \"too short\"");
    planner.signal(Signal::HUP);
    let refused = planner.wait_for_event("reload_refused");
    assert!(message_of(&refused).contains("operator.toml:1: secret:"), "{refused}");
    send_heartbeat(&mut forwarder, fleet.addresses[0]);
    assert!(forwarder.receive(SECRET, ANSWER_TIMEOUT).is_some());

    fleet.write_fleet_config(&format!("secret = \"{OTHER_SECRET}\"\nformer_secret = \"{SECRET}\""));
    planner.signal(Signal::HUP);
    planner.wait_for_event("reloaded");
    send_heartbeat(&mut forwarder, fleet.addresses[0]);
    assert!(
        forwarder.receive(OTHER_SECRET, ANSWER_TIMEOUT).is_some(),
        "the planner opens messages with the former secret and seals with the new one"
    );
    assert!(planner.stop().success());
    assert!(
        planner.events("incarnation_changed").is_empty(),
        "a new secret must not void leases by a new incarnation"
    );
}

/// The first resource of a grant with its amount; `None` if nothing is granted.
fn granted_amount(message: Message) -> Option<ResourceAmount> {
    match message {
        Message::Leases(LeaseMessage::Grant { granted, .. }) => {
            granted.first().copied().filter(|granted| granted.amount > 0)
        }
        _ => None,
    }
}

#[test]
fn restarted_planner_grants_only_after_leases_of_earlier_incarnations_expired() {
    let fleet = Fleet::new(1);
    let _planner = fleet.start(1);
    let ready_at = Instant::now();
    let mut forwarder = Forwarder::new("node-1");
    let granted = (1..60).find_map(|request_id| {
        let demands = vec![Demand {
            resource: Resource::Origin,
            amount: 20_000,
            request_in_use: 0,
            requesters: 1,
            already_held: 0,
        }];
        let request = forwarder.seal(&Message::Leases(LeaseMessage::Request { request_id, demands }), SECRET);
        forwarder.send(&request, fleet.addresses[0]);
        let mut messages = receive_all(&forwarder, Duration::from_millis(200)).take(8);
        messages.find_map(|(_, message)| granted_amount(message))
    });
    let ResourceAmount { resource, amount } = granted.expect("a grant");
    assert_eq!(resource, Resource::Origin);
    assert!(amount <= 20_000, "more than was requested: {amount}");
    assert!(ready_at.elapsed() >= Duration::from_millis(4500), "granted after {:?}", ready_at.elapsed());
}

#[test]
fn check_reads_all_files_and_names_what_is_invalid() {
    let fleet = Fleet::new(1);
    let (operator, planner) = (fleet.path("operator.toml"), fleet.path("planner-1.toml"));
    let (operator, planner) = (operator.to_str().expect("text"), planner.to_str().expect("text"));
    assert!(run_check(&["--operator", operator]).is_valid);
    assert!(run_check(&["--config", planner]).is_valid);
    fs::write(planner, "number = 9\noperator = \"operator.toml\"\n").expect("the file is written");
    let check = run_check(&["--config", planner]);
    assert!(
        !check.is_valid
            && check.output.contains("planner-1.toml:1: number: the operator's file has no planner 9"),
        "{}",
        check.output
    );
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/");
    assert!(run_check(&["--operator", &format!("{deployed}operator.toml")]).is_valid);
    assert!(run_check(&["--config", &format!("{deployed}planner.toml")]).is_valid);
}

/// Guards against a hanging component that delays all messages. An open mailbox never sheds requests for
/// leases: if the leases component hangs and its mailbox stays open, the mailbox fills up and the planner
/// reads no more messages.
#[test]
fn hanging_component_is_named_and_shed_and_its_process_shuts_down_in_order() {
    let fleet = Fleet::new(2);
    let faults = "[trial]\nhangs = \"leases\"\nhang_named_ms = 1000\nhang_ends_ms = 6000\n";
    fleet.write_planner_config(1, faults);
    let (mut planner_1, planner_2) = (fleet.start(1), fleet.start(2));
    assert!(message_of(&planner_1.events("fault_injection")[0]).contains("injects faults"));
    let mut forwarder = Forwarder::new("node-1");
    let mut send = |message: &Message| {
        let bytes = forwarder.seal(message, SECRET);
        forwarder.send(&bytes, fleet.addresses[0]);
    };
    let request = Message::Leases(LeaseMessage::Request { request_id: 1, demands: Vec::new() });
    send(&request);
    planner_1.wait_for_event("task_unresponsive");
    // These are more messages than a mailbox holds. The planner still reads the heartbeat after them.
    let started_at = Instant::now();
    for n in 0..6000 {
        send(&request);
        if n % 50 == 0 {
            thread::sleep(Duration::from_millis(10));
        }
    }
    send(&HEARTBEAT);
    assert!(forwarder.receive(SECRET, Duration::from_millis(700)).is_some(), "heartbeats stopped");
    assert!(started_at.elapsed() < Duration::from_secs(5), "the machine is too slow for this test");
    let failed_members = planner_2.events("member_failed");
    assert!(failed_members.is_empty(), "{failed_members:?}");
    let status = planner_1.wait();
    assert_eq!(status.code(), Some(1), "a supervisor sees that it failed");
    assert_eq!(planner_1.events("task_unresponsive").len(), 1);
    let rejected = planner_1.events("messages_rejected");
    let shed = rejected.iter().find(|line| line["name"] == "shed").expect("shed messages are logged");
    assert!(shed["count"].as_u64().is_some_and(|n| n > 0), "{shed}");
}
