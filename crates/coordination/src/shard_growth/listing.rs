//! The caches that serve, by what forwarders say: the schedule has to know which caches a shard stands on, and which of
//! them are cold.
//!
//! A cache counts by what two forwarders say of late, or the only one that lives: one that lies changes nothing. Each
//! letter makes sense alone, and what is not said again ends by itself, so that letters may be lost, doubled or late.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use serde::{Deserialize, Serialize};

use super::message::GrowthError;
use crate::member::ForwarderId;
use crate::observation::ObservedEndpoint;

/// In one letter: 20 bytes each at most.
pub const IN_A_LETTER: usize = 50;
/// A forwarder tells of so many caches, and no more are kept of all.
const MOST_OF_ONE: usize = 512;
const MOST_CACHES: usize = 2048;
/// That say the same.
const WITNESSES: usize = 2;

/// A cache as a forwarder has it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub cache: EndpointId,
    pub size: f64,
    pub cold: bool,
}

/// The forwarder's side: its list, and what of it was said.
#[derive(Debug, Default)]
pub struct List {
    servers: Vec<ObservedEndpoint>,
    said: BTreeMap<EndpointId, Listed>,
    due: Time,
}

impl List {
    pub fn learn(&mut self, servers: &[ObservedEndpoint]) {
        self.servers = servers.iter().filter(|s| !s.is_origin).take(MOST_OF_ONE).copied().collect();
    }

    /// All is to be said again: a planner has come that may know nothing.
    pub fn again(&mut self) {
        self.due = Time(0);
    }

    /// What to say now: all of it once in a while, else what has changed.
    pub fn next(&mut self, now: Time, every: Span) -> Vec<Listed> {
        let listed = |s: &ObservedEndpoint| {
            let cold = s.started.is_some_and(|at| now - at < s.warm_after);
            Listed { cache: s.cache, size: s.size, cold }
        };
        let all: Vec<Listed> = self.servers.iter().map(listed).collect();
        let whole = now >= self.due;
        if whole {
            self.due = now + every;
        }
        let news = all.iter().filter(|l| whole || self.said.get(&l.cache) != Some(l)).copied().collect();
        self.said = all.into_iter().map(|l| (l.cache, l)).collect();
        news
    }

    pub fn entries(&self) -> usize {
        self.servers.len() + self.said.len()
    }
}

/// The planner's side: who says what of each cache.
#[derive(Debug, Default)]
pub struct Listings {
    caches: BTreeMap<EndpointId, BTreeMap<ForwarderId, (Listed, Time)>>,
    /// How many caches each forwarder tells of.
    of: BTreeMap<ForwarderId, usize>,
}

/// What is believed of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Believed {
    pub sizes: Vec<(EndpointId, f64)>,
    pub cold: BTreeSet<EndpointId>,
}

impl Listings {
    /// # Errors
    /// Figures that no list has, or more caches than are kept; those before them count.
    pub fn on_message(&mut self, now: Time, from: ForwarderId, listed: &[Listed]) -> Result<(), GrowthError> {
        let sound = |l: &Listed| l.size.is_finite() && l.size > 0.0 && l.size <= 1e9;
        if listed.len() > IN_A_LETTER || !listed.iter().all(sound) {
            return Err(GrowthError::Nonsense);
        }
        for one in listed {
            let full = self.caches.len() >= MOST_CACHES && !self.caches.contains_key(&one.cache);
            let count = self.of.entry(from).or_default();
            let known = self.caches.get(&one.cache).is_some_and(|c| c.contains_key(&from));
            if full || !known && *count >= MOST_OF_ONE {
                return Err(GrowthError::Full);
            }
            *count += usize::from(!known);
            self.caches.entry(one.cache).or_default().insert(from, (*one, now));
        }
        Ok(())
    }

    /// Forgets who lives no more, and what was not said for so long.
    pub fn sweep(&mut self, now: Time, lasts: Span, live: impl Fn(&ForwarderId) -> bool) {
        self.of.clear();
        let of = &mut self.of;
        self.caches.retain(|_, said| {
            said.retain(|from, (_, at)| live(from) && now - *at < lasts);
            said.keys().for_each(|from| *of.entry(*from).or_default() += 1);
            !said.is_empty()
        });
    }

    /// Of so many forwarders that live. Where they differ on a size, the one that most say goes.
    pub fn believed(&self, live: usize) -> Believed {
        let enough = WITNESSES.min(live).max(1);
        let mut believed = Believed::default();
        for (cache, said) in &self.caches {
            let mut sizes: BTreeMap<u64, usize> = BTreeMap::new();
            said.values().for_each(|(l, _)| *sizes.entry(l.size.to_bits()).or_default() += 1);
            let Some((size, count)) = sizes.into_iter().max_by_key(|(_, count)| *count) else { continue };
            if count >= enough {
                believed.sizes.push((*cache, f64::from_bits(size)));
            }
            if said.values().filter(|(l, _)| l.cold).count() >= enough {
                believed.cold.insert(*cache);
            }
        }
        believed
    }

    pub fn entries(&self) -> usize {
        self.of.len() + self.caches.values().map(BTreeMap::len).sum::<usize>()
    }
}
