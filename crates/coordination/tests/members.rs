//! Who lives: by a star of beats, with losses, doubles, stopped processes and new lives.

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, FAILURE_TIMEOUT, HEARTBEAT_INTERVAL, Remediation};
use granitelb_coordination::membership::{MOST_FORWARDERS, Members, MembershipError, MembershipMessage};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};

const P: Member = Member::Planner(PlannerId(0));
const F: Member = Member::Forwarder(ForwarderId(7));

fn ms(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn from(member: Member, incarnation: u64, number: u64) -> Sender {
    Sender { member, incarnation: Incarnation(incarnation), number }
}

fn planner() -> Members {
    Members::new(P, Incarnation(1), ms(0))
}

/// Passes time as a host does that pulls when it is asked to.
fn wait(members: &mut Members, from: Time, to: Time) -> Vec<(Member, MembershipMessage)> {
    let (mut now, mut letters) = (from, Vec::new());
    while now <= to {
        letters.extend(std::iter::from_fn(|| members.poll_message(now)));
        now = members.poll_timeout(now).expect("it always wakes").max(now + Span(1));
    }
    letters
}

#[test]
fn each_letter_is_taken_once_whatever_their_order() {
    let mut p = planner();
    assert_eq!(p.take(ms(0), from(F, 1, 900)), Ok(true));
    for number in [500, 1300, 400] {
        assert_eq!(p.take(ms(1), from(F, 1, number)), Ok(false), "{number}");
        assert_eq!(p.take(ms(2), from(F, 1, number)), Err(MembershipError::Twice));
    }
    (2000..2100).for_each(|n| assert_eq!(p.take(ms(3), from(F, 1, n)), Ok(false)));
    assert_eq!(p.take(ms(3), from(F, 1, 1300)), Err(MembershipError::TooLate));
    assert_eq!(p.take(ms(3), from(F, 1, 1301)), Err(MembershipError::TooLate));
    // A new life counts from anywhere, and ends the one before.
    assert_eq!(p.take(ms(4), from(F, 2, 0)), Ok(false));
    assert_eq!(p.take(ms(5), from(F, 1, 5000)), Err(MembershipError::OlderLife));
    assert_eq!(p.take(ms(5), from(P, 9, 1)), Err(MembershipError::Mine));
}

#[test]
fn one_that_comes_back_under_the_same_life_is_told_so_and_has_to_be_new() {
    let mut p = planner();
    p.take(ms(0), from(F, 1, 1)).expect("news");
    assert_eq!(p.changed(ms(0)), Some(vec![F]));
    wait(&mut p, ms(0), ms(2000));
    assert_eq!(p.changed(ms(2000)), Some(vec![]));
    assert_eq!(p.take(ms(2100), from(F, 1, 2)), Err(MembershipError::WasGone));
    assert_eq!(p.alive(ms(2100)), vec![]);
    let told = wait(&mut p, ms(2100), ms(2100));
    assert!(told.contains(&(F, MembershipMessage::YouWereGone { incarnation: Incarnation(1) })), "{told:?}");

    let mut f = Members::new(F, Incarnation(1), ms(0));
    wait(&mut f, ms(0), ms(2100));
    assert!(!f.must_be_new());
    // What was meant for an earlier life, and what a forwarder says, is no ground.
    f.on_message(ms(2101), from(P, 1, 1), MembershipMessage::YouWereGone { incarnation: Incarnation(0) })
        .expect("heard");
    f.on_message(ms(2101), from(F, 1, 1), MembershipMessage::YouWereGone { incarnation: Incarnation(1) })
        .expect_err("not its word");
    assert!(!f.must_be_new());
    f.on_message(ms(2102), from(P, 1, 2), MembershipMessage::YouWereGone { incarnation: Incarnation(1) })
        .expect("heard");
    assert!(f.must_be_new());
    f.renewed(Incarnation(2));
    assert!(!f.must_be_new());
    assert_eq!(p.take(ms(2150), from(F, 2, 1)), Ok(true));
    assert_eq!(p.alive(ms(2150)), vec![F]);
}

#[test]
fn one_whose_life_is_the_lesser_is_told_and_goes_on_under_a_greater_one() {
    let mut p = planner();
    p.take(ms(0), from(F, 9, 1)).expect("news");
    let older = from(F, 4, 1);
    // The other one of its name lives: it may be what replaces it.
    assert_eq!(p.take(ms(10), older), Err(MembershipError::OlderLife));
    assert_eq!(p.tell_succeeded(ms(10), older), None);
    wait(&mut p, ms(10), ms(2100));
    let word = MembershipMessage::YouWereSucceeded { incarnation: Incarnation(4), by: Incarnation(9) };
    assert_eq!(p.tell_succeeded(ms(2100), older), Some(word));
    assert_eq!(p.tell_succeeded(ms(2200), older), None, "told a moment ago");
    // A planner's number is one process's: told at once.
    p.take(ms(2200), from(Member::Planner(PlannerId(2)), 9, 1)).expect("news");
    let older = from(Member::Planner(PlannerId(2)), 4, 1);
    assert!(p.tell_succeeded(ms(2200), older).is_some());
    assert_eq!(p.tell_succeeded(ms(2200), from(F, 9, 2)), None, "it is the one that lives");

    let mut f = Members::new(F, Incarnation(4), ms(0));
    f.on_message(ms(1), from(F, 1, 1), word).expect_err("not its word");
    f.on_message(
        ms(1),
        from(P, 1, 1),
        MembershipMessage::YouWereSucceeded { incarnation: Incarnation(3), by: Incarnation(9) },
    )
    .expect("heard");
    assert!(!f.must_be_new(), "that is of an earlier life");
    f.on_message(ms(1), from(P, 1, 2), word).expect("heard");
    assert!(f.must_be_new() && f.least_incarnation() == Incarnation(10));
    f.renewed(Incarnation(10));
    let again = MembershipMessage::YouWereSucceeded { incarnation: Incarnation(10), by: Incarnation(11) };
    f.on_message(ms(1000), from(P, 1, 3), again).expect("heard");
    assert!(!f.must_be_new(), "not over and over");
    assert_eq!(p.take(ms(2300), from(F, 10, 1)), Ok(true));
}

#[test]
fn a_stopped_member_knows_it_by_its_own_clock_and_judges_nobody_by_that_time() {
    let mut p = planner();
    p.take(ms(0), from(F, 1, 1)).expect("news");
    wait(&mut p, ms(0), ms(400));
    assert_eq!(p.alive(ms(20_000)), vec![F]);
    assert_eq!(p.take(ms(20_000), from(F, 1, 2)), Ok(false));
    assert!(p.must_be_new());
}

#[test]
fn a_planner_that_was_cut_off_is_heard_again_after_a_beat() {
    let mut f = Members::new(F, Incarnation(1), ms(0));
    f.take(ms(0), from(P, 1, 1)).expect("news");
    wait(&mut f, ms(0), ms(5000));
    assert_eq!(f.take(ms(5000), from(P, 1, 2)), Err(MembershipError::WasGone));
    assert_eq!(f.take(ms(5100), from(P, 1, 3)), Err(MembershipError::WasGone));
    assert_eq!(f.take(ms(5000) + HEARTBEAT_INTERVAL, from(P, 1, 4)), Ok(true));

    // Of three planners that live, two others have to say that one was gone.
    let mut p = planner();
    let others = [1, 2, 3].map(|n| Member::Planner(PlannerId(n)));
    others.iter().for_each(|o| assert_eq!(p.take(ms(0), from(*o, 1, 1)), Ok(true)));
    let word = MembershipMessage::YouWereGone { incarnation: Incarnation(1) };
    for _ in 0..9 {
        p.on_message(ms(10), from(others[0], 1, 2), word).expect("heard");
    }
    assert!(!p.must_be_new());
    p.on_message(ms(11), from(others[1], 1, 2), word).expect("heard");
    assert!(p.must_be_new());
}

#[test]
fn beats_go_along_the_star_and_no_letter_is_one_too_many() {
    let mut f = Members::new(F, Incarnation(1), ms(0));
    f.set_planners(ms(0), [PlannerId(0), PlannerId(1)]);
    let beats = wait(&mut f, ms(0), ms(9999));
    assert_eq!(beats.len(), 2 * 20, "{beats:?}");
    // Another letter is as good as a beat; one that is out of the file is beaten to no more.
    f.set_planners(ms(10_000), [PlannerId(0)]);
    for now in (10_000..20_000).step_by(100) {
        f.sent(ms(now), P);
        assert!(wait(&mut f, ms(now), ms(now + 99)).is_empty());
    }
    // A planner beats to who lives, and not to who is gone.
    let mut p = planner();
    p.take(ms(0), from(F, 1, 1)).expect("news");
    let beats = wait(&mut p, ms(0), ms(20_000)).len() as u64;
    assert!((3..=FAILURE_TIMEOUT.0 / HEARTBEAT_INTERVAL.0).contains(&beats), "{beats}");
}

#[test]
fn there_is_a_bound_and_the_longest_dead_make_room() {
    let mut p = planner();
    for n in 0..MOST_FORWARDERS as u64 {
        p.take(ms(n / 10), from(Member::Forwarder(ForwarderId(n)), 1, 1)).expect("room");
    }
    let one_more = from(Member::Forwarder(ForwarderId(1 << 40)), 1, 1);
    assert_eq!(p.take(ms(500), one_more), Err(MembershipError::TooMany));
    wait(&mut p, ms(500), ms(2100));
    assert_eq!(p.take(ms(2100), one_more), Ok(true));
    assert!(!p.alive(ms(2100)).contains(&Member::Forwarder(ForwarderId(0))));
    assert!(p.entries() <= 4 * MOST_FORWARDERS);
    assert!(MembershipError::TooMany.remediation().contains("secret"));
}
