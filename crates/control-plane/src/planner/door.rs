//! The planner's door: how many letters of one sender are read. A flood must not cost so much that others go unheard, and a
//! letter is dear: its tag is reckoned, its faculty takes it in, and what must not be shed holds up what comes after it.
//!
//! - **Before the tag**, by the address that it came from: [`MOST`] a second from one that a member was heard from, a few
//!   from any other, and [`STRANGERS`] from all others together. Who is known has a purse of its own, which no stranger
//!   can empty.
//! - **After it**, by the member that signed it: [`MOST`] a second, by however many addresses it comes.
//!
//! What goes over that is as good as lost by the network, which every faculty stands. An address counts as known by a
//! letter that was signed and new, so that a replay makes none known.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::Member;
use granitelb_coordination::component::Remediation;
use thiserror::Error;

/// Letters a second, and at once: a forwarder in a crowd of 2,000 caches writes some hundreds at most.
const MOST: f64 = 1000.0;
/// Of an address that no member was heard from: enough to be heard once, even by a network that loses half.
const STRANGER: f64 = 20.0;
/// Of all of these together: as many forwarders as a planner knows may come at once.
const STRANGERS: f64 = 5000.0;
/// Strangers that are told apart; those beyond go by the sum alone.
const MOST_STRANGERS: usize = 1024;
const MOST_KNOWN: usize = 8192;
/// An address from which no member was heard for so long is a stranger's again.
const FORGOTTEN: Span = Span::from_millis(10_000);
const SECOND: Span = Span::from_millis(1000);

/// Why a letter is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TooOften {
    #[error("more letters in a second than a member writes, from {0}")]
    Address(SocketAddr),
    #[error("many letters from addresses that no member was heard from, the last {0}")]
    Strangers(SocketAddr),
    #[error("more letters in a second than a member writes, signed by {0}")]
    Member(Member),
}

impl TooOften {
    /// A name that stays the same, for counts in the log.
    pub fn name(&self) -> &'static str {
        match self {
            TooOften::Address(_) => "flood",
            TooOften::Strangers(_) => "flood_of_strangers",
            TooOften::Member(_) => "flood_of_member",
        }
    }
}

impl Remediation for TooOften {
    fn remediation(&self) -> &'static str {
        match self {
            TooOften::Address(_) | TooOften::Strangers(_) => {
                "Find out who sends there, and close the letters' port to all but members. Members that are known are heard \
                 all the same; new ones may take some seconds to be."
            }
            TooOften::Member(_) => {
                "Look what runs under this name and stop it; if it is no member of this fleet, turn the secret over."
            }
        }
    }
}

/// So many a second, and as many at once.
#[derive(Clone, Copy, Debug)]
struct Purse {
    left: f64,
    at: Time,
}

impl Purse {
    fn full(now: Time, most: f64) -> Purse {
        Purse { left: most, at: now }
    }

    fn pays(&mut self, now: Time, most: f64) -> bool {
        self.left = (self.left + (now - self.at).as_secs_f64() * most).min(most);
        self.at = now;
        let pays = self.left >= 1.0;
        self.left -= f64::from(u8::from(pays));
        pays
    }
}

pub struct Door {
    /// Each with when a member was heard from there last.
    known: BTreeMap<SocketAddr, (Purse, Time)>,
    strangers: BTreeMap<SocketAddr, Purse>,
    all_strangers: Purse,
    members: BTreeMap<Member, Purse>,
    swept: Time,
}

impl Door {
    pub fn new(now: Time) -> Door {
        Door {
            known: BTreeMap::new(),
            strangers: BTreeMap::new(),
            all_strangers: Purse::full(now, STRANGERS),
            members: BTreeMap::new(),
            swept: now,
        }
    }

    /// Something has come from here.
    ///
    /// # Errors
    /// Where it is not to be read.
    pub fn comes(&mut self, now: Time, from: SocketAddr) -> Result<(), TooOften> {
        self.sweep(now);
        if let Some((purse, _)) = self.known.get_mut(&from) {
            return if purse.pays(now, MOST) { Ok(()) } else { Err(TooOften::Address(from)) };
        }
        let room = self.strangers.len() < MOST_STRANGERS;
        let own = match self.strangers.get_mut(&from) {
            Some(purse) => Some(purse),
            None if room => Some(self.strangers.entry(from).or_insert(Purse::full(now, STRANGER))),
            None => None,
        };
        if own.is_some_and(|purse| !purse.pays(now, STRANGER)) || !self.all_strangers.pays(now, STRANGERS) {
            return Err(TooOften::Strangers(from));
        }
        Ok(())
    }

    /// It is signed by this member.
    ///
    /// # Errors
    /// Where it is to go no further.
    pub fn signed(&mut self, now: Time, member: Member) -> Result<(), TooOften> {
        if self.members.len() >= MOST_KNOWN && !self.members.contains_key(&member) {
            // There are more names than the members have room for: they say so.
            return Ok(());
        }
        let purse = self.members.entry(member).or_insert(Purse::full(now, MOST));
        if purse.pays(now, MOST) { Ok(()) } else { Err(TooOften::Member(member)) }
    }

    /// It was new, too: a member is heard from here.
    pub fn on_message(&mut self, now: Time, from: SocketAddr) {
        self.strangers.remove(&from);
        let room = self.known.len() < MOST_KNOWN;
        match self.known.get_mut(&from) {
            Some((_, heard)) => *heard = now,
            None if room => drop(self.known.insert(from, (Purse::full(now, MOST), now))),
            None => {}
        }
    }

    /// Forgets whoever would be as good as new, once a second.
    fn sweep(&mut self, now: Time) {
        if now - self.swept < SECOND {
            return;
        }
        self.swept = now;
        // A purse that lay for a second is full again.
        self.strangers.retain(|_, purse| now - purse.at < SECOND);
        self.members.retain(|_, purse| now - purse.at < SECOND);
        self.known.retain(|_, (_, heard)| now - *heard < FORGOTTEN);
    }
}

#[cfg(test)]
mod tests;
