//! A randomized simulation of the consensus: planners decide one shard map for each version, although
//! messages are lost, duplicated, delayed, reordered or blocked by a partition, and planners restart. The
//! simulation also has to detect conflicting decisions of protocols with a deliberate fault.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_coordination::shard_growth::consensus::{AcceptorState, Consensus, ConsensusMessage};
use granitelb_coordination::shard_growth::shard_map::{ShardId, ShardLayout, ShardMapVersion, SplitPhase};
use granitelb_coordination::{Incarnation, PlannerId};
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const MAX_MESSAGES_IN_FLIGHT: usize = 400;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    Correct,
    /// One vote fewer than a majority is enough to decide.
    MinorityDecides,
    /// Promises are persisted after the messages are sent, and some planners restart in between.
    PersistsTooLate,
    /// A planner that lost its disk votes without recovering its state first.
    VotesWithoutRecovery,
}

/// Whether faults are injected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Faults {
    None,
    Injected,
}

#[derive(Clone)]
struct InFlight {
    from: PlannerId,
    incarnation: u64,
    to: PlannerId,
    message: ConsensusMessage,
}

struct Simulation {
    seed: u64,
    draws: u64,
    protocol: Protocol,
    ids: BTreeSet<PlannerId>,
    planners: Vec<Consensus>,
    disks: Vec<Option<AcceptorState>>,
    last_incarnation: u64,
    /// The present incarnation of each planner.
    incarnations: Vec<u64>,
    /// The latest incarnation from which a receiver has received a message, by sender and receiver.
    latest_received: BTreeMap<(PlannerId, PlannerId), u64>,
    in_flight: Vec<InFlight>,
    /// All shard maps that were decided for each version.
    decided: BTreeMap<u64, BTreeSet<String>>,
    /// A bit for each planner: messages between planners with different bits are lost.
    partition: Option<u64>,
}

impl Simulation {
    fn new(planner_count: u8, seed: u64, protocol: Protocol) -> Simulation {
        let mut simulation = Simulation {
            seed,
            draws: 0,
            protocol,
            ids: (1..=planner_count).map(PlannerId).collect(),
            planners: Vec::new(),
            disks: vec![None; planner_count.into()],
            last_incarnation: 0,
            incarnations: vec![0; planner_count.into()],
            latest_received: BTreeMap::new(),
            in_flight: Vec::new(),
            decided: BTreeMap::new(),
            partition: None,
        };
        for index in 0..planner_count {
            let planner = simulation.start(index.into());
            simulation.planners.push(planner);
        }
        simulation
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed) % below
    }

    fn draw_index(&mut self, length: usize) -> usize {
        self.draw(length as u64) as usize
    }

    fn start(&mut self, index: usize) -> Consensus {
        self.last_incarnation += 1;
        self.incarnations[index] = self.last_incarnation;
        let skips_recovery = self.protocol == Protocol::VotesWithoutRecovery;
        let persisted = self.disks[index].clone().or(skips_recovery.then(AcceptorState::default));
        let incarnation = Incarnation(self.last_incarnation);
        let planner = Consensus::new(planner_id(index), incarnation, self.ids.clone(), persisted);
        let majority = self.ids.len() / 2 + usize::from(self.protocol != Protocol::MinorityDecides);
        planner.with_majority(majority)
    }

    fn restart(&mut self, index: usize) {
        self.planners[index] = self.start(index);
    }

    /// Persists a planner's state and collects its messages. A planner that persists its state too late may
    /// restart before the state is persisted.
    fn poll(&mut self, index: usize) {
        let snapshot = self.planners[index].poll_snapshot().cloned();
        let is_late = self.protocol == Protocol::PersistsTooLate && self.draw(3) == 0;
        if !is_late && snapshot.is_some() {
            self.disks[index] = snapshot;
        }
        while let Some((to, message)) = self.planners[index].poll_message() {
            if self.in_flight.len() < MAX_MESSAGES_IN_FLIGHT {
                let incarnation = self.incarnations[index];
                self.in_flight.push(InFlight { from: planner_id(index), incarnation, to, message });
            }
        }
        if is_late && self.draw(2) == 0 {
            self.restart(index);
        }
        let decided = self.planners[index].decided();
        self.decided.entry(decided.version.0).or_default().insert(format!("{decided:?}"));
    }

    fn step(&mut self, faults: Faults) {
        let has_faults = faults == Faults::Injected;
        let index = self.draw_index(self.ids.len());
        match self.draw(40) {
            0..=2 if self.planners[index].is_voting() && (has_faults || self.draw(6) == 0) => {
                self.propose(index);
            }
            3..=5 if !has_faults || self.draw(3) < 2 => {
                let other = self.draw_index(self.ids.len());
                self.planners[index].synchronize(planner_id(other));
            }
            6 if has_faults => self.restart(index),
            7 if has_faults => self.partition = (self.draw(2) == 0).then_some(self.draws),
            // At most one planner has lost its disk at a time.
            8 if has_faults
                && self.ids.len() > 1
                && self.draw(3) == 0
                && self.disks.iter().all(Option::is_some) =>
            {
                self.disks[index] = None;
                self.restart(index);
            }
            _ if !self.in_flight.is_empty() => self.deliver_one(has_faults),
            _ => {}
        }
        self.poll(index);
    }

    fn propose(&mut self, index: usize) {
        let phase = SplitPhase::Copying(1 + (self.draws % 16) as u8);
        let layout = ShardLayout { bits: 0, phase: Some(phase) };
        let shard = ShardId((self.draws % 5) as u8);
        let shard_map = self.planners[index].decided().with_layout(shard, layout);
        self.planners[index].propose(shard_map);
    }

    fn deliver_one(&mut self, has_faults: bool) {
        let position = self.draw_index(self.in_flight.len());
        let is_duplicated = self.draw(10) == 0 && has_faults;
        let delivered = if is_duplicated {
            self.in_flight[position].clone()
        } else {
            self.in_flight.swap_remove(position)
        };
        let InFlight { from, incarnation, to, message } = delivered;
        let is_lost = has_faults && self.draw(20) == 0 || self.are_partitioned(from, to);
        // Membership drops messages of an earlier incarnation once a message of a later incarnation was
        // received.
        let latest = self.latest_received.entry((from, to)).or_default();
        *latest = incarnation.max(*latest);
        if !is_lost && incarnation == *latest {
            let receiver = usize::from(to.0) - 1;
            assert_eq!(self.planners[receiver].on_message(from, message), Ok(()));
            self.poll(receiver);
        }
    }

    fn are_partitioned(&self, a: PlannerId, b: PlannerId) -> bool {
        let side = |planner: PlannerId, partition: u64| (partition >> planner.0) & 1;
        self.partition.is_some_and(|partition| side(a, partition) != side(b, partition))
    }

    fn has_conflicting_decisions(&self) -> bool {
        self.decided.values().any(|shard_maps| shard_maps.len() > 1)
    }

    fn latest_version(&self) -> ShardMapVersion {
        let versions = self.planners.iter().map(|planner| planner.decided().version);
        versions.max().expect("there are planners")
    }
}

fn planner_id(index: usize) -> PlannerId {
    PlannerId(index as u8 + 1)
}

struct Outcome {
    /// The number of simulations that decided two shard maps for one version.
    conflicts: usize,
    /// The total number of versions decided in all simulations.
    versions: u64,
}

fn simulate(protocol: Protocol, planner_count: u8, seeds: std::ops::Range<u64>) -> Outcome {
    let mut outcome = Outcome { conflicts: 0, versions: 0 };
    for seed in seeds {
        let mut simulation = Simulation::new(planner_count, seed, protocol);
        for _ in 0..300 * u32::from(planner_count) {
            simulation.step(Faults::None);
        }
        for _ in 0..1500 {
            simulation.step(Faults::Injected);
        }
        outcome.conflicts += usize::from(simulation.has_conflicting_decisions());
        if protocol == Protocol::Correct {
            outcome.versions += simulation.latest_version().0;
            assert_recovers(&mut simulation, planner_count);
        }
    }
    outcome
}

/// Asserts that planners decide further versions once the network delivers all messages again.
fn assert_recovers(simulation: &mut Simulation, planner_count: u8) {
    let seed = simulation.seed;
    let before = simulation.latest_version();
    simulation.partition = None;
    for _ in 0..1500 * u32::from(planner_count) {
        simulation.step(Faults::None);
    }
    assert!(simulation.latest_version() > before, "seed {seed}: no version was decided after {before:?}");
    assert!(!simulation.has_conflicting_decisions(), "seed {seed}: {:?}", simulation.decided);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(5)]
fn each_version_has_one_decided_shard_map(planner_count: u8) {
    let outcome = simulate(Protocol::Correct, planner_count, 0..25);
    assert_eq!(outcome.conflicts, 0);
    assert!(
        outcome.versions > 25,
        "only {} versions were decided, too few for a meaningful test",
        outcome.versions
    );
}

#[test_case(Protocol::MinorityDecides)]
#[test_case(Protocol::PersistsTooLate)]
#[test_case(Protocol::VotesWithoutRecovery)]
fn broken_protocols_are_caught(protocol: Protocol) {
    assert!((0..300).any(|seed| simulate(protocol, 3, seed..seed + 1).conflicts > 0));
}
