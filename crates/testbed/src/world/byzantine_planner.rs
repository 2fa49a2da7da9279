//! A planner that holds the secret and lies: it stands at a planner's address while that one is stopped.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use tokio::net::UdpSocket;

use super::planner::number_of;
use crate::experiment::FalseClaim;
use crate::message_reference::{
    self, AuditResult, Beat, Health, Hindsight, Lease, Part, Said, Sender, Signer, Standing,
};

const BEATS: Duration = Duration::from_millis(300);
/// More members than a world has are none of it.
const MOST: usize = 128;
/// Caches named in a letter.
const NAMED: usize = 40;

/// Lies until it is dropped.
pub async fn stand(
    planner: usize,
    at: SocketAddr,
    secret: Vec<u8>,
    lie: FalseClaim,
    whole: [u32; 2],
    lasts: u32,
) {
    let Ok(socket) = UdpSocket::bind(at).await else { return };
    let life = UNIX_EPOCH.elapsed().unwrap_or_default().as_micros() as u64;
    let mut number = 0;
    let mut sender = || {
        number += 1;
        Sender { member: Signer::Planner(number_of(planner)), life, number }
    };
    let (mut heard, mut caches) = (BTreeSet::new(), BTreeSet::new());
    let mut version = 0;
    let mut beat = tokio::time::interval(BEATS);
    let mut bytes = vec![0; 2048];
    loop {
        tokio::select! {
            _ = beat.tick() => {
                for to in &heard {
                    let letter = message_reference::write(&secret, message_reference::MEMBERS, sender(), &Beat::Beat);
                    let _ = socket.send_to(&letter.unwrap_or_default(), to).await;
                    version += 1;
                    let verdicts = caches.iter().map(|c| (*c, AuditResult::Fails { ago: 0 })).collect();
                    let plan = Health::Plan { version, part: Part(0, 1), forwarders: 99, verdicts };
                    let letter = message_reference::write(&secret, message_reference::VERDICTS, sender(), &plan);
                    if lie == FalseClaim::CachesFail {
                        let _ = socket.send_to(&letter.unwrap_or_default(), to).await;
                    }
                    let worse = |c: &u64| Said { cache: *c, product: 0, standing: Standing::Worse, more: 3.0, low: 2.0, high: 4.0 };
                    let said = Hindsight::Times(caches.iter().map(worse).collect());
                    let letter = message_reference::write(&secret, message_reference::HINDSIGHT, sender(), &said);
                    if lie == FalseClaim::CachesSlow {
                        let _ = socket.send_to(&letter.unwrap_or_default(), to).await;
                    }
                }
            }
            came = socket.recv_from(&mut bytes) => {
                let Ok((count, from)) = came else { continue };
                if heard.len() < MOST {
                    heard.insert(from);
                }
                if let Some((_, Health::Report { caches: seen, .. })) =
                    message_reference::read(&secret, message_reference::VERDICTS, &bytes[..count])
                {
                    caches.extend(seen.iter().map(|s| s.cache).take(NAMED - caches.len().min(NAMED)));
                }
                let read = message_reference::read::<Lease>(&secret, message_reference::LEASES, &bytes[..count]);
                let (Some((_, Lease::Ask { ask, needs })), FalseClaim::GrantEverything) = (read, lie) else { continue };
                let all = |r| whole[usize::from(r != message_reference::Resource::Origin)];
                let granted = needs.iter().map(|n| (n.resource, all(n.resource))).collect();
                let grant = Lease::Grant { ask, granted, lasts };
                let letter = message_reference::write(&secret, message_reference::LEASES, sender(), &grant);
                let _ = socket.send_to(&letter.unwrap_or_default(), from).await;
            }
        }
    }
}
