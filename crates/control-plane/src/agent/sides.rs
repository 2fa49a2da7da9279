//! The forwarder's sides of all faculties, as one: letters go to the side that they are for, what the loop saw goes to
//! all, and what they say to the module is put into one advice. A faculty that the operator's file leaves out has no
//! side, and its letters are refused.

use std::collections::BTreeMap;

use granitelb_balancer::calls::{Advice, Lease};
use granitelb_balancer::ids::CacheId;
use granitelb_balancer::time::Time;
use granitelb_coordination::component::{Faculty, Remark};
use granitelb_coordination::membership::Members;
use granitelb_coordination::message::{Kind, Letter};
use granitelb_coordination::observation::Sight;
use granitelb_coordination::{
    ForwarderId, Life, Member, Sender, counterfactual, endpoint_health, leases, shard_growth,
};

use super::tally::Refused;
use crate::fleet_config::Operator;

/// A forwarder's side, whatever its messages are.
trait Side {
    fn seen(&mut self, now: Time, sight: &Sight);
    fn heard(&mut self, now: Time, from: Sender, letter: Letter) -> Result<(), Refused>;
    fn members(&mut self, now: Time, alive: &[Member]);
    fn next_letter(&mut self, now: Time) -> Option<(Member, Letter)>;
    fn next_remark(&mut self) -> Option<Remark>;

    /// Adds what it has to say to the module now.
    fn advise(&mut self, _now: Time, _advice: &mut Advice) {}

    /// The loop sends nothing more.
    fn leave(&mut self) {}
}

/// Makes a faculty's side one of these, by its kind of letters; what it says to the module is given on top.
macro_rules! side {
    ($faculty:ident, $kind:ident $(, $more:item)*) => {
        impl Side for $faculty::AtForwarder {
            fn seen(&mut self, now: Time, sight: &Sight) {
                $faculty::AtForwarder::seen(self, now, sight);
            }

            fn heard(&mut self, now: Time, from: Sender, letter: Letter) -> Result<(), Refused> {
                let Letter::$kind(message) = letter else { return Err(Refused::Off) };
                Faculty::heard(self, now, from, message).map_err(|fault| Refused::of("passed_over", &fault))
            }

            fn members(&mut self, now: Time, alive: &[Member]) {
                Faculty::members(self, now, alive);
            }

            fn next_letter(&mut self, now: Time) -> Option<(Member, Letter)> {
                Faculty::next_letter(self, now).map(|(to, message)| (to, Letter::$kind(message)))
            }

            fn next_remark(&mut self) -> Option<Remark> {
                Faculty::next_remark(self)
            }

            $($more)*
        }
    };
}

side!(
    endpoint_health,
    Verdicts,
    fn advise(&mut self, now: Time, advice: &mut Advice) {
        let said = self.advice(now);
        (advice.failing, advice.answering) = (said.failing, said.answering);
    }
);
side!(
    leases,
    Leases,
    fn advise(&mut self, now: Time, advice: &mut Advice) {
        advice.leases = self.advice(now);
    },
    fn leave(&mut self) {
        leases::AtForwarder::leave(self);
    }
);
side!(
    shard_growth,
    Growth,
    fn advise(&mut self, _now: Time, advice: &mut Advice) {
        advice.table = self.advice();
    }
);
side!(counterfactual, Hindsight);

type Faculties = BTreeMap<Kind, Box<dyn Side>>;

fn faculties(operator: &Operator, me: ForwarderId, life: Life, now: Time) -> Faculties {
    let mut all: Faculties = BTreeMap::new();
    let verdicts = endpoint_health::AtForwarder::new(operator.verdicts(), me, life, now);
    all.insert(Kind::Verdicts, Box::new(verdicts));
    if let Some(settings) = operator.leases() {
        all.insert(Kind::Leases, Box::new(leases::AtForwarder::new(settings, me, life, now)));
    }
    if let Some(settings) = operator.growth_seen() {
        all.insert(Kind::Growth, Box::new(shard_growth::AtForwarder::new(settings, me, life, now)));
    }
    if let Some(settings) = operator.hindsight() {
        all.insert(Kind::Hindsight, Box::new(counterfactual::AtForwarder::new(settings, me, life, now)));
    }
    all
}

/// What frees a server of its lease: more than any node sends.
const FREE: Lease = Lease { most: 1e9, until: Time(0), then: 1e9 };

pub(super) struct Sides {
    me: ForwarderId,
    members: Members,
    faculties: Faculties,
    /// Servers with a lease in the last advice, and those that had one when leases were turned off.
    leased: Vec<CacheId>,
    freed: Vec<CacheId>,
}

impl Sides {
    pub fn new(operator: &Operator, me: ForwarderId, life: Life, now: Time) -> Sides {
        let mut members = Members::new(Member::Forwarder(me), life, now);
        members.set_planners(now, operator.planners.keys().copied());
        let (leased, freed) = (Vec::new(), Vec::new());
        Sides { me, members, faculties: faculties(operator, me, life, now), leased, freed }
    }

    /// Goes on under a new life. Who else lives, and which of their letters came already, is still known.
    pub fn renew(&mut self, operator: &Operator, life: Life, now: Time) {
        self.members.renewed(life);
        self.members.set_planners(now, operator.planners.keys().copied());
        self.faculties = faculties(operator, self.me, life, now);
        if !self.faculties.contains_key(&Kind::Leases) {
            self.freed.append(&mut self.leased);
        } else {
            self.freed.clear();
        }
        let alive = self.members.alive(now);
        self.faculties.values_mut().for_each(|side| side.members(now, &alive));
    }

    pub fn seen(&mut self, now: Time, sight: &Sight) {
        self.faculties.values_mut().for_each(|side| side.seen(now, sight));
    }

    /// A letter that was signed has come.
    pub fn heard(&mut self, now: Time, from: Sender, letter: Letter) -> Result<(), Refused> {
        self.members.take(now, from).map_err(|stale| Refused::of("stale", &stale))?;
        self.tell_alive(now);
        let kind = letter.kind();
        match letter {
            Letter::Members(message) => {
                self.members.heard(now, from, message).map_err(|fault| Refused::of("passed_over", &fault))
            }
            letter => self.faculties.get_mut(&kind).ok_or(Refused::Off)?.heard(now, from, letter),
        }
    }

    /// Tells all sides where the members that live have changed.
    pub fn tell_alive(&mut self, now: Time) {
        if let Some(alive) = self.members.changed(now) {
            self.faculties.values_mut().for_each(|side| side.members(now, &alive));
        }
    }

    /// Whether this process was taken for dead: nothing that was granted to this life counts any more.
    pub fn must_be_new(&self) -> bool {
        self.members.must_be_new()
    }

    /// The least life under which it may go on.
    pub fn least_life(&self) -> Life {
        self.members.least_life()
    }

    pub fn leave(&mut self) {
        self.faculties.values_mut().for_each(|side| side.leave());
    }

    pub fn next_letter(&mut self, now: Time) -> Option<(Member, Letter)> {
        // Beats last: any other letter is as good as one.
        let next = self.faculties.values_mut().find_map(|side| side.next_letter(now));
        let next = next.or_else(|| self.members.next_letter(now).map(|(to, m)| (to, Letter::Members(m))))?;
        self.members.sent(now, next.0);
        Some(next)
    }

    pub fn next_remark(&mut self) -> Option<Remark> {
        let members = self.members.next_remark();
        members.or_else(|| self.faculties.values_mut().find_map(|side| side.next_remark()))
    }

    /// What is to be said to the module now.
    pub fn advice(&mut self, now: Time) -> Advice {
        let mut advice = Advice::default();
        self.faculties.values_mut().for_each(|side| side.advise(now, &mut advice));
        self.leased = advice.leases.iter().map(|(cache, _)| *cache).collect();
        // The module keeps what it was told last, and the loop may miss an advice: said for as long as they are off.
        advice.leases.extend(self.freed.iter().map(|cache| (*cache, FREE)));
        advice
    }
}
