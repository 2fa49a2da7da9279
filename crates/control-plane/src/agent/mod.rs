//! The forwarder's letters: a thread beside the one loop that owns their socket and the forwarder's side of each
//! faculty. It is told by the loop what it sees, and lays out what planners say; see `desk`.
//!
//! A thread of plain sockets and no runtime: there are letters, and nothing else to wait for. It looks in once a
//! `ROUND`, or when a planner's letter comes, and reads no more than so many letters in a round: a flood of junk costs it a
//! few hundredths of a core, and the kernel drops the rest, of which no planner's are; see `ways`.
//!
//! Why calls never hang on it: the loop waits for nothing here, and all that it takes from here ends by itself. A
//! lease has its end, by the one clock of this process; what is said of a cache lasts a second. So whether the courier
//! is slow, stopped, or dead, the module goes on as it does alone. One that panics is named in the log and made anew
//! under a new life, and one that planners took for dead goes on under a new one: what was granted to the former life is
//! not used by it, and the module's leases of before end where they would have.

mod handle;
mod notes;
mod sides;
mod tally;
#[cfg(test)]
mod tests;
mod ways;

use std::io;
use std::net::Ipv4Addr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::message::{self, MAX_DATAGRAM_BYTES};
use granitelb_coordination::observation::Observation;
use granitelb_coordination::{ForwarderId, Incarnation, Member, Sender};
use xxhash_rust::xxh3::xxh3_64;

pub use self::handle::AgentHandle;
use self::handle::{AgentChannel, Left};
use self::notes::Accounts;
pub use self::notes::{RawObservation, SentAttempt};
use self::sides::Sides;
use self::tally::{Refused, Tally};
use self::ways::Ways;
use crate::fleet_config::FleetConfig;

/// It looks in so often where no letter comes.
const ROUND: Duration = Duration::from_millis(25);
/// Letters that are written in a round.
const MOST_WRITTEN: usize = 256;
/// Notes that are taken in a round, before letters are looked at again.
const MOST_TAKEN: usize = 8192;
/// Advice is laid out so often, and when a letter has come: what planners are silent on must end.
const ADVISES: Span = Span::from_millis(200);
const TALLY: Span = Span::from_millis(60_000);
/// One that broke is made anew after this.
const PAUSE: Duration = Duration::from_millis(1000);

/// The same number at all nodes for a call that clients name so.
pub fn call_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A courier that is not on its way yet.
pub struct Agent {
    me: ForwarderId,
    address: Ipv4Addr,
    operator: FleetConfig,
    renewal: Renewal,
}

/// Gives a courier another operator's file.
#[derive(Clone, Default)]
pub struct Renewal(Arc<Mutex<Option<FleetConfig>>>);

impl Renewal {
    pub fn renew(&self, operator: FleetConfig) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(operator);
    }

    fn take(&self) -> Option<FleetConfig> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Agent {
    /// For the forwarder of this name; letters come and go by this address.
    pub fn new(operator: FleetConfig, name: &str, address: Ipv4Addr) -> Agent {
        Agent { me: ForwarderId::of_name(name), address, operator, renewal: Renewal::default() }
    }

    pub fn renewal(&self) -> Renewal {
        self.renewal.clone()
    }

    /// Sets out, by the loop's own clock. It ends when the desk is dropped.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn start(self, clock: impl Fn() -> Time + Send + 'static) -> io::Result<AgentHandle> {
        let (desk, hatch) = handle::open();
        let office = Office {
            me: self.me,
            address: self.address,
            operator: self.operator,
            renewal: self.renewal,
            clock: Box::new(clock),
            hatch,
            accounts: Accounts::default(),
            incarnation: Incarnation(0),
            number: 0,
            listed: None,
            tally: Tally::default(),
        };
        std::thread::Builder::new().name("courier".into()).spawn(move || attend(office))?;
        Ok(desk)
    }
}

/// What outlives one courier, for the next.
struct Office {
    me: ForwarderId,
    address: Ipv4Addr,
    operator: FleetConfig,
    renewal: Renewal,
    clock: Box<dyn Fn() -> Time + Send>,
    hatch: AgentChannel,
    accounts: Accounts,
    incarnation: Incarnation,
    /// Of the last letter, over all lives.
    number: u64,
    /// The last list that was told: a new courier has to know it.
    listed: Option<Observation>,
    tally: Tally,
}

enum Ended {
    /// The loop has ended.
    Left,
    Broken(io::Error),
}

/// Has somebody at the desk for as long as there is a loop.
fn attend(mut office: Office) {
    loop {
        match catch_unwind(AssertUnwindSafe(|| office.serve())) {
            Ok(Ended::Left) => return,
            Ok(Ended::Broken(trouble)) => {
                log::error!(event = "courier_broken"; "letters stopped, to be taken up anew: {trouble}. Calls go on as they do alone; look whether the system gives sockets at {}.", office.address);
            }
            Err(_) => {
                log::error!(event = "courier_died"; "the courier died and is made anew. Calls go on as they do alone; report the lines before this one.");
            }
        }
        std::thread::sleep(PAUSE);
    }
}

impl Office {
    fn next_incarnation(&mut self, now: Time, least: Incarnation) -> Incarnation {
        // Later than any before, also of a process before this one.
        self.incarnation = Incarnation(now.0.max(self.incarnation.0 + 1)).max(least);
        self.incarnation
    }

    /// Serves until the loop ends.
    fn serve(&mut self) -> Ended {
        let now = (self.clock)();
        let incarnation = self.next_incarnation(now, Incarnation(0));
        let mut sides = Sides::new(&self.operator, self.me, incarnation, now);
        if let Some(listed) = &self.listed {
            sides.seen(now, listed);
        }
        let mut ways = match Ways::open(self.address, &self.operator.planners) {
            Ok(ways) => ways,
            Err(trouble) => return Ended::Broken(trouble),
        };
        let mut strangers_at = now;
        let (mut advise_at, mut tally_at) = (now, now + TALLY);
        log::info!(event = "courier"; "letters go by {} to {} planners", ways.name(), self.operator.planners.len());
        loop {
            let came = match self.receive(&ways, &mut sides, &mut strangers_at) {
                Ok(came) => came,
                Err(trouble) => return Ended::Broken(trouble),
            };
            if self.take_notes(&mut sides).is_err() {
                sides.leave();
                self.write(&ways, &mut sides);
                return Ended::Left;
            }
            let now = (self.clock)();
            if came {
                advise_at = now;
            }
            sides.tell_alive(now);
            let renewed = self.renewal.take();
            if sides.needs_new_incarnation() || renewed.is_some() {
                self.renew(&mut sides, renewed, now);
                ways.set_planners(&self.operator.planners);
            }
            if self.hatch.is_taken() {
                self.write(&ways, &mut sides);
                if advise_at <= now {
                    let now = (self.clock)();
                    advise_at = now + ADVISES;
                    self.hatch.advise(now, sides.advice(now));
                }
            }
            while let Some(remark) = sides.poll_event() {
                let level = if remark.is_warning { log::Level::Warn } else { log::Level::Info };
                log::log!(level, event = remark.name; "{}", remark.message);
            }
            if tally_at <= now {
                tally_at = now + TALLY;
                self.tally.log();
            }
        }
    }

    /// Goes on under a new life: what was granted or told to the one before counts no more. Not for other secrets or
    /// addresses alone.
    fn renew(&mut self, sides: &mut Sides, operator: Option<FleetConfig>, now: Time) {
        if let Some(operator) = operator {
            log::info!(event = "operator_renewed"; "the operator's file was read again: {operator}");
            let same = operator.decides_as(&self.operator);
            self.operator = operator;
            if same && !sides.needs_new_incarnation() {
                return;
            }
        }
        let incarnation = self.next_incarnation(now, sides.min_next_incarnation());
        sides.renew(&self.operator, incarnation, now);
        if let Some(listed) = &self.listed {
            sides.seen(now, listed);
        }
    }

    /// Writes what is to be written, for a round at the most.
    fn write(&mut self, ways: &Ways, sides: &mut Sides) {
        for _ in 0..MOST_WRITTEN {
            // Each by the clock of its own moment: leases count from when they were asked for.
            let Some((to, letter)) = sides.poll_message((self.clock)()) else { return };
            let Member::Planner(planner) = to else { continue };
            let Some(address) = self.operator.planners.get(&planner) else { continue };
            self.number += 1;
            let sender = Sender {
                member: Member::Forwarder(self.me),
                incarnation: self.incarnation,
                sequence: self.number,
            };
            match message::seal(sender, &letter, &self.operator.secrets) {
                Ok(bytes) => {
                    if let Err(trouble) = ways.send(planner, *address, &bytes) {
                        self.tally.unsent(&trouble);
                    }
                }
                Err(fault) => self.tally.refused(Refused::Message(fault)),
            }
        }
    }

    /// Reads what has come, for a round at the most; whether anything was taken. Strangers are looked at once a round.
    fn receive(&mut self, ways: &Ways, sides: &mut Sides, strangers_at: &mut Time) -> io::Result<bool> {
        let mut came = false;
        ways.wait(ROUND)?;
        let now = (self.clock)();
        let strangers = *strangers_at <= now;
        if strangers {
            *strangers_at = now + Span(ROUND.as_micros() as u64);
        }
        let take = |bytes: &[u8]| {
            let opened = message::open(bytes, &self.operator.secrets).map_err(Refused::Message);
            let heard = opened.and_then(|(from, letter)| sides.on_message((self.clock)(), from, letter));
            match heard {
                Ok(()) => came = true,
                Err(refused) => self.tally.refused(refused),
            }
        };
        if ways.read(take, &mut [0; MAX_DATAGRAM_BYTES + 1], strangers)? {
            // A flood: what is beyond a round's letters is left to the kernel to drop.
            std::thread::sleep(ROUND);
        }
        Ok(came)
    }

    fn take_notes(&mut self, sides: &mut Sides) -> Result<(), Left> {
        for _ in 0..MOST_TAKEN {
            let Some((at, note)) = self.hatch.next()? else { break };
            let Some(sight) = self.accounts.sight(note) else { continue };
            sides.seen(at, &sight);
            if let Observation::EndpointsChanged(_) = sight {
                self.listed = Some(sight);
            }
        }
        self.tally.dropped(self.hatch.take_dropped());
        Ok(())
    }
}
