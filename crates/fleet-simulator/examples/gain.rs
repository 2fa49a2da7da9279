//! What deciding together brings 300 nodes before 200 crowded caches: means over seeds, beside lone nodes. Arguments are
//! days, seeds, what the origin can take as a multiple of the usual, such as `origin=2`, and what is leased of it as a
//! multiple of what it stands, such as `whole=4`; which shares of that are each node's own for ever and which are standing
//! parts (`reserve=0.05 standing=0.85`); and how many seconds all goes on before the day (`warm=30`).

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use granitelb_fleet_simulator::{Came, Play, Together, days, play};

type Way = (&'static str, usize, Option<Together>, Option<(f64, f64)>);

const WAYS: [Way; 6] = [
    ("lone", 0, None, None),
    ("verdicts", 2, Some(Together::VERDICTS), None),
    ("leases", 2, Some(Together::LEASES), None),
    ("both", 2, Some(Together::ALL), None),
    ("verdicts, planners dead 5 to 15 s", 2, Some(Together::VERDICTS), Some((5.0, 15.0))),
    ("both, planners dead 5 to 15 s", 2, Some(Together::ALL), Some((5.0, 15.0))),
];

fn main() {
    let (seeds, days): (Vec<_>, Vec<_>) = std::env::args().skip(1).partition(|a| a.parse::<u64>().is_ok());
    let seeds: Vec<u64> = seeds.iter().map(|s| s.parse().expect("looked at above")).collect();
    let (figures, days): (Vec<_>, Vec<_>) = days.into_iter().partition(|a| a.contains('='));
    let figure = |name| {
        let of = figures.iter().find_map(|a| a.strip_prefix(name));
        of.map(|f| f.parse::<f64>().expect("a figure"))
    };
    let origin_headroom = figure("origin=").unwrap_or(Play::default().origin_headroom);
    let whole = figure("whole=").unwrap_or(Play::default().whole);
    let share = |name, usual| figure(name).map_or(usual, |f| (f * 1000.0) as u32);
    let (reserve, standing) =
        (share("reserve=", Play::default().reserve), share("standing=", Play::default().standing));
    let warm_up = figure("warm=").unwrap_or(Play::default().warm_up);
    let plays = |day: &String, (_, planners, together, dead): Way| -> Vec<Play> {
        let faults = days::named(day).expect("a day of `granitelb-fleet-simulator`");
        let one = |seed: &u64| Play {
            faults: faults.clone(),
            planners,
            together: together.unwrap_or(Together::ALL),
            planners_dead: dead,
            seed: *seed,
            origin_headroom,
            whole,
            reserve,
            standing,
            warm_up,
            ..Play::default()
        };
        seeds.iter().map(one).collect()
    };
    let all: Vec<Play> = days.iter().flat_map(|d| WAYS.iter().flat_map(|w| plays(d, *w))).collect();
    let came: Vec<Mutex<Option<Came>>> = all.iter().map(|_| Mutex::new(None)).collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                while let Some(n) = Some(next.fetch_add(1, Ordering::Relaxed)).filter(|n| *n < all.len()) {
                    *came[n].lock().expect("no one fails with it") = Some(play(&all[n]));
                }
            });
        }
    });
    let mut came = came.into_iter().map(|c| c.into_inner().expect("as above").expect("all were played"));
    println!(
        "| day | fleet | in time | worst 10 s | turned away | trials | origin, busiest s | origin turned away | origin late | \
         rate-limited | errored | letters/s |"
    );
    println!("|{}", " --- |".repeat(12));
    for day in &days {
        for (name, ..) in WAYS {
            let part: Vec<Came> = came.by_ref().take(seeds.len()).collect();
            println!("| {day} | {name} | {}", row(&part));
        }
    }
}

fn row(part: &[Came]) -> String {
    let mean = |of: &dyn Fn(&Came) -> f64| part.iter().map(of).sum::<f64>() / part.len() as f64;
    let share = |of: &dyn Fn(&Came) -> usize| 100.0 * mean(&|c| c.per_call(of(c)));
    let busiest = |c: &Came| c.origin_reads.iter().copied().max().unwrap_or(0) as f64;
    let unsound: usize = part.iter().map(|c| c.unsound + c.copies).sum();
    format!(
        "{:.4} | {:.4} | {:.4} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2}% | {:.2}% | {:.0} |{}",
        mean(&Came::service),
        mean(&|c| c.worst(10)),
        mean(&Came::full_share),
        mean(&|c| c.trials as f64),
        mean(&busiest),
        mean(&|c| c.origin_full as f64),
        mean(&|c| c.origin_late as f64),
        share(&|c| c.rate_limited),
        share(&|c| c.errored),
        mean(&|c| c.letters as f64 / 28.0),
        if unsound > 0 { " unsound |" } else { "" }
    )
}
