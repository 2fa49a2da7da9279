//! Planners as processes on loopback: what they answer, refuse, keep, and how they end and come back.

use std::fs;
use std::time::{Duration, Instant};

use crate::support::{Fleet, Forwarder, OURS, THEIRS, check};
use granitelb_coordination::leases::{self, Demand, Resource};
use granitelb_coordination::membership::MembershipMessage;
use granitelb_coordination::message::Message;
use granitelb_coordination::{Member, PlannerId};
use rustix::process::Signal;

const HEARTBEAT_INTERVAL: Message = Message::Membership(MembershipMessage::Beat);
const SOON: Duration = Duration::from_secs(3);

#[test]
fn a_beat_is_answered_and_what_is_no_letter_is_refused_and_counted() {
    let fleet = Fleet::new(1);
    let mut planner = fleet.start(1);
    let mut forwarder = Forwarder::new("node-1");
    let beat = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    forwarder.send(&beat, fleet.addresses[0]);
    let (from, letter) = forwarder.receive(OURS, SOON).expect("an answer");
    assert_eq!((from.member, letter), (Member::Planner(PlannerId(1)), HEARTBEAT_INTERVAL));

    let mut changed = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    changed[6] ^= 1;
    let foreign = forwarder.sealed(&HEARTBEAT_INTERVAL, THEIRS);
    let mut older = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    older[2] = 1;
    let junk = b"GET / HTTP/1.1\r\n\r\n".to_vec();
    for bytes in [&changed, &foreign, &older, &junk, &beat] {
        forwarder.send(bytes, fleet.addresses[0]);
    }
    // It is still read: what came before was passed over.
    let last = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    forwarder.send(&last, fleet.addresses[0]);
    std::thread::sleep(Duration::from_millis(200));
    assert!(planner.stop().success());
    let tally = &planner.said("letters")[0];
    assert_eq!(tally["read"], 7);
    assert_eq!(tally["refused"], "forged=2 other_version=1 stranger=1 twice=1");
    assert_eq!(planner.said("ended").len(), 1);
}

#[test]
fn planners_find_each_other_and_one_that_was_killed_comes_back_with_its_store() {
    let fleet = Fleet::new(2);
    let (one, mut two) = (fleet.start(1), fleet.start(2));
    let is_two =
        |line: &serde_json::Value| line["message"].as_str().is_some_and(|m| m.starts_with("planner 2"));
    one.wait_for_one("member_came", is_two);
    two.kill();
    one.wait_for_one("member_gone", is_two);
    let again = fleet.start(2);
    again.wait_for("member_came");
    assert_eq!(again.said("store_refused"), Vec::<serde_json::Value>::new());
    one.wait_for_one("member_came", |line| line["message"] == "planner 2 is back");
}

#[test]
fn a_store_that_is_torn_or_of_another_planner_is_refused_kept_and_named() {
    let fleet = Fleet::new(2);
    fleet.start(1).stop();
    let mut bytes = fs::read(fleet.store(1)).expect("a store");
    fs::create_dir(fleet.path("state-2")).expect("a folder");
    fs::write(fleet.store(2), &bytes).expect("written");
    bytes[4096..].fill(0x5a);
    fs::write(fleet.store(1), &bytes).expect("written");
    for (number, why) in [(1, "torn"), (2, "it is planner 1's")] {
        let mut planner = fleet.start(number);
        let refused = planner.wait_for("store_refused");
        let said = refused["message"].as_str().expect("a sentence");
        assert!(said.contains(why), "{said}");
        let aside = refused["aside"].as_str().expect("a place");
        assert!(fs::metadata(aside).is_ok_and(|m| m.len() == bytes.len() as u64), "{aside}");
        assert!(planner.stop().success());
    }
    // Begun anew, it is this planner's own.
    let again = fleet.start(2);
    assert!(again.said("store_refused").is_empty());
}

#[test]
fn a_planner_that_stood_still_goes_on_as_a_new_one() {
    let fleet = Fleet::new(1);
    let planner = fleet.start(1);
    let mut forwarder = Forwarder::new("node-1");
    let beat = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    forwarder.send(&beat, fleet.addresses[0]);
    let (before, _) = forwarder.receive(OURS, SOON).expect("an answer");
    planner.signal(Signal::STOP);
    std::thread::sleep(Duration::from_secs(3));
    planner.signal(Signal::CONT);
    planner.wait_for("new_life");
    let beat = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    forwarder.send(&beat, fleet.addresses[0]);
    let later = std::iter::from_fn(|| forwarder.receive(OURS, SOON)).map(|(from, _)| from.incarnation);
    assert!(
        later.take(20).any(|incarnation| incarnation > before.incarnation),
        "its letters bear the life before"
    );
}

/// The planner had forgotten where it is, and passed over all that it said from then on.
#[test]
fn a_forwarder_that_was_cut_off_is_told_so() {
    let fleet = Fleet::new(1);
    let planner = fleet.start(1);
    let mut forwarder = Forwarder::new("node-1");
    let beat = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    forwarder.send(&beat, fleet.addresses[0]);
    planner.wait_for("member_gone");
    let began = Instant::now();
    let told = |letter| matches!(letter, Message::Membership(MembershipMessage::YouWereGone { .. }));
    loop {
        assert!(began.elapsed() < SOON, "not told");
        let beat = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
        forwarder.send(&beat, fleet.addresses[0]);
        let letters = std::iter::from_fn(|| forwarder.receive(OURS, Duration::from_millis(100)));
        if letters.take(8).any(|(_, letter)| told(letter)) {
            return;
        }
    }
}

#[test]
fn a_secret_is_turned_over_by_sighup_and_a_faulty_file_changes_nothing() {
    let fleet = Fleet::new(1);
    let mut planner = fleet.start(1);
    let mut forwarder = Forwarder::new("node-1");
    fleet.write_operator("secret = \"too short\"");
    planner.signal(Signal::HUP);
    let refused = planner.wait_for("reload_refused");
    assert!(refused["message"].as_str().is_some_and(|m| m.contains("operator.toml:1: secret:")), "{refused}");
    let beat = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    forwarder.send(&beat, fleet.addresses[0]);
    assert!(forwarder.receive(OURS, SOON).is_some());

    fleet.write_operator(&format!("secret = \"{THEIRS}\"\nformer_secret = \"{OURS}\""));
    planner.signal(Signal::HUP);
    planner.wait_for("reloaded");
    let beat = forwarder.sealed(&HEARTBEAT_INTERVAL, OURS);
    forwarder.send(&beat, fleet.addresses[0]);
    assert!(forwarder.receive(THEIRS, SOON).is_some(), "sealed with the new one, opened with the former");
    assert!(planner.stop().success());
    assert!(planner.said("new_life").is_empty(), "a secret is no reason to forget what was granted");
}

#[test]
fn a_planner_that_starts_grants_only_when_leases_of_an_earlier_life_have_ended() {
    let fleet = Fleet::new(1);
    let _planner = fleet.start(1);
    let ready = Instant::now();
    let mut forwarder = Forwarder::new("node-1");
    let granted = (1..60).find_map(|ask| {
        let needs = vec![Demand {
            resource: Resource::Origin,
            amount: 20_000,
            request_in_use: 0,
            requesters: 1,
            already_held: 0,
        }];
        let asked = forwarder.sealed(
            &Message::Leases(leases::LeaseMessage::Request { request_id: ask, demands: needs }),
            OURS,
        );
        forwarder.send(&asked, fleet.addresses[0]);
        let came = std::iter::from_fn(|| forwarder.receive(OURS, Duration::from_millis(200)));
        came.take(8).find_map(|(_, letter)| match letter {
            Message::Leases(leases::LeaseMessage::Grant { granted, .. }) => {
                granted.first().copied().filter(|g| g.amount > 0)
            }
            _ => None,
        })
    });
    let leases::ResourceAmount { resource, amount } = granted.expect("a grant");
    assert_eq!(resource, Resource::Origin);
    assert!(amount <= 20_000, "more than was asked for: {amount}");
    assert!(ready.elapsed() >= Duration::from_millis(4500), "granted after {:?}", ready.elapsed());
}

#[test]
fn check_reads_all_files_and_names_what_is_wrong() {
    let fleet = Fleet::new(1);
    let (operator, planner) = (fleet.path("operator.toml"), fleet.path("planner-1.toml"));
    let (operator, planner) = (operator.to_str().expect("text"), planner.to_str().expect("text"));
    assert!(check(&["--operator", operator]).0);
    assert!(check(&["--config", planner]).0);
    fs::write(planner, "number = 9\noperator = \"operator.toml\"\n").expect("written");
    let (good, said) = check(&["--config", planner]);
    assert!(
        !good && said.contains("planner-1.toml:1: number: the operator's file has no planner 9"),
        "{said}"
    );
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/");
    assert!(check(&["--operator", &format!("{deployed}operator.toml")]).0);
    assert!(check(&["--config", &format!("{deployed}planner.toml")]).0);
}

/// Asks are never shed by a mailbox: one that nobody comes to would hold up all letters.
#[test]
fn a_faculty_that_hangs_is_named_and_shed_and_its_process_ends_in_order() {
    let fleet = Fleet::new(2);
    let text = "number = 1\noperator = \"operator.toml\"\nstate = \"state-1\"\n[trial]\nhangs = \"leases\"\nhang_named_ms = 1000\nhang_ends_ms = 6000\n";
    fs::write(fleet.path("planner-1.toml"), text).expect("written");
    let (mut one, two) = (fleet.start(1), fleet.start(2));
    assert!(one.said("trial")[0]["message"].as_str().is_some_and(|m| m.contains("made to do amiss")));
    let mut forwarder = Forwarder::new("node-1");
    let mut say = |letter: &Message| {
        let bytes = forwarder.sealed(letter, OURS);
        forwarder.send(&bytes, fleet.addresses[0]);
    };
    let ask = Message::Leases(leases::LeaseMessage::Request { request_id: 1, demands: Vec::new() });
    say(&ask);
    one.wait_for("task_hangs");
    // More than a mailbox holds, and what comes after is heard all the same.
    let began = Instant::now();
    for n in 0..6000 {
        say(&ask);
        if n % 50 == 0 {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    say(&HEARTBEAT_INTERVAL);
    assert!(forwarder.receive(OURS, Duration::from_millis(700)).is_some(), "beats stopped");
    assert!(began.elapsed() < Duration::from_secs(5), "the machine is too slow to say");
    assert!(two.said("member_gone").is_empty(), "{:?}", two.said("member_gone"));
    let status = one.wait();
    assert_eq!(status.code(), Some(1), "a supervisor sees that it failed");
    assert_eq!(one.said("task_hangs").len(), 1);
    let shed = one.said("letters_refused").into_iter().find(|l| l["name"] == "shed").expect("told");
    assert!(shed["count"].as_u64().is_some_and(|n| n > 0), "{shed}");
}
