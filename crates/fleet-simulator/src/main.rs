//! `granitelb-fleet-simulator`: plays days of a simulated fleet and prints a row for each.

use bpaf::Parser;
use granitelb_fleet_simulator::{Came, Play, Policy, Together, days, play};

/// Of an operator's file.
const MOST_PLANNERS: usize = 5;

struct Options {
    days: Vec<String>,
    policies: Vec<Policy>,
    sizes: Vec<(usize, usize)>,
    seeds: u64,
    load: f64,
    planners: usize,
    together: Together,
    dead: Option<(f64, f64)>,
}

fn policy(name: String) -> Result<Policy, String> {
    let number = |n: &str| n.parse().map_err(|_| format!("{name}: how many candidates?"));
    match name.split_once(':') {
        None if name == "module" => Ok(Policy::Module),
        None if name == "random" => Ok(Policy::Random),
        Some(("random", n)) => Ok(Policy::RandomOf(number(n)?)),
        Some(("seeing", n)) => Ok(Policy::Seeing(number(n)?)),
        _ => Err(format!("{name}: one of module, random, random:N and seeing:N")),
    }
}

fn size(text: String) -> Result<(usize, usize), String> {
    let parts = text.split_once('x').and_then(|(n, c)| Some((n.parse().ok()?, c.parse().ok()?)));
    parts.filter(|(n, c)| *n > 0 && *c > 2).ok_or(format!("{text}: nodes and caches, as in 300x200"))
}

fn together(name: String) -> Result<Together, String> {
    match name.as_str() {
        "verdicts" => Ok(Together::VERDICTS),
        "leases" => Ok(Together::LEASES),
        "all" => Ok(Together::ALL),
        _ => Err(format!("{name}: one of verdicts, leases and all")),
    }
}

fn times(text: String) -> Result<(f64, f64), String> {
    let parts = text.split_once('-').and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    parts.filter(|(from, to)| from < to).ok_or(format!("{text}: two times in seconds, as in 5-15"))
}

fn options() -> bpaf::OptionParser<Options> {
    let policies = bpaf::long("policy")
        .help("module, random, random:N (of a key's N highest), seeing:N; may be repeated")
        .argument::<String>("POLICY")
        .parse(policy)
        .many()
        .map(|p| if p.is_empty() { vec![Policy::Module] } else { p });
    let sizes = bpaf::long("size")
        .help("nodes and caches, such as 300x200; may be repeated")
        .argument::<String>("NxC")
        .parse(size)
        .many()
        .map(|s| if s.is_empty() { vec![(300, 200), (20, 20)] } else { s });
    let seeds = bpaf::long("seeds").help("plays seeds 1 to N").argument::<u64>("N").fallback(1);
    let load = bpaf::long("load")
        .help("work asked of caches as a share of what they can do")
        .argument::<f64>("SHARE")
        .guard(|l| *l > 0.0 && *l < 5.0, "a share over 0 and under 5")
        .fallback(Play::default().load);
    let planners = bpaf::long("planners")
        .help("so many planners, by which nodes decide together; none: each learns alone")
        .argument::<usize>("N")
        .guard(|n| *n <= MOST_PLANNERS, "up to 5")
        .fallback(0);
    let together = bpaf::long("together")
        .help("what they decide: verdicts (and turns), leases or all")
        .argument::<String>("WHAT")
        .parse(together)
        .fallback(Together::ALL);
    let dead = bpaf::long("dead")
        .help("when all planners are dead, in seconds of the day, such as 5-15")
        .argument::<String>("FROM-TO")
        .parse(times)
        .optional();
    let known = |day: &String| days::named(day).is_some();
    let days = bpaf::positional::<String>("DAY").guard(known, "no such day").some("name a day");
    bpaf::construct!(Options { policies, sizes, seeds, load, planners, together, dead, days })
        .to_options()
        .descr("Plays days of a simulated fleet of nodes with the real module")
        .footer(&*format!("Days: {}", days::NAMES.join(", ")))
}

fn main() {
    let options = options().run();
    println!(
        "| day | policy | size | seed | in time | worst 10 s | turned away | handshakes | shots | limited | errored | late | \
         at origin |"
    );
    println!("|{}", " --- |".repeat(13));
    for day in &options.days {
        let faults = days::named(day).expect("looked at when read");
        for &policy in &options.policies {
            for &(nodes, caches) in &options.sizes {
                for seed in 1..=options.seeds {
                    let came = play(&Play {
                        policy,
                        nodes,
                        caches,
                        seed,
                        faults: faults.clone(),
                        load: options.load,
                        planners: options.planners,
                        together: options.together,
                        planners_dead: options.dead,
                        ..Play::default()
                    });
                    println!("| {day} | {policy:?} | {nodes}x{caches} | {seed} | {}", row(&came));
                }
            }
        }
    }
}

/// Shares of the calls, but for what was turned away: that is of the shots at caches.
fn row(c: &Came) -> String {
    let of = |n| format!("{:.3}", c.per_call(n));
    let counts = [c.handshakes, c.shots, c.rate_limited, c.errored, c.late, c.at_origin].map(of).join(" | ");
    let unsound = if c.unsound + c.copies > 0 { " unsound |" } else { "" };
    format!("{:.3} | {:.3} | {:.3} | {counts} |{unsound}", c.service(), c.worst(10), c.full_share())
}
