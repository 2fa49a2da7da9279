//! Who lives. Members say so by beats, and any other letter is as good as one; who is silent for [`FAILURE_TIMEOUT`] is taken
//! for dead. Forwarders beat to all planners, planners to one another and to the forwarders they heard: a star, in which
//! forwarders know nothing of one another.
//!
//! What holds, and why:
//! - **A letter is taken once.** Each carries its sender's life and number; numbers taken are remembered ([`window`]),
//!   and one from before all that is remembered is refused.
//! - **An earlier life is never heard again.** Lives rise; only a greater one than the last heard is news.
//! - **What a member wrote before it was taken for dead counts no more.** A forwarder that comes back under the same
//!   life is refused until it takes a new one; a planner is refused for a beat, in which it finds out by its own clock
//!   that it stood still, and then is heard again: a planner that was cut off from a few is no other for it, and must
//!   not give up what it granted the rest.
//! - **A life that is lesser than the last one heard is told so**, and goes on under one that is greater than that. A
//!   forwarder's only once the other is silent: two of one name are one that is being replaced, and the older may go on as
//!   a lone one until it ends. A planner's at once: of two under one number each takes that from the other, and since who
//!   is new leases nothing for some seconds, neither does until one has ended.
//! - **Who itself stood still judges nobody by that time.** Others were silent since nobody listened.
//! - **Bounded.** Members past the bounds are refused; the longest dead make room first.

mod known;
mod stale;
mod window;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::time::{Span, Time};
use serde::{Deserialize, Serialize};

use crate::component::{Component, Event, FAILURE_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use known::Known;
pub use stale::MembershipError;

pub const MOST_FORWARDERS: usize = 4096;
pub const MOST_PLANNERS: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// I live.
    Beat,
    /// You were silent for long under this life: what you say under it is heard no more.
    YouWereGone { incarnation: Incarnation },
    /// Somebody was heard under your name by a greater life than this one of yours, which is heard no more.
    YouWereSucceeded { incarnation: Incarnation, by: Incarnation },
}

/// Between two calls of the host's; a longer gap is time in which this member stood still.
const STOOD_STILL: Span = Span::from_millis(1000);
/// Those that live are looked through so often for one that is silent.
const LOOKS: Span = Span::from_millis(100);
/// Remarks that nobody pulls are dropped past so many.
const MOST_REMARKS: usize = 64;

pub struct Members {
    me: Member,
    incarnation: Incarnation,
    /// Those of the operator's file, without me.
    planners: BTreeSet<PlannerId>,
    known: BTreeMap<Member, Known>,
    /// When each is beaten to next, unless another letter goes to it before.
    due: BTreeMap<Member, Time>,
    order: BTreeSet<(Time, Member)>,
    /// Who is to be told that it was gone.
    gone: BTreeMap<Member, Incarnation>,
    /// Planners that told this one that it was gone, and when.
    told_by: BTreeMap<Member, Time>,
    /// The greatest life under this member's name that it was told of, and when it gave way to one last.
    succeeded_by: Incarnation,
    gave_way: Option<Time>,
    must_be_new: bool,
    /// The host's last call.
    last: Option<Time>,
    /// The live set as it was told last.
    told: Vec<Member>,
    /// When it was looked through last, and whether it has to be again.
    looked: Time,
    stirred: bool,
    remarks: VecDeque<Event>,
}

/// Spreads beats: the same for the same member.
fn spread(member: Member) -> Span {
    let n = match member {
        Member::Planner(id) => u64::from(id.0),
        Member::Forwarder(id) => id.0,
    };
    Span(n.wrapping_mul(0x9e37_79b9_7f4a_7c15) % HEARTBEAT_INTERVAL.0)
}

impl Members {
    pub fn new(me: Member, incarnation: Incarnation, now: Time) -> Members {
        Members {
            me,
            incarnation,
            planners: BTreeSet::new(),
            known: BTreeMap::new(),
            due: BTreeMap::new(),
            order: BTreeSet::new(),
            gone: BTreeMap::new(),
            told_by: BTreeMap::new(),
            succeeded_by: Incarnation(0),
            gave_way: None,
            must_be_new: false,
            last: Some(now),
            told: Vec::new(),
            looked: now,
            stirred: false,
            remarks: VecDeque::new(),
        }
    }

    /// The planners of the operator's file: they are beaten to whether they were heard or not.
    pub fn set_planners(&mut self, now: Time, planners: impl IntoIterator<Item = PlannerId>) {
        let all = planners.into_iter().filter(|id| usize::from(id.0) < MOST_PLANNERS);
        let planners: BTreeSet<_> = all.filter(|id| Member::Planner(*id) != self.me).collect();
        for id in self.planners.difference(&planners) {
            let member = Member::Planner(*id);
            self.due.remove(&member).map(|at| self.order.remove(&(at, member)));
        }
        self.planners = planners;
        for member in self.planners.clone().into_iter().map(Member::Planner) {
            if !self.due.contains_key(&member) {
                self.beat_at(member, now);
            }
        }
    }

    /// A letter has come: whether it is to be heard. Says whether the set of those that live is another now.
    ///
    /// # Errors
    /// Says why the letter is passed over.
    pub fn take(&mut self, now: Time, from: Sender) -> Result<bool, MembershipError> {
        self.pass(now);
        if from.member == self.me {
            return Err(MembershipError::Mine);
        }
        if let Some(known) = self.known.get_mut(&from.member) {
            let was_alive = known.alive(now);
            let taken = known.take(now, from);
            self.stirred |= was_alive && !known.alive(now);
            if known.is_gone() && matches!(self.me, Member::Planner(_)) {
                self.gone.insert(from.member, from.incarnation);
            }
            if taken.is_ok() && !was_alive {
                self.stirred = true;
                self.remark("member_came", format!("{} is back", from.member));
                self.answer(now, from.member);
            }
            return taken.map(|()| !was_alive);
        }
        self.make_room(now, from.member)?;
        self.known.insert(from.member, Known::new(now, from));
        self.stirred = true;
        self.remark("member_came", format!("{} is there", from.member));
        self.answer(now, from.member);
        Ok(true)
    }

    /// What its sender is to be told of a letter that was refused for its life, if anything: at where it came from, since
    /// the other one of its name is elsewhere.
    pub fn tell_succeeded(&mut self, now: Time, from: Sender) -> Option<MembershipMessage> {
        let Member::Planner(_) = self.me else { return None };
        let known = self.known.get_mut(&from.member)?;
        let other_ended = !known.alive(now);
        let told = matches!(from.member, Member::Planner(_)) || other_ended;
        let by = known.succeeds(now, from.incarnation).filter(|_| told)?;
        Some(MembershipMessage::YouWereSucceeded { incarnation: from.incarnation, by })
    }

    /// The least life under which this member may go on.
    pub fn least_incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.0.max(self.succeeded_by.0).saturating_add(1))
    }

    /// The others that live, in order.
    pub fn alive(&self, now: Time) -> Vec<Member> {
        // Time in which this member stood still is told by the next input, and counts against nobody until then.
        let now = self.last.map_or(now, |last| if now - last >= STOOD_STILL { last } else { now });
        self.known.iter().filter(|(_, k)| k.alive(now)).map(|(m, _)| *m).collect()
    }

    /// The others that live, if they are not the same as when this was asked last.
    pub fn changed(&mut self, now: Time) -> Option<Vec<Member>> {
        self.pass(now);
        // Hosts ask after each letter, and looking through thousands costs more than the letter.
        if !self.stirred && now - self.looked < LOOKS {
            return None;
        }
        (self.looked, self.stirred) = (now, false);
        let alive = self.alive(now);
        if alive == self.told {
            return None;
        }
        let before = std::mem::replace(&mut self.told, alive.clone());
        for gone in before.iter().filter(|m| alive.binary_search(m).is_err()) {
            self.remark("member_gone", format!("{gone} has been silent for {} ms", FAILURE_TIMEOUT.0 / 1000));
        }
        Some(alive)
    }

    /// A letter of any kind goes out to a member: it is as good as a beat. Whoever answers reports that come each beat is
    /// given some time more, so that no beat goes out just before the answer.
    pub fn sent(&mut self, now: Time, to: Member) {
        if self.due.contains_key(&to) {
            self.beat_at(to, now + HEARTBEAT_INTERVAL.scaled(1.25));
        }
    }

    /// Whether this member was taken for dead, so that its faculties have to be made anew under a greater life.
    pub fn must_be_new(&self) -> bool {
        self.must_be_new
    }

    /// This member goes on as a new one; what it knows of others stays.
    pub fn renewed(&mut self, incarnation: Incarnation) {
        self.incarnation = self.incarnation.max(incarnation);
        self.must_be_new = false;
        self.told_by.clear();
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Time goes on; if it did so without this member, others are not held to have been silent.
    fn pass(&mut self, now: Time) {
        let gap = self.last.map_or(Span::ZERO, |last| now - last);
        if gap >= STOOD_STILL {
            self.known.values_mut().for_each(|k| k.excuse(gap));
        }
        if gap >= FAILURE_TIMEOUT && !self.must_be_new {
            self.must_be_new = true;
            let text = format!("stood still for {} ms: goes on under a new life", gap.0 / 1000);
            self.remarks.push_back(Event { name: "stood_still", message: text, is_warning: true });
        }
        self.last = self.last.max(Some(now));
    }

    fn make_room(&mut self, now: Time, member: Member) -> Result<(), MembershipError> {
        let first_forwarder = Member::Forwarder(ForwarderId(0));
        let planners = self.known.range(..first_forwarder);
        let of_planners = planners.clone().count();
        let (alike, room) = match member {
            Member::Planner(_) => (planners, of_planners < MOST_PLANNERS),
            Member::Forwarder(_) => {
                (self.known.range(first_forwarder..), self.known.len() - of_planners < MOST_FORWARDERS)
            }
        };
        if room {
            return Ok(());
        }
        let dead = alike.filter(|(_, k)| !k.alive(now)).min_by_key(|(m, k)| (k.heard(), **m));
        let dead = dead.map(|(m, _)| *m).ok_or(MembershipError::TooMany)?;
        self.known.remove(&dead);
        self.gone.remove(&dead);
        self.told_by.remove(&dead);
        Ok(())
    }

    /// One that was not heard before, or not for long, is beaten to from now on; forwarders not by forwarders.
    fn answer(&mut self, now: Time, member: Member) {
        let star = matches!((self.me, member), (Member::Planner(_), _) | (_, Member::Planner(_)));
        if star && !self.due.contains_key(&member) {
            self.beat_at(member, now + spread(member));
        }
    }

    fn beat_at(&mut self, member: Member, at: Time) {
        if let Some(before) = self.due.insert(member, at) {
            self.order.remove(&(before, member));
        }
        self.order.insert((at, member));
    }

    fn remark(&mut self, event: &'static str, text: String) {
        if self.remarks.len() < MOST_REMARKS {
            self.remarks.push_back(Event { name: event, message: text, is_warning: false });
        }
    }

    /// Whether enough members say that this one was gone. To a forwarder one planner's word is enough: a new life
    /// costs it little. A planner goes by more than half of the planners that live.
    fn is_gone_by(&mut self, now: Time, from: Member) -> bool {
        if let Member::Forwarder(_) = self.me {
            return true;
        }
        self.told_by.insert(from, now);
        self.told_by.retain(|_, at| now - *at < FAILURE_TIMEOUT);
        let peers = self.alive(now).into_iter().filter(|m| matches!(m, Member::Planner(_))).count();
        // Of two planners that were cut from each other neither was dead.
        peers >= 2 && self.told_by.len() * 2 > peers
    }
}

impl Component for Members {
    type Message = MembershipMessage;
    type Error = MembershipError;

    fn on_message(
        &mut self,
        now: Time,
        from: Sender,
        message: MembershipMessage,
    ) -> Result<(), MembershipError> {
        self.pass(now);
        match message {
            MembershipMessage::Beat => {}
            MembershipMessage::YouWereSucceeded { incarnation, by } => {
                if let Member::Forwarder(_) = from.member {
                    return Err(MembershipError::NotItsWord);
                }
                let lately = self.gave_way.is_some_and(|at| now - at < FAILURE_TIMEOUT);
                if incarnation == self.incarnation && by > incarnation && !self.must_be_new && !lately {
                    (self.must_be_new, self.succeeded_by, self.gave_way) = (true, by, Some(now));
                    let text = format!(
                        "{} heard a greater life under this member's name: goes on under a new one. If it comes again, two \
                         processes have one name or number: stop one",
                        from.member
                    );
                    self.remarks.push_back(Event { name: "succeeded", message: text, is_warning: true });
                }
            }
            MembershipMessage::YouWereGone { incarnation } => {
                if let Member::Forwarder(_) = from.member {
                    return Err(MembershipError::NotItsWord);
                }
                if incarnation == self.incarnation && !self.must_be_new && self.is_gone_by(now, from.member) {
                    self.must_be_new = true;
                    let text = format!("{} took this member for dead: goes on under a new life", from.member);
                    self.remarks.push_back(Event { name: "was_gone", message: text, is_warning: true });
                }
            }
        }
        Ok(())
    }

    /// Its own word is what says who lives.
    fn on_membership_change(&mut self, _: Time, _: &[Member]) {}

    fn poll_message(&mut self, now: Time) -> Option<(Member, MembershipMessage)> {
        self.pass(now);
        if let Some((member, incarnation)) = self.gone.pop_first() {
            return Some((member, MembershipMessage::YouWereGone { incarnation }));
        }
        loop {
            let (_, member) = self.order.first().copied().filter(|(at, _)| *at <= now)?;
            let listed = matches!(member, Member::Planner(id) if self.planners.contains(&id));
            if listed || self.known.get(&member).is_some_and(|k| k.alive(now)) {
                self.beat_at(member, now + HEARTBEAT_INTERVAL);
                return Some((member, MembershipMessage::Beat));
            }
            self.due.remove(&member).map(|at| self.order.remove(&(at, member)));
        }
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        // Often enough to see soon who has become silent, and never so late that it looks like standing still.
        let look = now + Span(HEARTBEAT_INTERVAL.0 / 2);
        Some(self.order.first().map_or(look, |(at, _)| look.min(*at)))
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.remarks.pop_front()
    }

    fn entries(&self) -> usize {
        self.known.len() + self.due.len() + self.gone.len() + self.told_by.len() + self.remarks.len()
    }
}
