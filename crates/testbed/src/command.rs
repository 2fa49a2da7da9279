//! The command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Parser, construct, long, positional};

use crate::experiment::Experiment;
use crate::faulty_node::{self, InjectedViolation};
use crate::hunt::{self as search, Hunt};
use crate::report;
use crate::run_result::ON_TIME_MS;
use crate::runs::{Ended, Options};
use crate::schedule::Schedule;
use crate::throughput;
use crate::{compare as comparison, program, recording as recordings, run_result, runs};

#[derive(Clone, Debug)]
enum Command {
    Run { options: Options, files: Vec<PathBuf> },
    Check { files: Vec<PathBuf> },
    List { folder: PathBuf },
    Compare { options: Options, sides: Sides, files: Vec<PathBuf> },
    Record { seed: u64, node: Option<PathBuf>, out: PathBuf, file: PathBuf },
    Replay { options: Options, recording: PathBuf, file: PathBuf },
    Hunt { hunt: Hunt, node: Option<PathBuf> },
    Throughput { node: Option<PathBuf>, seconds: f64 },
    Relay { listen: SocketAddr, to: SocketAddr },
    StandIn { vice: InjectedViolation, config: PathBuf },
}

/// The two builds of a comparison.
#[derive(Clone, Debug)]
struct Sides {
    a: PathBuf,
    b: PathBuf,
}

fn options() -> impl Parser<Options> {
    let seed = long("seed").help("Play with this seed and not the file's").argument("N").optional();
    let repeat = long("repeat").help("Play each seed so often").argument("N").fallback(1);
    let node = node();
    let report = long("report").help("Write reports to this folder").argument::<PathBuf>("DIR").optional();
    let event_log = long("book").help("With each report, write every record that it rests on").switch();
    let jobs = long("jobs").help("Play so many at a time").argument("N").fallback(1);
    let late_ms = long("late")
        .help("A rig later than this, in ms, says nothing: on a busy machine rules can still be judged");
    let late_ms = late_ms.argument("MS").fallback(ON_TIME_MS);
    construct!(Options { seed, repeat, node, report, event_log, jobs, late_ms })
}

fn files() -> impl Parser<Vec<PathBuf>> {
    positional::<PathBuf>("FILE").help("Experiments").some("name at least one experiment")
}

fn parse() -> Command {
    let options = options();
    let files_to_run = files();
    let run = construct!(Command::Run { options, files(files_to_run) })
        .to_options()
        .descr("Play experiments and judge them: 0 all bars held, 1 one fell short, 2 could not run")
        .command("run")
        .help("Play experiments");
    let files_to_check = files();
    let check = construct!(Command::Check { files(files_to_check) })
        .to_options()
        .descr("Read experiments and say what is wrong with them")
        .command("check")
        .help("Check experiments");
    let folder =
        positional::<PathBuf>("DIR").help("Where experiments are").fallback("testbed/experiments".into());
    let list = construct!(Command::List { folder })
        .to_options()
        .descr("Say what experiments there are")
        .command("list")
        .help("List experiments");
    let (compare, record, replay) = (compare(), record(), replay());
    let (hunt, throughput) = (hunt(), throughput());
    let (relay, stand_in) = (relay(), stand_in());
    construct!([run, compare, record, replay, hunt, check, list, throughput, relay, stand_in])
        .to_options()
        .descr("Plays the node in a world of stand-ins, breaks things, and judges what it did")
        .run()
}

fn node() -> impl Parser<Option<PathBuf>> {
    long("node").help("The program that nodes are").argument::<PathBuf>("PATH").optional()
}

fn compare() -> impl Parser<Command> {
    let options = options();
    let a = long("a").help("The build compared with").argument::<PathBuf>("PATH");
    let b = long("b").help("The build that is tried").argument::<PathBuf>("PATH");
    let sides = construct!(Sides { a, b });
    let files = files();
    construct!(Command::Compare { options, sides, files })
        .to_options()
        .descr("Play the same calls on two builds in turn, and say in what they differ")
        .command("compare")
        .help("Compare two builds")
}

fn record() -> impl Parser<Command> {
    let seed = long("seed").help("Play with this seed").argument("N").fallback(1);
    let out = long("out").short('o').help("Where the recording goes").argument::<PathBuf>("FILE");
    let node = node();
    let file = positional::<PathBuf>("FILE").help("The experiment");
    construct!(Command::Record { seed, node, out, file })
        .to_options()
        .descr("Play an experiment and keep its traffic, clients' own repeats marked")
        .command("record")
        .help("Record traffic")
}

fn replay() -> impl Parser<Command> {
    let options = options();
    let recording = long("recording").short('r').help("The traffic").argument::<PathBuf>("FILE");
    let file = positional::<PathBuf>("FILE").help("The experiment that it is played in");
    construct!(Command::Replay { options, recording, file })
        .to_options()
        .descr("Play recorded traffic in an experiment's world; repeats are not counted twice")
        .command("replay")
        .help("Replay traffic")
}

fn hunt() -> impl Parser<Command> {
    let from = long("seed").help("The first seed").argument("N").fallback(1);
    let count = long("count").help("How many seeds").argument("N").fallback(20);
    let seconds = long("seconds").help("How long each is").argument("S").fallback(12.0);
    let jobs = long("jobs").help("Play so many at a time").argument("N").fallback(1);
    let out = long("out").short('o').help("Where timelines that break a rule go").argument("DIR").optional();
    let shrinks =
        long("shrink").help("Plays that a breach is shrunk with at most").argument("N").fallback(24);
    let hunt = construct!(Hunt { from, count, seconds, jobs, shrinks, out });
    let node = node();
    construct!(Command::Hunt { hunt, node })
        .to_options()
        .descr("Draw timelines of overlapping faults, and shrink those that break a rule")
        .command("hunt")
        .help("Search for faults that break a rule together")
}

fn throughput() -> impl Parser<Command> {
    let seconds = long("seconds").help("For each rate").argument("S").fallback(2.5);
    let node = node();
    construct!(Command::Throughput { node, seconds })
        .to_options()
        .descr("Find how fast a node is on one core, beside a bare relay of bytes")
        .command("throughput")
        .help("Measure throughput")
}

fn relay() -> impl Parser<Command> {
    let listen = long("listen").argument("ADDRESS");
    let to = long("to").argument("ADDRESS");
    let relay = construct!(Command::Relay { listen, to }).to_options();
    relay.descr("Relay bytes, as the floor of a measurement").command("relay").hide()
}

fn stand_in() -> impl Parser<Command> {
    let vice = long("vice").help("What it does wrong").argument::<InjectedViolation>("VICE");
    let config = long("config").help("As the program's").argument::<PathBuf>("FILE");
    let operator =
        long("operator").help("As the program's; it is not read").argument::<PathBuf>("FILE").optional();
    let config = construct!(config, operator).map(|(config, _)| config);
    construct!(Command::StandIn { vice, config })
        .to_options()
        .descr("Stand in for a node and break a rule, for tests of the auditor")
        .command("stand-in-node")
        .hide()
}

pub fn run() -> ExitCode {
    let ended = match parse() {
        Command::Run { options, files } => run_files(&options, &files),
        Command::Check { files } => check(&files),
        Command::List { folder } => list(&folder),
        Command::Compare { options, sides, files } => compare_builds(&options, &sides, &files),
        Command::Record { seed, node, out, file } => record_traffic(seed, node.as_deref(), &out, &file),
        Command::Replay { options, recording, file } => replay_traffic(&options, &recording, &file),
        Command::Hunt { hunt, node } => {
            program::node(node.as_deref()).and_then(|node| search::run(&hunt, &node))
        }
        Command::Throughput { node, seconds } => measure_throughput(node.as_deref(), seconds),
        Command::Relay { listen, to } => throughput::relay(listen, to).map(|()| Ended::Held),
        Command::StandIn { vice, config } => {
            faulty_node::serve(vice, &config).map(|()| Ended::Held).map_err(|error| error.to_string())
        }
    };
    match ended {
        Ok(Ended::Held) => ExitCode::SUCCESS,
        Ok(Ended::FellShort) => ExitCode::from(1),
        Ok(Ended::CouldNotRun) => ExitCode::from(2),
        Err(trouble) => {
            eprintln!("granitelb-testbed: {trouble}");
            ExitCode::from(2)
        }
    }
}

fn load(files: &[PathBuf]) -> Result<Vec<Experiment>, String> {
    files.iter().map(|f| Experiment::load(f).map_err(|t| t.to_string())).collect()
}

fn run_files(options: &Options, files: &[PathBuf]) -> Result<Ended, String> {
    let experiments = load(files)?;
    let node = program::node(options.node.as_deref())?;
    runs::run(options, &node, &experiments)
}

fn check(files: &[PathBuf]) -> Result<Ended, String> {
    let experiments = load(files)?;
    for (file, experiment) in files.iter().zip(experiments) {
        println!("{}: {}", file.display(), experiment.about);
    }
    Ok(Ended::Held)
}

fn list(folder: &Path) -> Result<Ended, String> {
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut files: Vec<_> = entries.flatten().map(|e| e.path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "toml"));
    files.sort();
    check(&files)
}

fn compare_builds(options: &Options, sides: &Sides, files: &[PathBuf]) -> Result<Ended, String> {
    let experiments = load(files)?;
    let (a, b) = (program::node(Some(&sides.a))?, program::node(Some(&sides.b))?);
    let mut done = Vec::new();
    for experiment in &experiments {
        let seeds = options.seed.map_or_else(|| experiment.seeds.clone(), |s| vec![s]);
        let comparison = comparison::compare(experiment, &seeds, options.repeat, [&a, &b])
            .map_err(|error| error.to_string())?;
        println!("{comparison}");
        done.push(comparison);
    }
    if let Some(folder) = &options.report {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        write(&folder.join("comparison.json"), &serde_json::json!(done))?;
    }
    let broken = done.iter().any(|c| c.violations[1] > 0);
    Ok(if broken { Ended::FellShort } else { Ended::Held })
}

fn write(file: &Path, value: &serde_json::Value) -> Result<(), String> {
    std::fs::write(file, format!("{value:#}")).map_err(|e| format!("{}: {e}", file.display()))
}

fn record_traffic(seed: u64, node: Option<&Path>, out: &Path, file: &Path) -> Result<Ended, String> {
    let experiment = Experiment::load(file).map_err(|t| t.to_string())?;
    let node = program::node(node)?;
    let schedule = Schedule::draw(&experiment, seed);
    let played = run_result::play_schedule(&experiment, &schedule, seed, &node)?;
    let text = recordings::record(&experiment, &schedule, &played.event_log);
    std::fs::write(out, &text).map_err(|e| format!("{}: {e}", out.display()))?;
    let repeats = played.event_log.client_attempts.len() - schedule.calls.len();
    println!("{}: {} calls and {repeats} repeats of clients", out.display(), schedule.calls.len());
    Ok(Ended::Held)
}

fn replay_traffic(options: &Options, recording: &Path, file: &Path) -> Result<Ended, String> {
    let experiment = Experiment::load(file).map_err(|t| t.to_string())?;
    let node = program::node(options.node.as_deref())?;
    let text = std::fs::read_to_string(recording).map_err(|e| format!("{}: {e}", recording.display()))?;
    let schedule = recordings::read(recording, &text, &experiment)?;
    let seed = options.seed.unwrap_or(experiment.seeds[0]);
    let played = run_result::play_schedule(&experiment, &schedule, seed, &node)?;
    println!("{}", report::summary(&format!("{} replayed", experiment.name), &played.verdict));
    if let Some(folder) = &options.report {
        let file = folder.join(format!("{}-replayed", experiment.name));
        report::write(&file, &experiment, seed, &played).map_err(|error| error.to_string())?;
        if options.event_log {
            report::write_event_log(&file, &played).map_err(|error| error.to_string())?;
        }
    }
    Ok(if played.verdict.holds() { Ended::Held } else { Ended::FellShort })
}

fn measure_throughput(node: Option<&Path>, seconds: f64) -> Result<Ended, String> {
    let node = program::node(node)?;
    let lab = std::env::current_exe().map_err(|e| e.to_string())?;
    let [own, relay] = throughput::curves(&node, &lab, seconds, 1)?;
    println!("{own}\n{relay}");
    let highest = |c: &throughput::Curve| c.highest().map(|n| c.points[n].0.rate);
    if let (Some(own), Some(relay)) = (highest(&own), highest(&relay)) {
        println!("granitelb over the bare relay: {:.2}", own / relay);
    }
    Ok(Ended::Held)
}
