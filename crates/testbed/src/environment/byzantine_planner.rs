//! A Byzantine planner: it holds the fleet's secret and sends forged messages from the address of a planner
//! that is stopped meanwhile.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::interval;

use super::planner::planner_number;
use crate::experiment::FalseClaim;
use crate::message_reference::{
    Comparison, ComparisonReport, CounterfactualMessage, Demand, Fragment, HealthMessage, HealthStatus,
    LeaseMessage, MembershipMessage, MessageKind, Resource, Sender, Signer, decode, encode,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The most members that the Byzantine planner sends to: more than any experiment has.
const MAX_MEMBERS: usize = 128;
/// The most caches that a forged message names.
const MAX_CACHES: usize = 40;
/// The number of nodes on whose reports a forged plan claims to be based.
const CLAIMED_NODES: u64 = 99;
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// The amounts of forged grants: each node is granted the whole limit of a resource.
pub struct ForgedGrants {
    /// The amount granted of the origin, in thousandths of a fetch.
    pub origin: u32,
    /// The amount granted of each warming cache, in millionths of a second of work.
    pub warming_cache: u32,
    /// Duration of each grant, in microseconds.
    pub duration: u32,
}

/// Sends forged messages until the future is dropped. Returns at once if the address can't be bound.
pub async fn run(
    planner: usize,
    address: SocketAddr,
    secret: Vec<u8>,
    false_claim: FalseClaim,
    grants: ForgedGrants,
) {
    let Ok(socket) = UdpSocket::bind(address).await else { return };
    let incarnation = UNIX_EPOCH.elapsed().unwrap_or_default().as_micros() as u64;
    let mut byzantine_planner = ByzantinePlanner {
        signer: Signer::Planner(planner_number(planner)),
        incarnation,
        sequence: 0,
        socket,
        secret,
        false_claim,
        grants,
        members: BTreeSet::new(),
        caches: BTreeSet::new(),
        plan_version: 0,
    };
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        tokio::select! {
            _ = heartbeat.tick() => byzantine_planner.on_heartbeat().await,
            received = byzantine_planner.socket.recv_from(&mut buffer) => {
                // An error reports that a message sent earlier could not be delivered.
                let Ok((count, from)) = received else { continue };
                byzantine_planner.on_message(&buffer[..count], from).await;
            }
        }
    }
}

struct ByzantinePlanner {
    signer: Signer,
    incarnation: u64,
    /// The sequence number of the last message.
    sequence: u64,
    socket: UdpSocket,
    secret: Vec<u8>,
    false_claim: FalseClaim,
    grants: ForgedGrants,
    /// Addresses from which messages were received, and to which forged messages are sent.
    members: BTreeSet<SocketAddr>,
    /// Endpoint numbers of the caches that nodes reported.
    caches: BTreeSet<u64>,
    plan_version: u64,
}

impl ByzantinePlanner {
    async fn on_heartbeat(&mut self) {
        for member in self.members.clone() {
            self.send(MessageKind::Membership, &MembershipMessage::Heartbeat, member).await;
            self.plan_version += 1;
            match self.false_claim {
                FalseClaim::CachesFail => {
                    self.send(MessageKind::EndpointHealth, &self.forged_plan(), member).await
                }
                FalseClaim::CachesSlow => {
                    self.send(MessageKind::Counterfactual, &self.forged_comparisons(), member).await;
                }
                FalseClaim::GrantEverything => {}
            }
        }
    }

    async fn on_message(&mut self, bytes: &[u8], from: SocketAddr) {
        if self.members.len() < MAX_MEMBERS {
            self.members.insert(from);
        }
        if let Some((_, HealthMessage::Report { caches, .. })) =
            decode(&self.secret, MessageKind::EndpointHealth, bytes)
        {
            let room = MAX_CACHES - self.caches.len().min(MAX_CACHES);
            self.caches.extend(caches.iter().map(|counts| counts.cache).take(room));
        }
        if self.false_claim == FalseClaim::GrantEverything
            && let Some((_, LeaseMessage::Request { request, demands })) =
                decode(&self.secret, MessageKind::Leases, bytes)
        {
            self.send(MessageKind::Leases, &self.forged_grant(request, &demands), from).await;
        }
    }

    /// A forged plan in which all known caches are failing.
    fn forged_plan(&self) -> HealthMessage {
        let failing = |cache: &u64| (*cache, HealthStatus::Failing { ago: 0 });
        HealthMessage::Plan {
            version: self.plan_version,
            fragment: Fragment { index: 0, count: 1 },
            nodes: CLAIMED_NODES,
            statuses: self.caches.iter().map(failing).collect(),
        }
    }

    /// A forged report in which every known cache is slower than the others.
    fn forged_comparisons(&self) -> CounterfactualMessage {
        let worse = |cache: &u64| ComparisonReport {
            cache: *cache,
            request_class: 0,
            comparison: Comparison::Worse,
            effect: 3.0,
            low: 2.0,
            high: 4.0,
        };
        CounterfactualMessage::LatencyRatios(self.caches.iter().map(worse).collect())
    }

    /// A forged grant of the whole limit of each requested resource.
    fn forged_grant(&self, request: u64, demands: &[Demand]) -> LeaseMessage {
        let all = |demand: &Demand| match demand.resource {
            Resource::Origin => (demand.resource, self.grants.origin),
            Resource::WarmingCache(_) => (demand.resource, self.grants.warming_cache),
        };
        let granted = demands.iter().map(all).collect();
        LeaseMessage::Grant { request, granted, duration: self.grants.duration }
    }

    async fn send(&mut self, kind: MessageKind, message: &impl Serialize, to: SocketAddr) {
        self.sequence += 1;
        let sender = Sender { member: self.signer, incarnation: self.incarnation, sequence: self.sequence };
        if let Some(bytes) = encode(&self.secret, kind, sender, message) {
            // An error is ignored: a datagram may be lost as well.
            let _ = self.socket.send_to(&bytes, to).await;
        }
    }
}
