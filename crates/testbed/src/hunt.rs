//! A search over overlapping faults: a seed draws a timeline within bounds, the fleet plays it, the rules and the sum of
//! leases are judged, and of a timeline that breaks one, faults are dropped while it still does.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::audit::AuditResult;
use crate::experiment::Experiment;
use crate::run_result;
use crate::runs::Ended;

const NODES: usize = 6;
const CACHES: usize = 8;
const PLANNERS: usize = 2;
/// Faults of a timeline.
const FEWEST: usize = 4;
const MOST: usize = 9;
/// A rig that was later than this, or stood still for so long, says nothing: it is played again, so often.
const LATE_MS: f64 = 40.0;
const STALLED_MS: f64 = 100.0;
const AGAIN: usize = 2;

/// What a hunt is made from.
#[derive(Clone, Debug)]
pub struct Hunt {
    pub from: u64,
    pub count: u64,
    pub seconds: f64,
    pub jobs: usize,
    /// Plays that a breach is shrunk with at the most.
    pub shrinks: usize,
    /// Where timelines that break a rule go.
    pub out: Option<PathBuf>,
}

/// A timeline: its faults, each as an experiment's file words it.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    pub seed: u64,
    seconds: f64,
    pub faults: Vec<String>,
}

/// The kinds that a timeline is drawn from, each with what it needs besides; `{..}` is put in by the seed.
const KINDS: &[&str] = &[
    "hang caches={some} for_s={span}",
    "slow caches={some} factor={2..6} for_s={span}",
    "crash caches={own} for_s={span}",
    "drain caches={own} for_s={span}",
    "remove caches={own} for_s={span}",
    "replace caches={own} stagger_s={0.1..0.8}",
    "reset caches={some} for_s={span}",
    "knock_late caches={some} for_s={span}",
    "void",
    "origin_slow factor={1.5..3} for_s={span}",
    "origin_stop for_s={0.3..1.2}",
    "discovery_silent for_s={span}",
    "discovery_stale for_s={span}",
    "discovery_down for_s={span}",
    "discovery_down renumber=true for_s={span}",
    "discovery_move",
    "watches_silent",
    "watches_reset",
    "node_kill nodes={node} for_s={0.3..2}",
    "node_freeze nodes={node} for_s={0.3..2}",
    "node_restart nodes={nodes} stagger_s={0.1..0.8}",
    "link_silent nodes={nodes} caches={some} for_s={span}",
    "link_silent nodes={nodes} caches={some} toward='nodes' for_s={span}",
    "link_silent caches={some} for_s={span}",
    "spoil caches={some} how='noise' share={0.1..0.5} for_s={span}",
    "spoil caches={some} how='cut' share={0.1..0.5} for_s={span}",
    "spoil caches={some} how='half_line' share={0.1..0.5} ms={1..10} for_s={span}",
    "spoil caches={some} how='no_length' share={0.1..0.5} for_s={span}",
    "spoil caches={some} how='endless' share={0.1..0.3} for_s={span}",
    "spoil how='reset' share={0.1..0.4} for_s={span}",
    "spoil how='error' share={0.1..0.4} for_s={span}",
    "clients_leave share={0.3..1}",
    "bad_clients count={5..20}",
    "planner_kill planners={planner} for_s={span}",
    "planner_kill planners={planner} store='torn' for_s={span}",
    "planner_restart planners={planner} store='empty' for_s={span}",
    "planner_freeze planners={planner} for_s={span}",
    "letters_lost share={0.1..0.6} for_s={span}",
    "letters_late share={0.1..0.6} ms={100..1500} for_s={span}",
    "letters_doubled share={0.1..0.6} ms={100..1500} for_s={span}",
    "letters_spoilt share={0.05..0.3} for_s={span}",
    "letters_cut planners={planner} nodes={nodes} for_s={span}",
    "letters_lost share=1 toward='nodes' planners={planner} for_s={span}",
];

impl Timeline {
    pub fn draw(seed: u64, seconds: f64) -> Timeline {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let count = chance.random_range(FEWEST..=MOST);
        // Which of them a fault of the list befalls: each once, and never all.
        let mut own: Vec<usize> = (0..CACHES).collect();
        let mut faults = Vec::new();
        while faults.len() < count {
            let kind = KINDS[chance.random_range(0..KINDS.len())];
            // The last seconds are for what goes on after.
            let at = chance.random_range(1.0..(seconds - 4.0).max(1.5));
            let longest = (seconds - 2.0 - at).clamp(0.3, 4.0);
            faults.extend(worded(kind, at, longest, &mut own, &mut chance));
        }
        Timeline { seed, seconds, faults }
    }

    /// As an experiment's file.
    pub fn text(&self) -> String {
        let mut text = format!(
            "name = \"hunt-{}\"\nabout = \"a timeline drawn from seed {}\"\nseconds = {:.1}\nseeds = [{}]\n\n\
             [world]\nnodes = {NODES}\ncaches = {CACHES}\n\n[fleet]\nplanners = {PLANNERS}\n\
             operator.turns = {{}}\n\n[fleet.leases]\norigin_per_s = 200\nreserve = 0.4\n\n\
             [load]\nrate = 300\nkeys = 3000\nclients.leave = 0.02\n",
            self.seed, self.seed, self.seconds, self.seed
        );
        for fault in &self.faults {
            let _ = write!(text, "\n[[fault]]\n{fault}");
        }
        text
    }

    /// # Errors
    /// Where the text is no experiment: a fault of this file's own.
    pub fn experiment(&self) -> Result<Experiment, String> {
        Experiment::read(Path::new("hunt"), &self.text()).map_err(|t| t.to_string())
    }

    fn without(&self, fault: usize) -> Timeline {
        let mut less = self.clone();
        less.faults.remove(fault);
        less
    }
}

/// A fault as a file words it; none where no cache is left for it.
fn worded(kind: &str, at: f64, longest: f64, own: &mut Vec<usize>, chance: &mut impl Rng) -> Option<String> {
    let mut words = kind.split(' ');
    let mut text = format!("kind = \"{}\"\nat_s = {at:.2}\n", words.next()?);
    for word in words {
        let (key, value) = word.split_once('=')?;
        let value = match value {
            "{some}" => few(CACHES, CACHES / 3, chance),
            "{own}" if own.len() <= CACHES / 2 => return None,
            "{own}" => {
                let many = chance.random_range(1..=2);
                let picked: Vec<_> =
                    (0..many).map(|_| own.swap_remove(chance.random_range(0..own.len()))).collect();
                format!("{picked:?}")
            }
            "{node}" => few(NODES, 1, chance),
            "{nodes}" => few(NODES, NODES / 2, chance),
            "{planner}" => few(PLANNERS, 1, chance),
            "{span}" => format!("{:.2}", chance.random_range(0.3..=longest)),
            range if range.starts_with('{') => {
                let (low, high) = range.trim_matches(['{', '}']).split_once("..")?;
                let (low, high): (f64, f64) = (low.parse().ok()?, high.parse().ok()?);
                let drawn = chance.random_range(low..=high);
                if key == "count" { format!("{drawn:.0}") } else { format!("{drawn:.2}") }
            }
            plain => plain.into(),
        };
        let _ = writeln!(text, "{key} = {value}");
    }
    Some(text)
}

/// One of so many at least, and `most` at most.
fn few(of: usize, most: usize, chance: &mut impl Rng) -> String {
    let mut all: Vec<_> = (0..of).collect();
    let many = chance.random_range(1..=most.max(1));
    let mut picked: Vec<_> = (0..many).map(|_| all.swap_remove(chance.random_range(0..all.len()))).collect();
    picked.sort_unstable();
    format!("{picked:?}")
}

/// What a timeline broke: the kinds of breaches, and the sum of leases.
pub fn broke(verdict: &AuditResult) -> Vec<String> {
    let mut broke: Vec<String> = verdict
        .violations
        .iter()
        .map(|b| format!("{} ({} times): {}", b.kind, b.count, b.examples.join("; ")))
        .collect();
    let sums = verdict.unmet_expectations.iter().filter(|s| s.expectation == "leases");
    broke.extend(sums.map(|s| format!("leases: {:.3} of the whole", s.measured)));
    broke
}

/// Plays a timeline; a rig that was late says nothing.
///
/// # Errors
/// What kept it from being played, or that the rig was late each time.
pub fn play(timeline: &Timeline, node: &Path) -> Result<AuditResult, String> {
    let experiment = timeline.experiment()?;
    for _ in 0..=AGAIN {
        let verdict = run_result::play(&experiment, timeline.seed, node)?.verdict;
        let figures = &verdict.figures;
        if figures.harness_late_ms <= LATE_MS && figures.harness_stall_ms <= STALLED_MS {
            return Ok(verdict);
        }
    }
    Err("the rig was late each time".into())
}

/// Drops faults one by one while the same is broken.
fn shrink(mut timeline: Timeline, kind: &str, node: &Path, shrinks: usize) -> Timeline {
    let (mut plays, mut at) = (0, timeline.faults.len());
    while at > 0 && plays < shrinks {
        at -= 1;
        plays += 1;
        let less = timeline.without(at);
        if play(&less, node).is_ok_and(|v| broke(&v).iter().any(|b| b.starts_with(kind))) {
            timeline = less;
        }
    }
    timeline
}

/// Plays all seeds, and tells of each that broke something.
///
/// # Errors
/// Where a breach could not be written down.
pub fn run(hunt: &Hunt, node: &Path) -> Result<Ended, String> {
    let next = AtomicU64::new(0);
    let ended = Mutex::new(Ended::Held);
    let worst = |e: Ended| {
        let mut ended = ended.lock().expect("no holder panics");
        *ended = (*ended).max(e);
    };
    std::thread::scope(|threads| {
        for _ in 0..hunt.jobs.max(1) {
            threads.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= hunt.count {
                        return;
                    }
                    worst(one(hunt, hunt.from + n, node));
                }
            });
        }
    });
    let ended = *ended.lock().expect("no holder panics");
    Ok(ended)
}

fn one(hunt: &Hunt, seed: u64, node: &Path) -> Ended {
    let timeline = Timeline::draw(seed, hunt.seconds);
    let verdict = match play(&timeline, node) {
        Ok(verdict) => verdict,
        Err(trouble) => {
            println!("seed {seed}: could not run: {trouble}");
            return Ended::CouldNotRun;
        }
    };
    let f = &verdict.figures;
    let broken = broke(&verdict);
    println!(
        "seed {seed}: {}; {} faults, service {:.4}, leases {:.3}, rig late {:.1} ms",
        if broken.is_empty() { "held" } else { "BROKE" },
        timeline.faults.len(),
        f.service,
        f.fleet.leased_ratio,
        f.harness_late_ms
    );
    let Some(first) = broken.first() else { return Ended::Held };
    broken.iter().for_each(|b| println!("    {b}"));
    let kind = first.split([':', '(']).next().unwrap_or_default().trim().to_string();
    let least = shrink(timeline, &kind, node, hunt.shrinks);
    println!("seed {seed}: {} faults are enough for: {kind}\n{}", least.faults.len(), least.text());
    if let Some(folder) = &hunt.out {
        let file = folder.join(format!("hunt-{seed}.toml"));
        let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&file, least.text()));
        if let Err(trouble) = written {
            println!("{}: {trouble}", file.display());
            return Ended::CouldNotRun;
        }
    }
    Ended::FellShort
}

#[cfg(test)]
mod tests;
