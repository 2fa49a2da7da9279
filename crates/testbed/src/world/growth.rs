//! What a world does for shards that grow: caches hold their keys, planners are told of the days before, and faults wait for
//! a split's step.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use tokio::net::UdpSocket;

use super::World;
use super::cache::Seat;
use super::planner::number_of;
use crate::event_log::{EventLogWriter, Member, Timestamp, Version};
use crate::experiment::{Experiment, Fault, GrowthForm};
use crate::message_reference::{self, MessageKind, Sender, Signer};
use crate::schedule::mixed;
use crate::shard_map_reference::{DaySize, Placement, ShardGrowthMessage, SplitPhase, VALUE_BYTES, keys_of};

/// A planner that has not taken the days by then is not going to.
const TAKES: Duration = Duration::from_secs(4);
const AGAIN: Duration = Duration::from_millis(50);
/// How often it is looked for a step.
const LOOKS: Duration = Duration::from_millis(10);
/// Days in one letter.
const IN_A_LETTER: usize = 75;

/// How much earlier than its calls such a world begins.
pub fn lead(of: &Experiment) -> Duration {
    let taught = of.growth.as_ref().is_some_and(|g| g.known_days > 0);
    if taught { Duration::from_secs(3) } else { Duration::ZERO }
}

/// The keys that there are at first, each where it stands by the table.
pub fn preload(of: &Experiment, seats: &[Arc<Seat>], event_log: &EventLogWriter) {
    let Some(form) = &of.growth else { return };
    let there = &seats[..of.world.caches];
    let names: Vec<String> =
        event_log.write(|b| there.iter().map(|seat| b.servers[seat.id().0].name.clone()).collect());
    let places = Placement::new(names.iter().map(String::as_str));
    for key in form.shards.iter().flat_map(|shard| keys_of(*shard, form.keys as usize)) {
        if let Some(place) = places.cache_of(key, 0) {
            there[place].store(key, Version(0), Version(0));
        }
    }
}

/// The days before the run: what a shard kept on each, give or take half a part of a hundred.
fn known(form: &GrowthForm, of: &Experiment, event_log: &EventLogWriter, shard: u8) -> Vec<DaySize> {
    let day_ms = 1000.0 / of.days_at(1.0).max(1e-9);
    let start = event_log.unix_start_ms as f64 / day_ms;
    let today = UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as f64 / day_ms;
    // Two of the last may be counted still.
    let last = today as u32 - 2;
    let days = (last + 1).saturating_sub(form.known_days)..=last;
    days.map(|day| {
        let drawn = (mixed(u64::from(day), u64::from(shard)) >> 11) as f64 / (1u64 << 53) as f64;
        let keys = form.keys_on(f64::from(day) - start) * (0.995 + 0.01 * drawn);
        DaySize { day, bytes: (keys * VALUE_BYTES as f64) as f32, keys: keys as f32 }
    })
    .collect()
}

/// Starts the first planner and tells it of the days before, as another planner that knew them would: an earlier life of
/// the second one. It tells the others.
///
/// # Errors
/// It did not take them.
pub async fn teach(world: &World) -> Result<(), String> {
    let Some(form) = world.experiment.growth.as_ref().filter(|g| g.known_days > 0) else { return Ok(()) };
    let (address, secret) = (world.planners[0].lock().await.address, &world.secret);
    world.planners[0].lock().await.start()?;
    let socket = UdpSocket::bind(("127.0.0.1", 0)).await.map_err(|e| e.to_string())?;
    let began = tokio::time::Instant::now();
    let mut number = 0;
    while began.elapsed() < TAKES {
        for shard in &form.shards {
            for days in known(form, &world.experiment, &world.event_log, *shard).chunks(IN_A_LETTER) {
                number += 1;
                let sender =
                    Sender { member: Signer::Planner(number_of(1)), incarnation: 1, sequence: number };
                let message = ShardGrowthMessage::EndedDays { shard: *shard, days: days.to_vec() };
                let letter = message_reference::encode(secret, MessageKind::ShardGrowth, sender, &message)
                    .unwrap_or_default();
                let _ = socket.send_to(&letter, address).await;
            }
        }
        tokio::time::sleep(AGAIN).await;
        // What it tells the others it has.
        let told = world.event_log.write(|b| {
            let from = |l: &&crate::event_log::RelayedMessage| l.from == Member::Planner(0);
            let read = |l: &crate::event_log::RelayedMessage| {
                message_reference::decode::<ShardGrowthMessage>(secret, MessageKind::ShardGrowth, &l.bytes)
            };
            let told = b.messages.iter().filter(from).filter_map(read);
            let shards = told.filter_map(|(_, m)| {
                if let ShardGrowthMessage::EndedDays { shard, .. } = m { Some(shard) } else { None }
            });
            shards.collect::<std::collections::BTreeSet<u8>>()
        });
        if form.shards.iter().all(|shard| told.contains(shard)) {
            return Ok(());
        }
    }
    Err("the first planner took no history".into())
}

/// The fault with the time at which it comes about: at its own, or when a node is told of its step after that. None where
/// that never was.
pub async fn awaits_step(world: &World, mut fault: Fault) -> Option<Fault> {
    tokio::time::sleep_until(world.event_log.instant(Timestamp::from_s(fault.at_s)).into()).await;
    let Some(step) = fault.at_step else { return Some(fault) };
    let mut seen = 0;
    loop {
        let now = world.event_log.now().seconds();
        if now + fault.for_s > world.experiment.seconds {
            return None;
        }
        let told = world.event_log.write(|b| {
            let new = b.messages[seen.min(b.messages.len())..].iter();
            let to_node = new.filter(|l| matches!(l.to, Member::Node(_))).map(|l| l.bytes.clone());
            let letters: Vec<Vec<u8>> = to_node.collect();
            seen = b.messages.len();
            letters
        });
        if told.iter().any(|bytes| tells_of(&world.secret, bytes, step)) {
            fault.at_s = now;
            return Some(fault);
        }
        tokio::time::sleep(LOOKS).await;
    }
}

fn tells_of(secret: &[u8], letter: &[u8], step: SplitPhase) -> bool {
    let Some((_, ShardGrowthMessage::Map { map: form })) =
        message_reference::decode::<ShardGrowthMessage>(secret, MessageKind::ShardGrowth, letter)
    else {
        return false;
    };
    form.shards.values().any(|s| s.phase == Some(step))
}
