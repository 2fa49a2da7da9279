//! Tests of the failure detector with lost and duplicate messages, suspended processes and new incarnations.

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, FAILURE_TIMEOUT, HEARTBEAT_INTERVAL, Remediation};
use granitelb_coordination::membership::{
    Acceptance, MAX_FORWARDERS, Membership, MembershipError, MembershipMessage,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};

const PLANNER: Member = Member::Planner(PlannerId(0));
const FORWARDER: Member = Member::Forwarder(ForwarderId(7));

fn ms(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn from(member: Member, incarnation: u64, sequence: u64) -> Sender {
    Sender { member, incarnation: Incarnation(incarnation), sequence }
}

fn forwarder(id: u64) -> Member {
    Member::Forwarder(ForwarderId(id))
}

fn planner_membership() -> Membership {
    Membership::new(PLANNER, Incarnation(1), ms(0))
}

fn forwarder_membership(incarnation: u64) -> Membership {
    Membership::new(FORWARDER, Incarnation(incarnation), ms(0))
}

fn declared_failed(incarnation: u64) -> MembershipMessage {
    MembershipMessage::DeclaredFailed { incarnation: Incarnation(incarnation) }
}

fn superseded(incarnation: u64, by: u64) -> MembershipMessage {
    MembershipMessage::Superseded { incarnation: Incarnation(incarnation), by: Incarnation(by) }
}

/// Simulates a host that polls at each timeout, and returns the messages to send.
fn run(membership: &mut Membership, from: Time, to: Time) -> Vec<(Member, MembershipMessage)> {
    let mut now = from;
    let mut messages = Vec::new();
    while now <= to {
        messages.extend(std::iter::from_fn(|| membership.poll_message(now)));
        now = membership.poll_timeout(now).expect("there is always a timeout").max(now + Span(1));
    }
    messages
}

#[test]
fn messages_are_accepted_once_in_any_order() {
    let mut planner = planner_membership();
    assert_eq!(planner.accept(ms(0), from(FORWARDER, 1, 900)), Ok(Acceptance::Joined));
    for sequence in [500, 1300, 400] {
        let sender = from(FORWARDER, 1, sequence);
        assert_eq!(planner.accept(ms(1), sender), Ok(Acceptance::AlreadyAlive), "{sequence}");
        assert_eq!(planner.accept(ms(2), sender), Err(MembershipError::Duplicate));
    }
    for sequence in 2000..2100 {
        let accepted = planner.accept(ms(3), from(FORWARDER, 1, sequence));
        assert_eq!(accepted, Ok(Acceptance::AlreadyAlive));
    }
    assert_eq!(planner.accept(ms(3), from(FORWARDER, 1, 1300)), Err(MembershipError::TooOld));
    assert_eq!(planner.accept(ms(3), from(FORWARDER, 1, 1301)), Err(MembershipError::TooOld));
    // The sequence numbers of a new incarnation may start at any number. Its first message ends the earlier
    // incarnation.
    assert_eq!(planner.accept(ms(4), from(FORWARDER, 2, 0)), Ok(Acceptance::AlreadyAlive));
    assert_eq!(planner.accept(ms(5), from(FORWARDER, 1, 5000)), Err(MembershipError::StaleIncarnation));
    assert_eq!(planner.accept(ms(5), from(PLANNER, 9, 1)), Err(MembershipError::OwnName));
}

#[test]
fn forwarder_that_returns_after_failure_needs_a_new_incarnation() {
    let mut planner = planner_membership();
    planner.accept(ms(0), from(FORWARDER, 1, 1)).expect("accepted");
    assert_eq!(planner.poll_change(ms(0)), Some(vec![FORWARDER]));
    run(&mut planner, ms(0), ms(2000));
    assert_eq!(planner.poll_change(ms(2000)), Some(vec![]));
    assert_eq!(planner.accept(ms(2100), from(FORWARDER, 1, 2)), Err(MembershipError::DeclaredFailed));
    assert_eq!(planner.alive(ms(2100)), vec![]);
    let messages = run(&mut planner, ms(2100), ms(2100));
    assert!(messages.contains(&(FORWARDER, declared_failed(1))), "{messages:?}");

    let mut forwarder = forwarder_membership(1);
    run(&mut forwarder, ms(0), ms(2100));
    assert!(!forwarder.needs_new_incarnation());
    // Notices for an earlier incarnation and notices from forwarders are ignored.
    forwarder.on_message(ms(2101), from(PLANNER, 1, 1), declared_failed(0)).expect("accepted");
    forwarder.on_message(ms(2101), from(FORWARDER, 1, 1), declared_failed(1)).expect_err("unauthorized");
    assert!(!forwarder.needs_new_incarnation());
    forwarder.on_message(ms(2102), from(PLANNER, 1, 2), declared_failed(1)).expect("accepted");
    assert!(forwarder.needs_new_incarnation());
    forwarder.renew(Incarnation(2));
    assert!(!forwarder.needs_new_incarnation());
    assert_eq!(planner.accept(ms(2150), from(FORWARDER, 2, 1)), Ok(Acceptance::Joined));
    assert_eq!(planner.alive(ms(2150)), vec![FORWARDER]);
}

#[test]
fn superseded_incarnations_are_notified() {
    let mut planner = planner_membership();
    planner.accept(ms(0), from(FORWARDER, 9, 1)).expect("accepted");
    let older = from(FORWARDER, 4, 1);
    // The process with the greater incarnation is alive and may be a replacement, so the older process is not
    // notified.
    assert_eq!(planner.accept(ms(10), older), Err(MembershipError::StaleIncarnation));
    assert_eq!(planner.superseded_notice(ms(10), older), None);
    run(&mut planner, ms(10), ms(2100));
    assert_eq!(planner.superseded_notice(ms(2100), older), Some(superseded(4, 9)));
    assert_eq!(planner.superseded_notice(ms(2200), older), None, "notified a moment ago");
    // A planner is notified at once, because only one process may run under its number.
    let other_planner = Member::Planner(PlannerId(2));
    planner.accept(ms(2200), from(other_planner, 9, 1)).expect("accepted");
    assert!(planner.superseded_notice(ms(2200), from(other_planner, 4, 1)).is_some());
    let current = from(FORWARDER, 9, 2);
    assert_eq!(planner.superseded_notice(ms(2200), current), None, "the sender has the current incarnation");
    assert_eq!(planner.accept(ms(2300), from(FORWARDER, 10, 1)), Ok(Acceptance::Joined));
}

#[test]
fn superseded_member_continues_under_a_greater_incarnation() {
    let mut forwarder = forwarder_membership(4);
    forwarder.on_message(ms(1), from(FORWARDER, 1, 1), superseded(4, 9)).expect_err("unauthorized");
    forwarder.on_message(ms(1), from(PLANNER, 1, 1), superseded(3, 9)).expect("accepted");
    assert!(!forwarder.needs_new_incarnation(), "the notice is for an earlier incarnation");
    forwarder.on_message(ms(1), from(PLANNER, 1, 2), superseded(4, 9)).expect("accepted");
    assert!(forwarder.needs_new_incarnation());
    assert_eq!(forwarder.min_next_incarnation(), Incarnation(10));
    forwarder.renew(Incarnation(10));
    forwarder.on_message(ms(1000), from(PLANNER, 1, 3), superseded(10, 11)).expect("accepted");
    assert!(
        !forwarder.needs_new_incarnation(),
        "a notice within the failure timeout after another one is ignored"
    );
}

#[test]
fn stalled_member_detects_its_stall_and_does_not_count_it_as_silence_of_others() {
    let mut planner = planner_membership();
    planner.accept(ms(0), from(FORWARDER, 1, 1)).expect("accepted");
    run(&mut planner, ms(0), ms(400));
    assert_eq!(planner.alive(ms(20_000)), vec![FORWARDER]);
    assert_eq!(planner.accept(ms(20_000), from(FORWARDER, 1, 2)), Ok(Acceptance::AlreadyAlive));
    assert!(planner.needs_new_incarnation());
}

#[test]
fn planner_that_was_cut_off_is_accepted_again_after_a_heartbeat_interval() {
    let mut forwarder = forwarder_membership(1);
    forwarder.accept(ms(0), from(PLANNER, 1, 1)).expect("accepted");
    run(&mut forwarder, ms(0), ms(5000));
    assert_eq!(forwarder.accept(ms(5000), from(PLANNER, 1, 2)), Err(MembershipError::DeclaredFailed));
    assert_eq!(forwarder.accept(ms(5100), from(PLANNER, 1, 3)), Err(MembershipError::DeclaredFailed));
    let after_interval = ms(5000) + HEARTBEAT_INTERVAL;
    assert_eq!(forwarder.accept(after_interval, from(PLANNER, 1, 4)), Ok(Acceptance::Joined));
}

#[test]
fn planner_is_declared_failed_by_a_majority_of_the_others() {
    let mut planner = planner_membership();
    let others = [1, 2, 3].map(|n| Member::Planner(PlannerId(n)));
    for other in others {
        assert_eq!(planner.accept(ms(0), from(other, 1, 1)), Ok(Acceptance::Joined));
    }
    for _ in 0..9 {
        planner.on_message(ms(10), from(others[0], 1, 2), declared_failed(1)).expect("accepted");
    }
    assert!(!planner.needs_new_incarnation());
    planner.on_message(ms(11), from(others[1], 1, 2), declared_failed(1)).expect("accepted");
    assert!(planner.needs_new_incarnation());
}

#[test]
fn heartbeats_are_sent_only_if_no_other_message_replaces_them() {
    let mut forwarder = forwarder_membership(1);
    forwarder.set_planners(ms(0), [PlannerId(0), PlannerId(1)]);
    let heartbeats = run(&mut forwarder, ms(0), ms(9999));
    assert_eq!(heartbeats.len(), 2 * 20, "{heartbeats:?}");
    // Another message replaces a heartbeat, and a planner that is no longer configured receives no
    // heartbeats.
    forwarder.set_planners(ms(10_000), [PlannerId(0)]);
    for now in (10_000..20_000).step_by(100) {
        forwarder.on_message_sent(ms(now), PLANNER);
        assert!(run(&mut forwarder, ms(now), ms(now + 99)).is_empty());
    }
}

#[test]
fn planner_sends_heartbeats_to_live_forwarders_only() {
    let mut planner = planner_membership();
    planner.accept(ms(0), from(FORWARDER, 1, 1)).expect("accepted");
    let heartbeats = run(&mut planner, ms(0), ms(20_000)).len() as u64;
    assert!((3..=FAILURE_TIMEOUT.0 / HEARTBEAT_INTERVAL.0).contains(&heartbeats), "{heartbeats}");
}

#[test]
fn members_are_bounded_and_the_longest_failed_is_evicted_first() {
    let mut planner = planner_membership();
    for id in 0..MAX_FORWARDERS as u64 {
        planner.accept(ms(id / 10), from(forwarder(id), 1, 1)).expect("there is room");
    }
    let one_more = from(forwarder(1 << 40), 1, 1);
    assert_eq!(planner.accept(ms(500), one_more), Err(MembershipError::CapacityExceeded));
    run(&mut planner, ms(500), ms(2100));
    assert_eq!(planner.accept(ms(2100), one_more), Ok(Acceptance::Joined));
    assert!(!planner.alive(ms(2100)).contains(&forwarder(0)));
    assert!(planner.entries() <= 4 * MAX_FORWARDERS);
    assert!(MembershipError::CapacityExceeded.remediation().contains("secret"));
}
