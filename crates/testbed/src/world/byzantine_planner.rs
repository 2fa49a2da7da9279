//! A planner that holds the secret and lies: it stands at a planner's address while that one is stopped.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use tokio::net::UdpSocket;

use super::planner::number_of;
use crate::experiment::Lie;
use crate::message_reference::{
    self, Comparison, ComparisonReport, CounterfactualMessage, Fragment, HealthMessage, HealthStatus,
    LeaseMessage, MembershipMessage, MessageKind, Sender, Signer,
};

const BEATS: Duration = Duration::from_millis(300);
/// More members than a world has are none of it.
const MOST: usize = 128;
/// Caches named in a letter.
const NAMED: usize = 40;

/// Lies until it is dropped.
pub async fn stand(planner: usize, at: SocketAddr, secret: Vec<u8>, lie: Lie, whole: [u32; 2], lasts: u32) {
    let Ok(socket) = UdpSocket::bind(at).await else { return };
    let life = UNIX_EPOCH.elapsed().unwrap_or_default().as_micros() as u64;
    let mut number = 0;
    let mut sender = || {
        number += 1;
        Sender { member: Signer::Planner(number_of(planner)), incarnation: life, sequence: number }
    };
    let (mut heard, mut caches) = (BTreeSet::new(), BTreeSet::new());
    let mut version = 0;
    let mut beat = tokio::time::interval(BEATS);
    let mut bytes = vec![0; 2048];
    loop {
        tokio::select! {
            _ = beat.tick() => {
                for to in &heard {
                    let letter = message_reference::encode(&secret, MessageKind::Membership, sender(), &MembershipMessage::Heartbeat);
                    let _ = socket.send_to(&letter.unwrap_or_default(), to).await;
                    version += 1;
                    let verdicts = caches.iter().map(|c| (*c, HealthStatus::Failing { ago: 0 })).collect();
                    let plan = HealthMessage::Plan { version, fragment: Fragment { index: 0, count: 1 }, nodes: 99, statuses: verdicts };
                    let letter = message_reference::encode(&secret, MessageKind::EndpointHealth, sender(), &plan);
                    if lie == Lie::Verdicts {
                        let _ = socket.send_to(&letter.unwrap_or_default(), to).await;
                    }
                    let worse = |c: &u64| ComparisonReport { cache: *c, request_class: 0, comparison: Comparison::Worse, effect: 3.0, low: 2.0, high: 4.0 };
                    let said = CounterfactualMessage::LatencyRatios(caches.iter().map(worse).collect());
                    let letter = message_reference::encode(&secret, MessageKind::Counterfactual, sender(), &said);
                    if lie == Lie::Standings {
                        let _ = socket.send_to(&letter.unwrap_or_default(), to).await;
                    }
                }
            }
            came = socket.recv_from(&mut bytes) => {
                let Ok((count, from)) = came else { continue };
                if heard.len() < MOST {
                    heard.insert(from);
                }
                if let Some((_, HealthMessage::Report { caches: seen, .. })) =
                    message_reference::decode(&secret, MessageKind::EndpointHealth, &bytes[..count])
                {
                    caches.extend(seen.iter().map(|s| s.cache).take(NAMED - caches.len().min(NAMED)));
                }
                let read = message_reference::decode::<LeaseMessage>(&secret, MessageKind::Leases, &bytes[..count]);
                let (Some((_, LeaseMessage::Request { request: ask, demands: needs })), Lie::Grants) = (read, lie) else { continue };
                let all = |r| whole[usize::from(r != message_reference::Resource::Origin)];
                let granted = needs.iter().map(|n| (n.resource, all(n.resource))).collect();
                let grant = LeaseMessage::Grant { request: ask, granted, duration: lasts };
                let letter = message_reference::encode(&secret, MessageKind::Leases, sender(), &grant);
                let _ = socket.send_to(&letter.unwrap_or_default(), from).await;
            }
        }
    }
}
