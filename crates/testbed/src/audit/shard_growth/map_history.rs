//! The shard maps that planners sent to nodes, and the versions that nodes reported to use.

use std::collections::BTreeMap;

use crate::audit::rules::{Findings, Rule};
use crate::event_log::{EventLog, Member, RelayedMessage, Timestamp};
use crate::message_reference::{self, MessageKind};
use crate::shard_map_reference::{ShardGrowthMessage, ShardMap};

/// The longest time in microseconds from when a node receives a shard map until the node uses the map.
const ADOPTION_DELAY_US: i64 = 500_000;

/// When, and by which planner, a version of the shard map was first sent.
pub(super) struct FirstSent {
    pub at: Timestamp,
    pub planner: usize,
    pub map: ShardMap,
}

/// A version of the shard map that a node received.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Received {
    pub at: Timestamp,
    pub version: u64,
}

/// A version of the shard map that a node reported to use, ordered by the node's incarnation first.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Reported {
    incarnation: u64,
    version: u64,
}

/// The versions of the shard map in a run, and which nodes received and reported them.
#[derive(Default)]
pub(super) struct MapHistory {
    /// The first message with each version.
    pub first_sent: BTreeMap<u64, FirstSent>,
    /// The versions that each node received, in the order of time.
    pub received: BTreeMap<usize, Vec<Received>>,
    /// The last report of each node.
    reported: BTreeMap<usize, Reported>,
    /// The last report of each node to each planner.
    reported_to: BTreeMap<(usize, usize), Reported>,
}

impl MapHistory {
    /// Reads the messages of a run. Versions with two different maps, and nodes that go back to an older
    /// version, are added to `findings`.
    pub fn read(event_log: &EventLog, findings: &mut Findings) -> MapHistory {
        let mut history = MapHistory::default();
        for message in &event_log.messages {
            if message.corrupted {
                continue;
            }
            let decoded =
                message_reference::decode(&event_log.secret, MessageKind::ShardGrowth, &message.bytes);
            let Some((sender, growth)) = decoded else { continue };
            match (message.from, message.to, growth) {
                (Member::Planner(planner), Member::Node(node), ShardGrowthMessage::Map { map }) => {
                    history.on_map(planner, node, message, map, findings);
                }
                (Member::Node(node), Member::Planner(planner), ShardGrowthMessage::MapInUse { version }) => {
                    let reported = Reported { incarnation: sender.incarnation, version };
                    history.on_report(node, planner, reported, findings);
                }
                _ => {}
            }
        }
        for received in history.received.values_mut() {
            received.sort_unstable();
        }
        history
    }

    /// Records a shard map that a planner sent, and checks that each version has one map.
    fn on_map(
        &mut self,
        planner: usize,
        node: usize,
        message: &RelayedMessage,
        map: ShardMap,
        findings: &mut Findings,
    ) {
        let version = map.version;
        let received = self.received.entry(node).or_default();
        if let Some(at) = message.forwarded_at.iter().min() {
            received.push(Received { at: *at, version });
        }
        let first = self.first_sent.entry(version).or_insert_with(|| FirstSent {
            at: message.received_at,
            planner,
            map: map.clone(),
        });
        if first.map != map {
            let example = format!("version {version}: {:?} and {map:?}", first.map);
            findings.add(Rule::ShardGrowth, "two forms of one version", example);
        }
    }

    /// Records a version that a node reported, and checks that the node does not go back to an older version.
    ///
    /// The check compares reports to the same planner only: these reach the relay in the order in which the
    /// node sent them, and reports to different planners may overtake each other.
    fn on_report(&mut self, node: usize, planner: usize, reported: Reported, findings: &mut Findings) {
        if let Some(last) = self.reported_to.insert((node, planner), reported)
            && last.incarnation == reported.incarnation
            && reported.version < last.version
        {
            let example = format!("node {node} reported version {}, then {}", last.version, reported.version);
            findings.add(Rule::ShardGrowth, "a node went back to an older form", example);
        }
        let latest = self.reported.entry(node).or_default();
        *latest = (*latest).max(reported);
    }

    /// The last version that a node reported to use; `None` without a report.
    pub fn reported_version(&self, node: usize) -> Option<u64> {
        self.reported.get(&node).map(|reported| reported.version)
    }

    /// The shard map that a node used from `from` to `to`; `None` where the node may have changed maps in
    /// this period, or had none.
    pub fn map_in_use(&self, node: usize, from: Timestamp, to: Timestamp) -> Option<&ShardMap> {
        let received = self.received.get(&node)?;
        let newest_at = |time: Timestamp| {
            received.iter().filter(|received| received.at <= time).map(|received| received.version).max()
        };
        let version = newest_at(adoption_cutoff(from))?;
        if newest_at(to) != Some(version) {
            return None;
        }
        self.first_sent.get(&version).map(|first| &first.map)
    }

    /// The newest shard map that was sent so long before `at` that a node that received it uses it by then.
    pub fn newest_adopted(&self, at: Timestamp) -> Option<&ShardMap> {
        self.newest_sent_before(adoption_cutoff(at))
    }

    /// The newest shard map that was first sent before `at`.
    pub fn newest_sent_before(&self, at: Timestamp) -> Option<&ShardMap> {
        self.first_sent.values().rfind(|first| first.at < at).map(|first| &first.map)
    }
}

/// The time up to which a shard map must have been received to be in use at `at`.
fn adoption_cutoff(at: Timestamp) -> Timestamp {
    Timestamp(at.0 - ADOPTION_DELAY_US)
}
