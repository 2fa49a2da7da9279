//! Forwarders that request and hold leases, each by its own clock, and an audit of the sum of all their
//! leases at each moment. The audit uses only the messages and the machine's clock, and none of the code of
//! planners or forwarders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use granitelb_coordination::leases::{Demand, LeaseMessage, Resource};
use granitelb_coordination::message::{self, Message};
use granitelb_coordination::{Incarnation, Member, PlannerId, Sender};

use super::{Fleet, Forwarder, MAX_DATAGRAM_BYTES, SECRET, secrets};

/// The interval at which each forwarder requests a lease.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// The interval at which the leases of all forwarders are summed up.
const AUDIT_INTERVAL: Duration = Duration::from_millis(2);
/// The amount that each forwarder requests, in thousandths of a fetch a second. It exceeds the part of each
/// forwarder.
const REQUESTED_AMOUNT: u32 = 60_000;

/// A lease that was granted.
struct Lease {
    /// The id of the request for which the lease was granted.
    request: u64,
    /// The leased rate, in thousandths of a fetch a second.
    amount: u32,
    expires_at: Instant,
}

/// A request that is not answered yet.
struct PendingRequest {
    planner: PlannerId,
    sent_at: Instant,
}

/// A forwarder that requests and holds leases.
struct LeaseHolder {
    forwarder: Forwarder,
    /// The rate of the forwarder's clock, relative to the machine's.
    clock_rate: f64,
    last_request: u64,
    pending: BTreeMap<u64, PendingRequest>,
    leases: BTreeMap<(PlannerId, Incarnation), Lease>,
    next_request_at: Instant,
    /// The greatest incarnation of each planner from which a message was received.
    incarnations: BTreeMap<PlannerId, Incarnation>,
}

impl LeaseHolder {
    fn request(&mut self, planner: PlannerId, to: SocketAddr) {
        self.last_request += 1;
        self.pending.insert(self.last_request, PendingRequest { planner, sent_at: Instant::now() });
        let leases_of_planner = self.leases.iter().filter(|((of, _), _)| *of == planner);
        let request_in_use = leases_of_planner.map(|(_, lease)| lease.request).max().unwrap_or(0);
        let demand = Demand {
            resource: Resource::Origin,
            amount: REQUESTED_AMOUNT,
            request_in_use,
            requesters: 1,
            already_held: 0,
        };
        let message =
            Message::Leases(LeaseMessage::Request { request_id: self.last_request, demands: vec![demand] });
        let bytes = self.forwarder.seal(&message, SECRET);
        self.forwarder.send(&bytes, to);
    }

    /// Processes all messages that have arrived, and removes leases that have expired.
    fn receive_all(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while let Ok((length, _)) = self.forwarder.socket.recv_from(&mut buffer) {
            if let Ok((from, message)) = message::open(&buffer[..length], &secrets(SECRET)) {
                self.on_message(from, message);
            }
        }
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.expires_at > now);
    }

    fn on_message(&mut self, from: Sender, message: Message) {
        let Member::Planner(planner) = from.member else { return };
        if !self.record_incarnation(planner, from.incarnation) {
            return;
        }
        let Message::Leases(LeaseMessage::Grant { request_id, granted, duration }) = message else { return };
        let Some(request) = self.pending.remove(&request_id).filter(|request| request.planner == planner)
        else {
            return;
        };
        self.pending.retain(|_, other| other.planner != planner || other.sent_at >= request.sent_at);
        let amount =
            granted.iter().find(|lease| lease.resource == Resource::Origin).map_or(0, |lease| lease.amount);
        let duration = Duration::from_micros(u64::from(duration)).div_f64(self.clock_rate);
        let lease = Lease { request: request_id, amount, expires_at: request.sent_at + duration };
        self.leases.insert((planner, from.incarnation), lease);
    }

    /// Records an incarnation of a planner, and returns whether the planner has sent no message of a greater
    /// one.
    fn record_incarnation(&mut self, planner: PlannerId, incarnation: Incarnation) -> bool {
        let latest = self.incarnations.entry(planner).or_insert(incarnation);
        *latest = incarnation.max(*latest);
        incarnation == *latest
    }
}

/// The result of the audits over a period.
#[derive(Debug, Default)]
pub struct AuditResult {
    /// The maximum of the sum of all leases, in thousandths of a fetch a second.
    pub max_held: u64,
    /// The number of audits in which the sum exceeded the capacity.
    pub violations: u64,
}

/// Forwarders whose leases are audited together.
pub struct LeaseHolders {
    holders: Vec<LeaseHolder>,
    /// The leases that were granted to earlier incarnations of the holders.
    leases_before_restart: Vec<Lease>,
    /// The maximum that may be leased, in thousandths of a fetch a second.
    capacity: u64,
}

impl LeaseHolders {
    /// Creates one holder for each clock rate.
    pub fn new(clock_rates: &[f64], capacity: u64) -> LeaseHolders {
        let holder = |(n, clock_rate): (usize, &f64)| {
            let forwarder = Forwarder::new(&format!("holder-{n}"));
            forwarder.socket.set_nonblocking(true).expect("the socket's mode is set");
            LeaseHolder {
                forwarder,
                clock_rate: *clock_rate,
                last_request: 0,
                pending: BTreeMap::new(),
                leases: BTreeMap::new(),
                next_request_at: Instant::now()
                    + REQUEST_INTERVAL.mul_f64(n as f64 / clock_rates.len() as f64),
                incarnations: BTreeMap::new(),
            }
        };
        LeaseHolders {
            holders: clock_rates.iter().enumerate().map(holder).collect(),
            leases_before_restart: Vec::new(),
            capacity,
        }
    }

    /// During `time`, all holders request leases from one planner, and their leases are audited.
    pub fn request_from_planner(&mut self, fleet: &Fleet, planner: usize, time: Duration) -> AuditResult {
        self.request_from_each(time, |_| Some((planner, fleet.addresses[planner - 1])))
    }

    /// During `time`, each holder requests leases from the planner that `planner_of` returns for the holder,
    /// at that planner's address, or sends nothing for `None`. The leases of all holders are audited every 2
    /// ms.
    pub fn request_from_each(
        &mut self,
        time: Duration,
        planner_of: impl Fn(usize) -> Option<(usize, SocketAddr)>,
    ) -> AuditResult {
        let deadline = Instant::now() + time;
        let mut result = AuditResult::default();
        while Instant::now() < deadline {
            for (n, holder) in self.holders.iter_mut().enumerate() {
                holder.receive_all();
                if holder.next_request_at <= Instant::now() {
                    holder.next_request_at = Instant::now() + REQUEST_INTERVAL;
                    if let Some((planner, to)) = planner_of(n) {
                        holder.request(PlannerId(planner as u8), to);
                    }
                }
            }
            let held = self.total_held();
            result.max_held = result.max_held.max(held);
            result.violations += u64::from(held > self.capacity);
            thread::sleep(AUDIT_INTERVAL);
        }
        result
    }

    /// The sum of all unexpired leases, in thousandths of a fetch a second.
    fn total_held(&self) -> u64 {
        let now = Instant::now();
        let leases =
            self.holders.iter().flat_map(|holder| holder.leases.values()).chain(&self.leases_before_restart);
        leases.filter(|lease| lease.expires_at > now).map(|lease| u64::from(lease.amount)).sum()
    }

    /// Starts a new incarnation of a holder. Its former leases are audited as if they were still in use.
    pub fn restart(&mut self, n: usize) {
        let holder = &mut self.holders[n];
        holder.forwarder.incarnation.0 += 1;
        holder.pending.clear();
        let leases = std::mem::take(&mut holder.leases);
        self.leases_before_restart.extend(leases.into_values());
    }

    /// The sum of a holder's leases, in thousandths of a fetch a second.
    pub fn held_by(&self, n: usize) -> u64 {
        self.holders[n].leases.values().map(|lease| u64::from(lease.amount)).sum()
    }

    /// The greatest incarnation in which a planner has sent a message to the first holder.
    pub fn incarnation_of(&self, planner: usize) -> Option<Incarnation> {
        self.holders[0].incarnations.get(&PlannerId(planner as u8)).copied()
    }
}
