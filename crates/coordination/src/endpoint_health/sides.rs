//! The two sides as faculties.

use std::collections::{BTreeSet, VecDeque};

use granitelb_balancer::calls::Advice;
use granitelb_balancer::ids::CacheId;
use granitelb_balancer::time::Time;

use super::fault::Fault;
use super::follower::Follower;
use super::planner::{Planner, Settings};
use super::{MOST_CACHES, Message};
use crate::component::{BEAT, Faculty, Remark};
use crate::member::{ForwarderId, Life, Member, PlannerId, Sender};
use crate::observation::Sight;

pub struct AtPlanner {
    me: PlannerId,
    planner: Planner,
    /// Parts of a plan that are still to be pulled.
    parts: VecDeque<(Member, Message)>,
}

impl AtPlanner {
    pub fn new(settings: Settings, me: PlannerId, _: Life, now: Time) -> AtPlanner {
        AtPlanner { me, planner: Planner::new(settings, now), parts: VecDeque::new() }
    }

    /// The caches that fail, as this planner sees it.
    pub fn failing(&self) -> BTreeSet<CacheId> {
        self.planner.failing()
    }
}

impl Faculty for AtPlanner {
    type Message = Message;
    type Fault = Fault;

    fn heard(&mut self, now: Time, from: Sender, message: Message) -> Result<(), Fault> {
        match (from.member, message) {
            (Member::Forwarder(id), Message::Report(report)) => {
                self.planner.heard(now, id, from.life, &report)
            }
            _ => Err(Fault::NotItsWord),
        }
    }

    fn members(&mut self, _: Time, alive: &[Member]) {
        let forwarders = alive.iter().filter_map(|m| match m {
            Member::Forwarder(id) => Some(*id),
            Member::Planner(_) => None,
        });
        let before = alive.iter().filter(|m| matches!(m, Member::Planner(id) if *id < self.me)).count();
        self.planner.members(forwarders.collect(), before);
    }

    fn next_letter(&mut self, now: Time) -> Option<(Member, Message)> {
        if self.parts.is_empty() {
            let (to, parts) = self.planner.next_plan(now)?;
            self.parts = parts.into_iter().map(|p| (Member::Forwarder(to), Message::Plan(p))).collect();
        }
        self.parts.pop_front()
    }

    fn next_wake(&self, now: Time) -> Option<Time> {
        if self.parts.is_empty() { self.planner.next_due() } else { Some(now) }
    }

    fn next_remark(&mut self) -> Option<Remark> {
        self.planner.next_remark()
    }

    fn entries(&self) -> usize {
        self.planner.entries() + self.parts.len()
    }
}

pub struct AtForwarder {
    follower: Follower,
    planners: Vec<PlannerId>,
    next_report: Time,
    /// What is still to be pulled of the last report.
    letters: VecDeque<(Member, Message)>,
}

impl AtForwarder {
    pub fn new(_: Settings, me: ForwarderId, _: Life, now: Time) -> AtForwarder {
        // Forwarders that start together do not all report at once.
        let next_report = now + BEAT.scaled((me.0 % 1024) as f64 / 1024.0);
        AtForwarder { follower: Follower::new(), planners: Vec::new(), next_report, letters: VecDeque::new() }
    }

    pub fn seen(&mut self, _: Time, sight: &Sight) {
        match sight {
            Sight::Sent { cache, is_origin: false, .. } => self.follower.shot_sent(*cache),
            Sight::Ended(end) if !end.is_origin => {
                self.follower.shot_ended(end.cache, end.outcome, end.latency, end.slo);
            }
            Sight::Listed(_) | Sight::Sent { .. } | Sight::Ended(_) | Sight::Denied => {}
        }
    }

    /// What planners say of caches now.
    pub fn advice(&self, now: Time) -> Advice {
        self.follower.advice(now)
    }

    /// The failing caches that it is this forwarder's turn to try.
    pub fn turns(&self, now: Time) -> Vec<CacheId> {
        self.follower.turns(now)
    }
}

impl Faculty for AtForwarder {
    type Message = Message;
    type Fault = Fault;

    fn heard(&mut self, now: Time, from: Sender, message: Message) -> Result<(), Fault> {
        let (Member::Planner(id), Message::Plan(plan)) = (from.member, message) else {
            return Err(Fault::NotItsWord);
        };
        plan.part.check()?;
        if plan.verdicts.len() > MOST_CACHES {
            return Err(Fault::TooMany);
        }
        if self.follower.plan_came(now, id, from.life, plan) { Ok(()) } else { Err(Fault::Old) }
    }

    fn members(&mut self, _: Time, alive: &[Member]) {
        let planners = alive.iter().filter_map(|m| match m {
            Member::Planner(id) => Some(*id),
            Member::Forwarder(_) => None,
        });
        self.planners = planners.collect();
    }

    fn next_letter(&mut self, now: Time) -> Option<(Member, Message)> {
        if now >= self.next_report {
            let late = now - self.next_report;
            self.next_report = if late < BEAT { self.next_report + BEAT } else { now + BEAT };
            // What was not pulled in a whole beat is older than what comes now.
            self.letters.clear();
            let parts = self.follower.report();
            for planner in &self.planners {
                let to = Member::Planner(*planner);
                self.letters.extend(parts.iter().map(|p| (to, Message::Report(p.clone()))));
            }
        }
        self.letters.pop_front()
    }

    fn next_wake(&self, now: Time) -> Option<Time> {
        Some(if self.letters.is_empty() { self.next_report } else { now })
    }

    fn entries(&self) -> usize {
        self.follower.entries() + self.planners.len() + self.letters.len()
    }
}
