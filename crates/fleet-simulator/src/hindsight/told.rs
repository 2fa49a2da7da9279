//! A world told to both sides of hindsight, by letters of which some are lost, come twice or come late.

use std::collections::BTreeMap;

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, RequestClassId};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, Event};
use granitelb_coordination::counterfactual::{
    CounterfactualMessage, ForwarderComponent, PlannerComponent, Settings,
};
use granitelb_coordination::observation::{FinishedAttempt, Observation};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{BEGIN, Call, SLO, World};

/// The origin among the servers.
const ORIGIN: EndpointId = EndpointId(u64::MAX);

/// What came of it.
pub struct Told {
    pub planner: PlannerComponent,
    pub remarks: Vec<Event>,
    /// What a forwarder has in its log by letters.
    pub forwarders_remarks: Vec<Event>,
    pub letters: usize,
    pub bytes: usize,
    pub largest: usize,
}

fn shot(
    call: &Call,
    number: u8,
    cache: EndpointId,
    outcome: AttemptOutcome,
    latency: Span,
) -> FinishedAttempt {
    FinishedAttempt {
        request_hash: call.name,
        number,
        key: call.key,
        request_class: RequestClassId(0),
        write: false,
        work: Some(call.guess),
        cache,
        is_origin: cache == ORIGIN,
        candidates: call.candidates.map(EndpointId).to_vec(),
        outcome,
        latency,
        bytes: 1000,
        in_flight_at_send: call.out[call.place],
        slo: SLO,
    }
}

/// The shots of a call as its node sees them end.
fn shots(call: &Call) -> Vec<(Time, FinishedAttempt)> {
    let fate = &call.fates[call.place];
    let cache = EndpointId(call.candidates[call.place]);
    if fate.refused {
        return vec![(call.at + Span(500), shot(call, 0, cache, AttemptOutcome::Rejected, Span(500)))];
    }
    let cut = |span: Span| {
        if span > call.cut {
            (call.cut, AttemptOutcome::Cancelled)
        } else {
            (span, AttemptOutcome::Fulfilled)
        }
    };
    if fate.hit || fate.lacks > call.cut {
        let (after, outcome) = cut(fate.ends);
        return vec![(call.at + after, shot(call, 0, cache, outcome, after))];
    }
    let first = (call.at + fate.lacks, shot(call, 0, cache, AttemptOutcome::CacheMiss, fate.lacks));
    let (after, outcome) = cut(fate.ends);
    let second = (call.at + after, shot(call, 1, ORIGIN, outcome, Span(after.0 - fate.lacks.0)));
    vec![first, second]
}

pub fn tell(world: &World, settings: &Settings) -> Told {
    let mut chance = ChaCha8Rng::seed_from_u64(world.make.seed ^ 0x70_1d);
    let planner_id = Member::Planner(PlannerId(1));
    let ids: Vec<ForwarderId> = (0..world.make.nodes as u64).map(ForwarderId).collect();
    let mut forwarders: Vec<ForwarderComponent> =
        ids.iter().map(|id| ForwarderComponent::new(settings.clone(), *id, Incarnation(1), BEGIN)).collect();
    let mut planner = PlannerComponent::new(settings.clone(), PlannerId(1), Incarnation(1), BEGIN);
    let alive: Vec<Member> = ids.iter().map(|id| Member::Forwarder(*id)).collect();
    planner.on_membership_change(BEGIN, &alive);
    forwarders.iter_mut().for_each(|f| f.on_membership_change(BEGIN, &[planner_id]));
    let mut sights: BTreeMap<Time, Vec<(usize, FinishedAttempt)>> = BTreeMap::new();
    for call in &world.calls {
        for (at, ended) in shots(call) {
            sights.entry(at).or_default().push((call.node, ended));
        }
    }
    let mut told = Told {
        planner,
        remarks: Vec::new(),
        forwarders_remarks: Vec::new(),
        letters: 0,
        bytes: 0,
        largest: 0,
    };
    let mut under_way: BTreeMap<(Time, usize), (Sender, CounterfactualMessage)> = BTreeMap::new();
    let (step, end) = (Span::from_millis(250), BEGIN + Span::from_secs_f64(world.make.seconds + 18.0));
    let mut now = BEGIN;
    while now < end {
        now = now + step;
        let later = sights.split_off(&now);
        for (at, of) in std::mem::replace(&mut sights, later) {
            of.into_iter()
                .for_each(|(node, e)| forwarders[node].seen(at, &Observation::AttemptFinished(Box::new(e))));
        }
        for (node, forwarder) in forwarders.iter_mut().enumerate() {
            while let Some((_, message)) = forwarder.poll_message(now) {
                let size = postcard::to_allocvec(&message).map_or(0, |b| b.len());
                told.letters += 1;
                (told.bytes, told.largest) = (told.bytes + size, told.largest.max(size));
                let number = told.letters as u64;
                let from = Sender { member: alive[node], incarnation: Incarnation(1), sequence: number };
                let copies = usize::from(!chance.random_bool(world.make.lost))
                    + usize::from(chance.random_bool(world.make.doubled));
                for copy in 0..copies {
                    let late = Span::from_millis(chance.random_range(0..2000));
                    under_way.insert((now + late, told.letters * 2 + copy), (from, message.clone()));
                }
            }
        }
        let later = under_way.split_off(&(now, usize::MAX));
        for (from, message) in std::mem::replace(&mut under_way, later).into_values() {
            told.planner.on_message(now, from, message).expect("a sound letter");
        }
        while let Some((to, message)) = told.planner.poll_message(now) {
            let from = Sender { member: planner_id, incarnation: Incarnation(1), sequence: 1 };
            if to == alive[0] {
                forwarders[0].on_message(now, from, message).expect("a sound letter");
            }
        }
        told.remarks.extend(std::iter::from_fn(|| told.planner.poll_event()));
        told.forwarders_remarks.extend(std::iter::from_fn(|| forwarders[0].poll_event()));
    }
    told
}
