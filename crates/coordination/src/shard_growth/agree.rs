//! How planners agree on the table's form: single-decree Paxos for each version, by ballots, with a majority of the
//! *configured* planners. A version's proposer is whoever takes itself to lead; that two do costs time alone.
//!
//! Invariant: of one version no two forms are ever decided. A form is decided once a majority has kept it under one
//! ballot; a proposer first hears from a majority, each of which has kept a promise to take no lower ballot, and goes on
//! with the form of the highest ballot that any of them had taken; and any two majorities share a planner. It rests on
//! promises that outlast a restart: no letter goes out before what it says is kept (`next_letter` gives none until
//! `to_keep` was pulled). A planner that comes back with nothing kept has forgotten its promises: it votes on nothing until
//! all others have said where they are. Each that is asked gives up the proposal that it has, so that no forgotten vote
//! counts any more, and says what it promised, below which the asker then votes for nothing: its own forgotten promise
//! was to one of them. It takes over what they took, in place of what it forgot. Two that lose their disks at once
//! are beyond this, and so is one that is alone.
//!
//! Versions are one chain: a planner votes on the one after the last that it knows to be decided, and on no other. A
//! proposer tells the form that its proposal rests on before it asks, so that a majority keeps that one too.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::form::{Form, FormVersion};
use crate::member::{Incarnation, PlannerId};

/// A try at a version: higher ones win, and no two planners have the same, nor two lives of one: it may have lost what it
/// kept of its earlier tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub planner: u8,
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Vote {
    /// Take no lower ballot than this for the version, and say what you took.
    Prepare {
        version: FormVersion,
        ballot: Ballot,
    },
    Promise {
        version: FormVersion,
        ballot: Ballot,
        took: Option<(Ballot, Form)>,
    },
    /// Take this form; its version is within.
    Accept {
        ballot: Ballot,
        form: Form,
    },
    Took {
        version: FormVersion,
        ballot: Ballot,
    },
    /// A higher ballot was promised.
    Refused {
        version: FormVersion,
        promised: Ballot,
    },
    Decided {
        form: Form,
    },
    /// Asks where a planner is: by one that has nothing kept. Answers to its earlier lives are void.
    Where {
        incarnation: u64,
    },
    /// What it promised and took for the version after the decided one, which it tells by a letter of its own.
    Here {
        to_life: u64,
        decided: FormVersion,
        promised: Ballot,
        took: Option<(Ballot, Form)>,
    },
}

/// What outlasts a restart.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub decided: Form,
    /// For the version after that.
    pub promised: Ballot,
    pub took: Option<(Ballot, Form)>,
}

#[derive(Clone, Debug)]
struct Proposal {
    ballot: Ballot,
    wants: Form,
    promises: BTreeMap<PlannerId, Option<(Ballot, Form)>>,
    /// Set once a majority has promised.
    asks: Option<Form>,
    took: BTreeSet<PlannerId>,
}

#[derive(Clone, Debug)]
pub struct Agree {
    me: PlannerId,
    incarnation: Incarnation,
    planners: BTreeSet<PlannerId>,
    majority: usize,
    kept: Kept,
    /// While nothing kept was found: who has said where it is.
    recovering: Option<BTreeMap<PlannerId, Said>>,
    proposal: Option<Proposal>,
    out: VecDeque<(PlannerId, Vote)>,
    unkept: bool,
    highest_seen: u64,
}

/// Where another planner was: the version it knows to be decided, and its votes on the next.
type Said = (FormVersion, Ballot, Option<(Ballot, Form)>);

/// Letters that wait to be pulled; more are dropped, as the net might.
const MOST_OUT: usize = 256;

impl Agree {
    /// `planners` are all that are configured, and `kept` what this one found on its disk.
    pub fn new(
        me: PlannerId,
        incarnation: Incarnation,
        planners: BTreeSet<PlannerId>,
        kept: Option<Kept>,
    ) -> Agree {
        let majority = planners.len() / 2 + 1;
        let recovering = kept.is_none().then(BTreeMap::new);
        let mut agree = Agree {
            me,
            incarnation,
            majority,
            kept: kept.unwrap_or_default(),
            recovering,
            proposal: None,
            out: VecDeque::new(),
            unkept: false,
            highest_seen: 0,
            planners,
        };
        agree.highest_seen = agree.kept.promised.round;
        agree.recover();
        agree
    }

    /// The same with another count for a majority: for tests that show why it has to be one.
    pub fn with_majority(self, majority: usize) -> Agree {
        Agree { majority, ..self }
    }

    pub fn decided(&self) -> &Form {
        &self.kept.decided
    }

    /// Whether it takes part in votes; not before it was found out what it may have forgotten.
    pub fn votes(&self) -> bool {
        self.recovering.is_none()
    }

    /// Whether a version is being voted on by this planner's own proposal.
    pub fn proposes(&self) -> bool {
        self.proposal.is_some()
    }

    /// Asks for a form to be decided that follows the decided one; also again, after letters may have been lost. Who
    /// took another form at this version before may see that one decided instead.
    pub fn propose(&mut self, form: Form) {
        if !self.votes() || form.version.0 != self.kept.decided.version.0 + 1 {
            return;
        }
        self.highest_seen += 1;
        let ballot = Ballot { round: self.highest_seen, planner: self.me.0, incarnation: self.incarnation.0 };
        let version = form.version;
        self.proposal = Some(Proposal {
            ballot,
            wants: form,
            promises: BTreeMap::new(),
            asks: None,
            took: BTreeSet::new(),
        });
        self.tell_all(&Vote::Decided { form: self.kept.decided.clone() });
        self.tell_all(&Vote::Prepare { version, ballot });
    }

    /// Tells a planner what is decided, or asks all where they are while it is not known.
    pub fn remind(&mut self, planner: PlannerId) {
        if planner == self.me {
            return;
        }
        if self.votes() {
            let form = self.kept.decided.clone();
            self.send(planner, Vote::Decided { form });
        } else {
            self.send(planner, Vote::Where { incarnation: self.incarnation.0 });
        }
    }

    /// False where the sender is none of the configured planners, or says what no planner would.
    pub fn on_message(&mut self, from: PlannerId, vote: Vote) -> bool {
        if !self.planners.contains(&from) || !is_sound(from, &vote) {
            return false;
        }
        match vote {
            Vote::Prepare { version, ballot } => self.on_prepare(from, version, ballot),
            Vote::Promise { version, ballot, took } => self.on_promise(from, version, ballot, took),
            Vote::Accept { ballot, form } => self.on_accept(from, ballot, form),
            Vote::Took { version, ballot } => self.on_took(from, version, ballot),
            Vote::Refused { version, promised } => {
                // The next try is above it; when to try is the leader's to say.
                self.saw(promised);
                let ours = |p: &Proposal| p.wants.version == version && p.ballot < promised;
                self.proposal.take_if(|p| ours(p));
            }
            Vote::Decided { form } => {
                self.learn(form);
                self.recover();
            }
            Vote::Where { incarnation } => {
                // It has forgotten its votes: none counts here any more.
                self.proposal = None;
                self.remind_decided(from);
                let Kept { decided, promised, took } = self.kept.clone();
                self.send(
                    from,
                    Vote::Here { to_life: incarnation, decided: decided.version, promised, took },
                );
            }
            Vote::Here { to_life, decided, promised, took } => {
                if let Some(said) = self.recovering.as_mut().filter(|_| to_life == self.incarnation.0) {
                    said.insert(from, (decided, promised, took));
                    self.recover();
                }
            }
        }
        true
    }

    pub fn poll_message(&mut self) -> Option<(PlannerId, Vote)> {
        if self.unkept { None } else { self.out.pop_front() }
    }

    /// Whether letters wait for something to be kept.
    pub fn is_unkept(&self) -> bool {
        self.unkept
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// What is to be kept, if it has changed since it was pulled last. Nothing before it has recovered: after a restart
    /// it would pass for one that remembers its votes.
    pub fn poll_snapshot(&mut self) -> Option<&Kept> {
        std::mem::take(&mut self.unkept).then_some(&self.kept)
    }

    pub fn entries(&self) -> usize {
        let recovering = self.recovering.as_ref().map_or(0, BTreeMap::len);
        let proposal = self.proposal.as_ref().map_or(0, |p| p.promises.len() + p.took.len());
        self.out.len() + recovering + proposal
    }

    fn recover(&mut self) {
        let others = self.planners.len().saturating_sub(1);
        let Some(said) = self.recovering.as_ref().filter(|s| s.len() >= others) else { return };
        if said.values().any(|(version, ..)| *version > self.kept.decided.version) {
            return;
        }
        // It stands in for its earlier self, as far as another knows what that took: or a second disk that is lost
        // after this one would take along what is known to be decided by these two alone.
        let next: Vec<_> = said.values().filter(|s| s.0 == self.kept.decided.version).collect();
        let promised = next.iter().map(|s| s.1).max().unwrap_or_default();
        let took = next.iter().filter_map(|s| s.2.clone()).max_by_key(|(ballot, _)| *ballot);
        self.recovering = None;
        (self.kept.promised, self.kept.took, self.unkept) = (promised, took, true);
        self.saw(promised);
    }

    /// Whether it may vote on this version; if not, and it knows that one to be decided, it says so.
    fn enters(&mut self, from: PlannerId, version: FormVersion) -> bool {
        if self.recovering.is_some() {
            return false;
        }
        if version <= self.kept.decided.version {
            self.remind_decided(from);
            return false;
        }
        version.0 == self.kept.decided.version.0 + 1
    }

    fn on_prepare(&mut self, from: PlannerId, version: FormVersion, ballot: Ballot) {
        self.saw(ballot);
        if !self.enters(from, version) {
            return;
        }
        if ballot < self.kept.promised {
            return self.send(from, Vote::Refused { version, promised: self.kept.promised });
        }
        (self.kept.promised, self.unkept) = (ballot, true);
        let took = self.kept.took.clone();
        self.send(from, Vote::Promise { version, ballot, took });
    }

    fn on_promise(
        &mut self,
        from: PlannerId,
        version: FormVersion,
        ballot: Ballot,
        took: Option<(Ballot, Form)>,
    ) {
        let majority = self.majority;
        let ours = |p: &&mut Proposal| p.wants.version == version && p.ballot == ballot && p.asks.is_none();
        let Some(p) = self.proposal.as_mut().filter(ours) else { return };
        p.promises.insert(from, took);
        if p.promises.len() < majority {
            return;
        }
        let taken = p.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        let form = taken.map_or(&p.wants, |(_, form)| form).clone();
        p.asks = Some(form.clone());
        self.tell_all(&Vote::Accept { ballot, form });
    }

    fn on_accept(&mut self, from: PlannerId, ballot: Ballot, form: Form) {
        self.saw(ballot);
        let version = form.version;
        if !self.enters(from, version) {
            return;
        }
        if ballot < self.kept.promised {
            return self.send(from, Vote::Refused { version, promised: self.kept.promised });
        }
        (self.kept.promised, self.kept.took, self.unkept) = (ballot, Some((ballot, form)), true);
        self.send(from, Vote::Took { version, ballot });
    }

    fn on_took(&mut self, from: PlannerId, version: FormVersion, ballot: Ballot) {
        let ours = |p: &&mut Proposal| p.wants.version == version && p.ballot == ballot;
        let Some(p) = self.proposal.as_mut().filter(ours) else { return };
        let Some(form) = p.asks.clone() else { return };
        p.took.insert(from);
        if p.took.len() >= self.majority {
            self.learn(form.clone());
            let others: Vec<_> = self.planners.iter().copied().filter(|p| *p != self.me).collect();
            others.into_iter().for_each(|other| self.send(other, Vote::Decided { form: form.clone() }));
        }
    }

    fn learn(&mut self, form: Form) {
        if form.version <= self.kept.decided.version {
            return;
        }
        self.proposal.take_if(|p| p.wants.version <= form.version);
        self.kept = Kept { decided: form, ..Kept::default() };
        self.unkept = self.recovering.is_none();
    }

    fn saw(&mut self, ballot: Ballot) {
        self.highest_seen = self.highest_seen.max(ballot.round);
    }

    fn remind_decided(&mut self, planner: PlannerId) {
        let form = self.kept.decided.clone();
        self.send(planner, Vote::Decided { form });
    }

    fn tell_all(&mut self, vote: &Vote) {
        let all: Vec<_> = self.planners.iter().copied().collect();
        all.into_iter().for_each(|planner| self.send(planner, vote.clone()));
    }

    /// A letter to itself is heard at once; what is said to others waits until it is kept.
    fn send(&mut self, to: PlannerId, vote: Vote) {
        if to == self.me {
            self.on_message(to, vote);
        } else if self.out.len() < MOST_OUT {
            self.out.push_back((to, vote));
        }
    }
}

/// Rounds above this are no planner's: one that made them up would leave no round above its own.
const HIGHEST_ROUND: u64 = 1 << 48;

fn is_sound(from: PlannerId, vote: &Vote) -> bool {
    let round = |b: &Ballot| b.round < HIGHEST_ROUND;
    let next = |v: &FormVersion| v.0 < HIGHEST_ROUND;
    match vote {
        Vote::Prepare { version, ballot } => round(ballot) && next(version) && ballot.planner == from.0,
        Vote::Accept { ballot, form } => {
            round(ballot) && next(&form.version) && form.is_sound() && ballot.planner == from.0
        }
        Vote::Promise { version, ballot, took } => {
            let same = took.as_ref().is_none_or(|(b, f)| round(b) && f.version == *version && f.is_sound());
            round(ballot) && next(version) && same
        }
        Vote::Took { version, ballot } => round(ballot) && next(version),
        Vote::Refused { version, promised } => round(promised) && next(version),
        Vote::Decided { form } => next(&form.version) && form.is_sound(),
        Vote::Where { .. } => true,
        Vote::Here { decided, promised, took, .. } => {
            let after = |f: &Form| f.version.0 == decided.0 + 1 && f.is_sound();
            next(decided) && round(promised) && took.as_ref().is_none_or(|(b, f)| round(b) && after(f))
        }
    }
}
