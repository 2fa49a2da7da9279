//! Support for growing shards: fills caches with their initial keys, sends planners the shard sizes of
//! earlier days, and delays faults until a split reaches a phase.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use super::TestEnvironment;
use super::cache::CacheSlot;
use super::planner::{StartError, planner_number};
use crate::event_log::{EventLogWriter, Member, RelayedMessage, Timestamp, Version};
use crate::experiment::{Experiment, Fault, GrowthConfig};
use crate::message_reference::{MessageKind, Sender, Signer, decode, encode};
use crate::schedule::mix64;
use crate::shard_map_reference::{DaySize, Placement, ShardGrowthMessage, SplitPhase, VALUE_BYTES, keys_of};

/// Time within which the first planner has to accept the history.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(4);
const HISTORY_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Additional time before the first request for an experiment with history.
const HISTORY_LEAD: Duration = Duration::from_secs(3);
/// Interval at which the relayed messages are searched for a split phase.
const PHASE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The most days in one message: more do not fit into a datagram.
const DAYS_PER_MESSAGE: usize = 75;
/// Number of days, up to today, that planners may still be counting themselves; the history ends before them.
const OPEN_DAYS: u32 = 2;
/// Lowest factor of the random variation of a day's size.
const MIN_SIZE_FACTOR: f64 = 0.995;
/// Range of the random variation above [`MIN_SIZE_FACTOR`].
const SIZE_VARIATION: f64 = 0.01;
const MILLIS_PER_SECOND: f64 = 1000.0;
/// Lower limit of the rate of days, which keeps the length of a day finite if days don't pass.
const MIN_DAYS_PER_SECOND: f64 = 1e-9;

/// Why the history could not be sent to the first planner.
#[derive(Debug)]
pub enum HistoryError {
    /// The planner's program can't be started.
    Start(StartError),
    /// The socket that sends the history can't be opened.
    Socket(std::io::Error),
    /// The planner did not accept the history in time.
    Timeout,
}

impl fmt::Display for HistoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HistoryError::Start(error) => write!(f, "{error}"),
            HistoryError::Socket(error) => {
                write!(f, "the socket that sends shard sizes to the first planner can't be opened: {error}")
            }
            HistoryError::Timeout => {
                write!(
                    f,
                    "the first planner did not accept the shard sizes of past days in {HISTORY_TIMEOUT:?}"
                )
            }
        }
    }
}

impl std::error::Error for HistoryError {}

/// Additional time before the first request that the history of growing shards needs.
pub fn lead_time(experiment: &Experiment) -> Duration {
    match &experiment.growth {
        Some(growth) if growth.history_days > 0 => HISTORY_LEAD,
        _ => Duration::ZERO,
    }
}

/// Stores the initial keys of growing shards, each in the cache to which an unsplit shard map assigns the
/// key.
pub fn preload(experiment: &Experiment, slots: &[Arc<CacheSlot>], event_log: &EventLogWriter) {
    let Some(growth) = &experiment.growth else { return };
    let slots = &slots[..experiment.environment.caches];
    let names: Vec<String> =
        event_log.write(|log| slots.iter().map(|slot| log.servers[slot.id().0].name.clone()).collect());
    let placement = Placement::new(names.iter().map(String::as_str));
    for shard in &growth.shards {
        for key in keys_of(*shard, growth.keys as usize) {
            if let Some(index) = placement.cache_of(key, 0) {
                slots[index].store(key, Version(0), Version(0));
            }
        }
    }
}

/// Sizes of a shard on the days before the run, with a random variation.
fn past_sizes(growth: &GrowthConfig, experiment: &Experiment, unix_start_ms: u64, shard: u8) -> Vec<DaySize> {
    let day_ms = MILLIS_PER_SECOND / experiment.accounting_days_at(1.0).max(MIN_DAYS_PER_SECOND);
    let start_day = unix_start_ms as f64 / day_ms;
    let today = UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as f64 / day_ms;
    let last = today as u32 - OPEN_DAYS;
    let first = (last + 1).saturating_sub(growth.history_days);
    let mut sizes = Vec::new();
    for day in first..=last {
        let drawn = (mix64(u64::from(day), u64::from(shard)) >> 11) as f64 / (1u64 << 53) as f64;
        let factor = MIN_SIZE_FACTOR + SIZE_VARIATION * drawn;
        let keys = growth.keys_after(f64::from(day) - start_day) * factor;
        sizes.push(DaySize { day, bytes: (keys * VALUE_BYTES as f64) as f32, keys: keys as f32 });
    }
    sizes
}

/// Starts the first planner and sends it the shard sizes of the days before the run, as another planner that
/// knows the sizes would: in the name of an earlier incarnation of the second planner. The first planner
/// passes the sizes on to the others.
///
/// # Errors
/// Returns an error if the planner could not be started, the sizes not sent, or the planner did not accept
/// them in time.
pub async fn seed_history(environment: &TestEnvironment) -> Result<(), HistoryError> {
    let Some(growth) = environment.experiment.growth.as_ref().filter(|growth| growth.history_days > 0) else {
        return Ok(());
    };
    let planner = environment.planners[0].lock().await.address;
    environment.planners[0].lock().await.start().map_err(HistoryError::Start)?;
    let socket = UdpSocket::bind(("127.0.0.1", 0)).await.map_err(HistoryError::Socket)?;
    let started = Instant::now();
    let mut sequence = 0;
    while started.elapsed() < HISTORY_TIMEOUT {
        for shard in &growth.shards {
            let sizes =
                past_sizes(growth, &environment.experiment, environment.event_log.unix_start_ms, *shard);
            for days in sizes.chunks(DAYS_PER_MESSAGE) {
                sequence += 1;
                send_days(environment, &socket, planner, sequence, *shard, days).await;
            }
        }
        sleep(HISTORY_RETRY_INTERVAL).await;
        let accepted = shards_passed_on(environment);
        if growth.shards.iter().all(|shard| accepted.contains(shard)) {
            return Ok(());
        }
    }
    Err(HistoryError::Timeout)
}

async fn send_days(
    environment: &TestEnvironment,
    socket: &UdpSocket,
    planner: SocketAddr,
    sequence: u64,
    shard: u8,
    days: &[DaySize],
) {
    let sender = Sender { member: Signer::Planner(planner_number(1)), incarnation: 1, sequence };
    let message = ShardGrowthMessage::EndedDays { shard, days: days.to_vec() };
    if let Some(bytes) = encode(&environment.secret, MessageKind::ShardGrowth, sender, &message) {
        // An error is ignored: a lost datagram is sent again after `HISTORY_RETRY_INTERVAL`.
        let _ = socket.send_to(&bytes, planner).await;
    }
}

/// The shard growth message that a relayed message contains, if any.
fn decode_growth(environment: &TestEnvironment, message: &RelayedMessage) -> Option<ShardGrowthMessage> {
    let (_, growth) = decode(&environment.secret, MessageKind::ShardGrowth, &message.bytes)?;
    Some(growth)
}

/// The shards whose history the first planner has passed on to others, and therefore has accepted.
fn shards_passed_on(environment: &TestEnvironment) -> BTreeSet<u8> {
    environment.event_log.write(|log| {
        let mut shards = BTreeSet::new();
        for message in &log.messages {
            if message.from == Member::Planner(0)
                && let Some(ShardGrowthMessage::EndedDays { shard, .. }) = decode_growth(environment, message)
            {
                shards.insert(shard);
            }
        }
        shards
    })
}

/// Waits until a fault begins: at its own time or, if the fault names a split phase, when a planner sends a
/// node a shard map with a split in this phase after that time. Returns the fault with the time at which it
/// begins, or `None` if the fault can't end within the run.
pub async fn await_phase(environment: &TestEnvironment, mut fault: Fault) -> Option<Fault> {
    sleep_until(environment.event_log.instant(Timestamp::from_s(fault.at_s)).into()).await;
    let Some(phase) = fault.at_step else { return Some(fault) };
    let mut seen = 0;
    loop {
        let now_s = environment.event_log.now().seconds();
        if now_s + fault.for_s > environment.experiment.seconds {
            return None;
        }
        let new = messages_to_nodes_since(environment, &mut seen);
        if new.iter().any(|message| has_split_in(environment, message, phase)) {
            fault.at_s = now_s;
            return Some(fault);
        }
        sleep(PHASE_POLL_INTERVAL).await;
    }
}

/// The messages to nodes from index `seen` of the log on. `seen` is advanced to the end of the log.
fn messages_to_nodes_since(environment: &TestEnvironment, seen: &mut usize) -> Vec<RelayedMessage> {
    environment.event_log.write(|log| {
        let new = &log.messages[(*seen).min(log.messages.len())..];
        *seen = log.messages.len();
        new.iter().filter(|message| matches!(message.to, Member::Node(_))).cloned().collect()
    })
}

/// Whether a message carries a shard map with a split in this phase.
fn has_split_in(environment: &TestEnvironment, message: &RelayedMessage, phase: SplitPhase) -> bool {
    let Some(ShardGrowthMessage::Map { map }) = decode_growth(environment, message) else { return false };
    map.shards.values().any(|state| state.phase == Some(phase))
}
