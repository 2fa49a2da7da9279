//! The commands and options of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};

use crate::faulty_node::InjectedViolation;
use crate::hunt::HuntOptions;
use crate::run_result::ON_TIME_MS;
use crate::runs::Options;

/// The default folder of experiments, relative to the repository's root.
const DEFAULT_FOLDER: &str = "testbed/experiments";

/// A command with its arguments.
#[derive(Clone, Debug)]
pub(super) enum Command {
    Run { options: Options, files: Vec<PathBuf> },
    Check { files: Vec<PathBuf> },
    List { folder: PathBuf },
    Compare { options: Options, builds: Builds, files: Vec<PathBuf> },
    Record { seed: u64, node: Option<PathBuf>, out: PathBuf, file: PathBuf },
    Replay { options: Options, recording: PathBuf, file: PathBuf },
    Hunt { options: HuntOptions, node: Option<PathBuf> },
    Throughput { node: Option<PathBuf>, seconds: f64 },
    Relay { listen: SocketAddr, to: SocketAddr },
    FaultyNode { violation: InjectedViolation, config: PathBuf },
}

/// The two builds of a comparison.
#[derive(Clone, Debug)]
pub(super) struct Builds {
    /// The path of the build to compare with.
    pub(super) a: PathBuf,
    /// The path of the build that is examined.
    pub(super) b: PathBuf,
}

/// Parses the command line. Without a valid command, prints help or an error and ends the process.
pub(super) fn parse() -> Command {
    let run = run();
    let compare = compare();
    let record = record();
    let replay = replay();
    let hunt = hunt();
    let check = check();
    let list = list();
    let throughput = throughput();
    let relay = relay();
    let faulty_node = faulty_node();
    construct!([run, compare, record, replay, hunt, check, list, throughput, relay, faulty_node])
        .to_options()
        .descr("Runs the node with emulated clients and servers, injects faults, and audits the run")
        .run()
}

fn options() -> impl Parser<Options> {
    let seed = long("seed")
        .help("Run with this seed instead of those of the experiment file")
        .argument("N")
        .optional();
    let repeat = long("repeat").help("Run each seed this many times").argument("N").fallback(1);
    let node = node();
    let report = long("report").help("Write reports to this folder").argument::<PathBuf>("DIR").optional();
    let event_log = long("book").help("Write the event log of the run beside each report").switch();
    let jobs = long("jobs").help("Run this many experiments at once").argument("N").fallback(1);
    let late_ms = long("late")
        .help("Don't judge runs in which the testbed sent requests later than this, in ms; a high value allows judging rules on a busy machine")
        .argument("MS")
        .fallback(ON_TIME_MS);
    construct!(Options { seed, repeat, node, report, event_log, jobs, late_ms })
}

fn node() -> impl Parser<Option<PathBuf>> {
    long("node").help("The program to run as node").argument::<PathBuf>("PATH").optional()
}

fn files() -> impl Parser<Vec<PathBuf>> {
    positional::<PathBuf>("FILE").help("Experiment files").some("name at least one experiment file")
}

fn run() -> impl Parser<Command> {
    let options = options();
    let files = files();
    construct!(Command::Run { options, files })
        .to_options()
        .descr(
            "Run experiments and audit them; exit status: 0 all passed, 1 one failed, 2 one could not be run",
        )
        .command("run")
        .help("Run experiments")
}

fn check() -> impl Parser<Command> {
    let files = files();
    construct!(Command::Check { files })
        .to_options()
        .descr("Read experiment files, report the first error, and list descriptions")
        .command("check")
        .help("Check experiments")
}

fn list() -> impl Parser<Command> {
    let folder =
        positional::<PathBuf>("DIR").help("The folder of experiment files").fallback(DEFAULT_FOLDER.into());
    construct!(Command::List { folder })
        .to_options()
        .descr("List the experiments of a folder with their descriptions")
        .command("list")
        .help("List experiments")
}

fn compare() -> impl Parser<Command> {
    let options = options();
    let a = long("a").help("The build to compare with").argument::<PathBuf>("PATH");
    let b = long("b").help("The build that is examined").argument::<PathBuf>("PATH");
    let builds = construct!(Builds { a, b });
    let files = files();
    construct!(Command::Compare { options, builds, files })
        .to_options()
        .descr("Send the same requests to two builds alternately, and report the differences")
        .command("compare")
        .help("Compare two builds")
}

fn record() -> impl Parser<Command> {
    let seed = long("seed").help("Run with this seed").argument("N").fallback(1);
    let out = long("out").short('o').help("The recording to write").argument::<PathBuf>("FILE");
    let node = node();
    let file = positional::<PathBuf>("FILE").help("The experiment file");
    construct!(Command::Record { seed, node, out, file })
        .to_options()
        .descr("Run an experiment and record its traffic, with client retries marked")
        .command("record")
        .help("Record traffic")
}

fn replay() -> impl Parser<Command> {
    let options = options();
    let recording = long("recording").short('r').help("The recording").argument::<PathBuf>("FILE");
    let file = positional::<PathBuf>("FILE").help("The experiment to replay the recording in");
    construct!(Command::Replay { options, recording, file })
        .to_options()
        .descr("Replay recorded traffic in an experiment's environment, without recorded retries")
        .command("replay")
        .help("Replay traffic")
}

fn hunt() -> impl Parser<Command> {
    let first_seed = long("seed").help("The first seed").argument("N").fallback(1);
    let seed_count = long("count").help("The number of seeds").argument("N").fallback(20);
    let seconds = long("seconds").help("The duration of each run, in seconds").argument("S").fallback(12.0);
    let jobs = long("jobs").help("Do this many runs at once").argument("N").fallback(1);
    let out = long("out").short('o').help("The folder to write timelines that break a rule to");
    let out = out.argument("DIR").optional();
    let max_shrink_runs =
        long("shrink").help("The most runs for shrinking one timeline").argument("N").fallback(24);
    let options = construct!(HuntOptions { first_seed, seed_count, seconds, jobs, max_shrink_runs, out });
    let node = node();
    construct!(Command::Hunt { options, node })
        .to_options()
        .descr("Draw timelines of overlapping faults, and shrink those that break a rule")
        .command("hunt")
        .help("Search for combinations of faults that break a rule")
}

fn throughput() -> impl Parser<Command> {
    let seconds = long("seconds").help("The duration of each run, in seconds").argument("S").fallback(2.5);
    let node = node();
    construct!(Command::Throughput { node, seconds })
        .to_options()
        .descr("Measure the throughput of a node on one core, and of a bare relay of bytes")
        .command("throughput")
        .help("Measure throughput")
}

/// The command of the bare relay, which `throughput` starts as a separate process.
fn relay() -> impl Parser<Command> {
    let listen = long("listen").argument("ADDRESS");
    let to = long("to").argument("ADDRESS");
    construct!(Command::Relay { listen, to })
        .to_options()
        .descr("Relay bytes, as the lower bound of a proxy's cost in throughput measurements")
        .command("relay")
        .hide()
}

/// The command of the faulty node, which the audit's tests run in place of the program under test.
fn faulty_node() -> impl Parser<Command> {
    let violation = long("vice").help("The violation to inject").argument::<InjectedViolation>("VICE");
    let config = long("config").help("The program's configuration").argument::<PathBuf>("FILE");
    // The program under test has the option `--operator`, so the faulty node accepts it as well.
    let fleet_config = long("operator").help("Accepted and not read").argument::<PathBuf>("FILE").optional();
    let config = construct!(config, fleet_config).map(|(config, _)| config);
    construct!(Command::FaultyNode { violation, config })
        .to_options()
        .descr("Run as a node that violates a rule, for tests of the audit")
        .command("stand-in-node")
        .hide()
}
