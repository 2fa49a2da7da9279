//! Judges hindsight by worlds in which it is known what would have been. Simulated.
//!
//!     cargo run --release -p granitelb-fleet-simulator --example hindsight -- FIRST_SEED WORLDS [SHAPE]

use granitelb_coordination::component::Event;
use granitelb_coordination::counterfactual::{Measure, PLACES, Policy, Scale, Settings, Standing};
use granitelb_fleet_simulator::hindsight::{Call, Make, SHAPES, Shape, World, tell};

/// Intervals asked, intervals that held the truth, and no support.
#[derive(Default)]
struct Held {
    asked: usize,
    held: usize,
    unsupported: usize,
    width: f64,
    off: f64,
}

impl Held {
    fn add(&mut self, interval: Option<(f64, f64)>, truth: f64) {
        let Some((low, high)) = interval else { return self.unsupported += 1 };
        self.asked += 1;
        self.held += usize::from((low..=high).contains(&truth));
        self.width += high - low;
        self.off += (low + high) / 2.0 - truth;
    }

    fn figures(&self) -> String {
        let n = self.asked.max(1) as f64;
        let (held, width, off) = (100.0 * self.held as f64 / n, self.width / n, self.off / n);
        format!("{held:.1}% of {} | {width:.3} | {off:+.4}", self.asked)
    }
}

const POLICIES: [Policy; 5] = [
    Policy::First,
    Policy::RandomOfThree,
    Policy::AsPlayed,
    Policy::LeavesFirstAt(1),
    Policy::LeavesFirstAt(2),
];

/// Where a policy would have sent a call.
fn shares(policy: Policy, call: &Call) -> [f64; PLACES] {
    let only = |place: usize| std::array::from_fn(|p| f64::from(u8::from(p == place)));
    match policy {
        Policy::First => only(0),
        Policy::RandomOfThree => [1.0 / 3.0; PLACES],
        Policy::LeavesFirstAt(out) if call.place == 0 && call.out[0] >= u16::from(out) => only(1),
        Policy::AsPlayed | Policy::LeavesFirstAt(_) => only(call.place),
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize, or| args.get(n).and_then(|a| a.parse::<u64>().ok()).unwrap_or(or);
    let (first, worlds) = (number(0, 1), number(1, 10));
    let bold = |e| matches!(e, "hindsight_worse" | "hindsight_better");
    let asked = |shape: &Shape| args.get(2).is_none_or(|a| *a == format!("{shape:?}"));
    let settings = Settings::default();
    println!(
        "| world | interval holds the truth, waited | width | off | in time | width | off | no support | naive mean holds | width | off | naive of the wrong sign |"
    );
    println!("{}|", "| --- ".repeat(12));
    let mut policies: Vec<Held> = POLICIES.iter().map(|_| Held::default()).collect();
    let mut lines = Vec::new();
    for shape in SHAPES.into_iter().filter(asked) {
        let (mut waited, mut in_time, mut naive) = (Held::default(), Held::default(), Held::default());
        let (mut wrong_sign, mut alarmed_worlds, mut found) = (0, 0, 0);
        let mut named = [0usize; 2];
        let (mut letters, mut bytes, mut largest) = (0, 0, 0);
        let (mut times, mut times_named, mut times_wrong, mut times_found) = (Held::default(), 0, 0, 0);
        let mut times_alarmed = 0;
        for seed in first..first + worlds {
            let world = World::new(Make { shape, seed, ..Make::default() });
            let told = tell(&world, &settings);
            (letters, bytes, largest) =
                (letters + told.letters, bytes + told.bytes, largest.max(told.largest));
            let book = told.planner.book(0);
            let lottery = told.planner.lottery(0);
            let mut truths = Vec::new();
            for cache in 0..world.make.caches {
                let truth = world.truth_by_lottery(cache);
                let beside = lottery.beside_others(cache, settings.least(Scale::Times)).ok();
                times.add(beside.map(|b| (b.estimate.low, b.estimate.high)), truth);
                let standing = told.planner.standing(cache, 0, Scale::Times);
                let right = match standing {
                    Standing::Worse => truth > 0.0,
                    Standing::Better => truth < 0.0,
                    Standing::AsGood | Standing::NoSupport => continue,
                };
                *if right { &mut times_named } else { &mut times_wrong } += 1;
                times_found += usize::from(cache == 0 && standing == Standing::Worse);
            }
            let by_times = |r: &&Event| r.message.contains(" times the time ");
            times_alarmed += usize::from(told.remarks.iter().any(|r| by_times(&r) && bold(r.name)));
            for cache in 0..world.make.caches {
                for (measure, held) in [(Measure::Waited, &mut waited), (Measure::InTime, &mut in_time)] {
                    let estimate = book.beside_others(cache, measure).ok();
                    let over = estimate.as_ref().map(|e| e.over.clone()).unwrap_or_default();
                    let truth = world.truth_beside_others(cache, &over, measure);
                    if measure == Measure::Waited {
                        truths.push(truth);
                    }
                    held.add(estimate.as_ref().map(|e| (e.low, e.high)), truth);
                    // At the confounder it is the quick ones that plain means wrong.
                    let asked = shape != Shape::Confounded || cache.is_multiple_of(3);
                    if measure == Measure::Waited && !over.is_empty() && asked {
                        let (mean, half) = world.naive(cache);
                        naive.add(Some((mean - half, mean + half)), truth);
                        let clear = truth.abs() > 0.005;
                        wrong_sign +=
                            usize::from(clear && mean.abs() > half && (mean > 0.0) != (truth > 0.0));
                    }
                }
                let truth = truths[cache as usize];
                match told.planner.standing(cache, 0, Scale::Share) {
                    Standing::Worse => named[usize::from(truth <= 0.0)] += 1,
                    Standing::Better => named[usize::from(truth >= 0.0)] += 1,
                    Standing::AsGood | Standing::NoSupport => {}
                }
                found += usize::from(
                    cache == 0 && told.planner.standing(cache, 0, Scale::Share) == Standing::Worse,
                );
            }
            alarmed_worlds += usize::from(told.remarks.iter().any(|r| !by_times(&r) && bold(r.name)));
            for (policy, held) in POLICIES.iter().zip(&mut policies) {
                let truth = world.truth_of_policy(Measure::InTime, |c| shares(*policy, c));
                let estimate = book.value(*policy, Measure::InTime).ok();
                held.add(estimate.map(|e| (e.low, e.high)), truth);
            }
        }
        println!(
            "| {shape:?} | {} | {} | {} | {} | {wrong_sign} |",
            waited.figures(),
            in_time.figures(),
            waited.unsupported,
            naive.figures()
        );
        lines.push(format!(
            "{shape:?}, times by lottery: {}, no support {}; {times_alarmed} worlds with a cache ever named; at the end \
             {times_named} rightly, {times_wrong} with the wrong sign; cache 0 worse: {times_found}",
            times.figures(),
            times.unsupported
        ));
        lines.push(format!(
            "{shape:?}: {alarmed_worlds} of {worlds} worlds with a cache ever named worse or better; named at the end: \
             {} rightly, {} with the wrong sign; cache 0 worse: {found}; letters {letters}, mean {} bytes, largest {largest}",
            named[0],
            named[1],
            bytes / letters.max(1)
        ));
    }
    println!();
    lines.iter().for_each(|l| println!("{l}"));
    println!();
    for (policy, held) in POLICIES.iter().zip(&policies) {
        println!("{policy:?}: truth held {}, no support {}", held.figures(), held.unsupported);
    }
}
