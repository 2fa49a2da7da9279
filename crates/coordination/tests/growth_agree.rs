//! Planners agree on one form for each version, whatever is lost, doubled, late, reordered, cut in halves or restarted;
//! and the checker notices ways that don't.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_coordination::shard_growth::agree::{Agree, Kept, Vote};
use granitelb_coordination::shard_growth::form::{ShardForm, Step};
use granitelb_coordination::shard_growth::sketch::Shard;
use granitelb_coordination::{Incarnation, PlannerId};
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    AsIs,
    /// One vote less than a majority decides.
    Minority,
    /// Promises are kept on disk after the letters are out, and some restarts come between.
    KeptTooLate,
    /// One that lost its disk votes at once.
    ForgetsAndVotes,
}

struct World {
    seed: u64,
    drawn: u64,
    way: Way,
    ids: BTreeSet<PlannerId>,
    planners: Vec<Agree>,
    disks: Vec<Option<Kept>>,
    lives: u64,
    /// Of each planner, and the latest that others have heard of.
    incarnation: Vec<u64>,
    heard: BTreeMap<(PlannerId, PlannerId), u64>,
    letters: Vec<(PlannerId, u64, PlannerId, Vote)>,
    decided: BTreeMap<u64, BTreeSet<String>>,
    cut: Option<u64>,
}

impl World {
    fn new(count: u8, seed: u64, way: Way) -> World {
        let ids: BTreeSet<_> = (1..=count).map(PlannerId).collect();
        let mut world = World {
            seed,
            drawn: 0,
            way,
            ids,
            planners: Vec::new(),
            disks: vec![None; count.into()],
            lives: 0,
            incarnation: vec![0; count.into()],
            heard: BTreeMap::new(),
            letters: Vec::new(),
            decided: BTreeMap::new(),
            cut: None,
        };
        for n in 0..count {
            let planner = world.start(n.into());
            world.planners.push(planner);
        }
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.drawn += 1;
        xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed) % below
    }

    fn start(&mut self, n: usize) -> Agree {
        self.lives += 1;
        self.incarnation[n] = self.lives;
        let kept = self.disks[n].clone().or((self.way == Way::ForgetsAndVotes).then(Kept::default));
        let planner = Agree::new(PlannerId(n as u8 + 1), Incarnation(self.lives), self.ids.clone(), kept);
        let majority = self.ids.len() / 2 + usize::from(self.way != Way::Minority);
        planner.with_majority(majority)
    }

    /// Pulls what a planner has to say; it may end in between.
    fn pull(&mut self, n: usize) {
        let kept = self.planners[n].poll_snapshot().cloned();
        let late = self.way == Way::KeptTooLate && self.draw(3) == 0;
        if !late && kept.is_some() {
            self.disks[n] = kept;
        }
        while let Some((to, vote)) = self.planners[n].poll_message() {
            if self.letters.len() < 400 {
                self.letters.push((PlannerId(n as u8 + 1), self.incarnation[n], to, vote));
            }
        }
        if late && self.draw(2) == 0 {
            self.planners[n] = self.start(n);
        }
        let form = self.planners[n].decided();
        self.decided.entry(form.version.0).or_default().insert(format!("{form:?}"));
    }

    fn step(&mut self, wild: bool) {
        let n = self.draw(self.ids.len() as u64) as usize;
        match self.draw(40) {
            0..=2 if self.planners[n].votes() && (wild || self.draw(6) == 0) => {
                let of = ShardForm { bits: 0, step: Some(Step::Copying(1 + (self.drawn % 16) as u8)) };
                let form = self.planners[n].decided().with(Shard((self.drawn % 5) as u8), of);
                self.planners[n].propose(form);
            }
            3..=5 if !wild || self.draw(3) < 2 => {
                let other = PlannerId(self.draw(self.ids.len() as u64) as u8 + 1);
                self.planners[n].remind(other);
            }
            6 if wild => self.planners[n] = self.start(n),
            7 if wild => self.cut = (self.draw(2) == 0).then_some(self.drawn),
            // One disk is lost, while all others keep theirs.
            8 if wild
                && self.ids.len() > 1
                && self.draw(3) == 0
                && self.disks.iter().all(Option::is_some) =>
            {
                self.disks[n] = None;
                self.planners[n] = self.start(n);
            }
            _ if !self.letters.is_empty() => {
                let at = self.draw(self.letters.len() as u64) as usize;
                let (from, incarnation, to, vote) = match self.draw(10) {
                    0 if wild => self.letters[at].clone(),
                    _ => self.letters.swap_remove(at),
                };
                let side = |p: PlannerId, cut: u64| (cut >> p.0) & 1;
                let lost =
                    wild && self.draw(20) == 0 || self.cut.is_some_and(|c| side(from, c) != side(to, c));
                // The post drops what an earlier life wrote, as soon as a later one was heard.
                let latest = self.heard.entry((from, to)).or_default();
                *latest = incarnation.max(*latest);
                if !lost && incarnation == *latest {
                    assert!(self.planners[to.0 as usize - 1].on_message(from, vote));
                    self.pull(to.0 as usize - 1);
                }
            }
            _ => {}
        }
        self.pull(n);
    }

    fn two_of_one_version(&self) -> bool {
        self.decided.values().any(|forms| forms.len() > 1)
    }
}

/// Runs that ended with two forms of one version, and versions decided in all.
fn play(way: Way, count: u8, seeds: std::ops::Range<u64>) -> (usize, u64) {
    let (mut broken, mut versions) = (0, 0);
    for seed in seeds {
        let mut world = World::new(count, seed, way);
        (0..300 * u32::from(count)).for_each(|_| world.step(false));
        (0..1500).for_each(|_| world.step(true));
        broken += usize::from(world.two_of_one_version());
        if way == Way::AsIs {
            versions += world.planners.iter().map(|p| p.decided().version.0).max().unwrap_or(0);
            // Once the net is well again they come to decide anew.
            let before = world.planners.iter().map(|p| p.decided().version).max();
            world.cut = None;
            (0..1500 * u32::from(count)).for_each(|_| world.step(false));
            let after = world.planners.iter().map(|p| p.decided().version).max();
            assert!(after > before, "seed {seed}: stuck at {before:?}");
            assert!(!world.two_of_one_version(), "seed {seed}: {:?}", world.decided);
        }
    }
    (broken, versions)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(5)]
fn no_version_has_two_forms(count: u8) {
    let (broken, versions) = play(Way::AsIs, count, 0..25);
    assert_eq!(broken, 0);
    assert!(versions > 25, "{versions} versions: too little was decided to tell");
}

#[test_case(Way::Minority)]
#[test_case(Way::KeptTooLate)]
#[test_case(Way::ForgetsAndVotes)]
fn a_broken_way_is_caught(way: Way) {
    assert!((0..300).any(|seed| play(way, 3, seed..seed + 1).0 > 0));
}
