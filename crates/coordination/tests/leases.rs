//! Leases between one forwarder and one planner, step by step.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{
    ForwarderComponent, Holder, LeaseError, LeaseMessage, MOST_NEEDS, Need, PlannerComponent, Resource,
    Settings,
};
use granitelb_coordination::observation::{Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};

const ME: PlannerId = PlannerId(1);

fn sender(n: u64) -> Sender {
    Sender { member: Member::Forwarder(ForwarderId(n)), incarnation: Incarnation(1), sequence: 0 }
}

fn at(ms: u64) -> Time {
    Time(1_000_000_000) + Span::from_millis(ms)
}

fn planner() -> PlannerComponent {
    PlannerComponent::new(Settings::default(), ME, Incarnation(1), Time(0))
}

#[test]
fn the_greatest_message_goes_into_a_letter() {
    let need = |n| Need {
        resource: Resource::Cold(EndpointId(u64::MAX - n)),
        amount: u32::MAX,
        using: u64::MAX,
        heads: u32::MAX,
        has: u32::MAX,
    };
    let ask = LeaseMessage::Ask { ask: u64::MAX, needs: (0..MOST_NEEDS as u64).map(need).collect() };
    assert!(postcard::to_allocvec(&ask).unwrap().len() <= 1100);
}

#[test]
fn what_is_given_back_is_free_at_once_and_an_old_ask_is_void() {
    let mut planner = planner();
    let mut grant = |now, from, message| {
        planner.on_message(now, sender(from), message)?;
        match planner.poll_message(now) {
            Some((_, LeaseMessage::Grant { granted, .. })) => Ok(granted[0].1),
            _ => Ok(0),
        }
    };
    let (mut first, mut second) = (Holder::default(), Holder::default());
    let all = [(Resource::Origin, 100_000)];
    let ask = first.ask(at(0), ME, &all).remove(0);
    // The whole is 100 a second, and 25 of it are the forwarders' own, in parts of 83 thousandths.
    assert_eq!(grant(at(1), 1, ask.clone()), Ok(75_100));
    assert_eq!(grant(at(2), 1, ask), Err(LeaseError::Old));
    assert_eq!(grant(at(3), 2, second.ask(at(3), ME, &all).remove(0)), Ok(0));
    for (_, message) in first.give_back() {
        assert_eq!(grant(at(4), 1, message), Ok(0));
    }
    assert_eq!(grant(at(200), 2, second.ask(at(200), ME, &all).remove(0)), Ok(75_100));
}

/// Known by its fetches alone, a need of nine a second was asked for as 0.1: who has a part of 0.08 sends one in twelve
/// seconds.
#[test]
fn reads_that_were_turned_away_tell_of_a_need() {
    let mut side = ForwarderComponent::new(Settings::default(), ForwarderId(3), Incarnation(1), at(0));
    side.on_membership_change(at(0), &[Member::Planner(ME)]);
    let origin = ObservedEndpoint {
        cache: EndpointId(1),
        is_origin: true,
        zone: 0,
        size: 1.0,
        started: None,
        warm_after: Span::ZERO,
    };
    side.seen(at(0), &Observation::EndpointsChanged(vec![origin]));
    let mut asked = 0;
    for ms in (0..4000).step_by(100) {
        if ms >= 1000 {
            side.seen(at(ms), &Observation::FetchDenied);
        }
        while let Some((_, message)) = side.poll_message(at(ms)) {
            if let LeaseMessage::Ask { needs, .. } = message {
                asked = needs.iter().map(|n| n.amount).sum();
            }
        }
    }
    assert!((9_000..30_000).contains(&asked), "{asked} thousandths of a fetch a second");
}

/// What was asked for on top took from the heaviest what light ones don't use: 4.7 of a want of 2 a second at 300 nodes.
#[test]
fn no_more_is_asked_for_than_is_used_and_a_little() {
    let settings = Settings { whole_origin: 2_000_000, reserve: 0, ..Settings::default() };
    let mut side = ForwarderComponent::new(settings, ForwarderId(3), Incarnation(1), at(0));
    side.on_membership_change(at(0), &[Member::Planner(ME)]);
    let mut asked = 0;
    for ms in (0..20_000).step_by(500) {
        side.seen(at(ms), &Observation::AttemptSent { cache: EndpointId(1), is_origin: true, write: false });
        while let Some((_, message)) = side.poll_message(at(ms)) {
            if let LeaseMessage::Ask { needs, .. } = message {
                asked = needs.iter().map(|n| n.amount).sum();
            }
        }
    }
    assert!((2_200..3_400).contains(&asked), "{asked} thousandths of a fetch a second");
}

/// In thousandths it was nothing at 300 nodes: with no planner no cold cache got a call.
#[test]
fn each_of_many_forwarders_has_a_part_of_a_cold_cache() {
    let settings = Settings { whole_cold: 500_000, forwarders: 300, ..Settings::default() };
    assert_eq!(settings.own(Resource::Cold(EndpointId(1))), 416);
}

/// Its first ask ends what an earlier life held at the planner, which the loop may use until it is told otherwise.
#[test]
fn a_new_life_asks_for_a_standing_part_only_once_its_loop_was_told() {
    let settings = Settings { standing: 500, ..Settings::default() };
    let mut side = ForwarderComponent::new(settings, ForwarderId(3), Incarnation(2), at(0));
    side.on_membership_change(at(0), &[Member::Planner(ME)]);
    let asks = |side: &mut ForwarderComponent, ms| {
        std::iter::from_fn(|| side.poll_message(at(ms)))
            .filter(|(_, m)| matches!(m, LeaseMessage::AskStanding { .. }))
            .count()
    };
    // Of no list: the module still has the lease that it was told before.
    side.advice(at(0));
    assert_eq!(asks(&mut side, 600), 0);
    let origin = ObservedEndpoint {
        cache: EndpointId(1),
        is_origin: true,
        zone: 0,
        size: 1.0,
        started: None,
        warm_after: Span::ZERO,
    };
    side.seen(at(600), &Observation::EndpointsChanged(vec![origin]));
    assert_eq!(asks(&mut side, 1200), 0);
    side.advice(at(1200));
    assert_eq!(asks(&mut side, 1800), 1);
}

/// With no other lease letters a forwarder never heard of the planner's new life, and its part ran out in that one's wait.
#[test]
fn a_planner_that_starts_grants_again_what_a_forwarder_tells_it() {
    let settings = Settings { standing: 500, ..Settings::default() };
    let mut side = ForwarderComponent::new(settings.clone(), ForwarderId(3), Incarnation(1), at(0));
    side.on_membership_change(at(0), &[Member::Planner(ME)]);
    let origin = ObservedEndpoint {
        cache: EndpointId(1),
        is_origin: true,
        zone: 0,
        size: 1.0,
        started: None,
        warm_after: Span::ZERO,
    };
    side.seen(at(0), &Observation::EndpointsChanged(vec![origin]));
    let mut planner = PlannerComponent::new(settings.clone(), ME, Incarnation(1), Time(0));
    let mut incarnation = Incarnation(1);
    let mut may = Vec::new();
    for ms in (0..29_000).step_by(100) {
        if ms == 10_000 {
            incarnation = Incarnation(2);
            planner = PlannerComponent::new(settings.clone(), ME, incarnation, at(ms));
        }
        side.advice(at(ms));
        while let Some((_, message)) = side.poll_message(at(ms)) {
            if matches!(message, LeaseMessage::AskStanding { .. }) {
                planner.on_message(at(ms), sender(3), message).unwrap();
            }
        }
        while let Some((_, message)) = planner.poll_message(at(ms)) {
            side.on_message(
                at(ms),
                Sender { member: Member::Planner(ME), incarnation, sequence: 0 },
                message,
            )
            .unwrap();
        }
        may.push(side.advice(at(ms))[0].1.most);
    }
    // Without an answer it would fall from the 25th second on, to its end at the 30th.
    assert!(may[60] > 0.2 && may[289] >= may[99], "{} {} {}", may[60], may[99], may[289]);
}
