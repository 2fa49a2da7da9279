//! Runs the commands of the command line.

mod arguments;
mod error;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::experiment::Experiment;
use crate::run_result::RunOutcome;
use crate::runs::Options;
use crate::schedule::Schedule;
use crate::{compare, faulty_node, hunt, program, recording, report, run_result, runs, throughput};

use arguments::{Builds, Command};
use error::CommandError;

/// Exit status after a run in which a rule was broken or an expectation was not met.
const STATUS_FAILED: u8 = 1;
/// Exit status after a command that could not be run, or whose run was not judged.
const STATUS_NOT_RUN: u8 = 2;
/// The seed of throughput measurements.
const THROUGHPUT_SEED: u64 = 1;

/// Parses the command line, runs the command and returns the program's exit status.
pub fn run() -> ExitCode {
    match run_command(arguments::parse()) {
        Ok(RunOutcome::Passed) => ExitCode::SUCCESS,
        Ok(RunOutcome::Failed) => ExitCode::from(STATUS_FAILED),
        Ok(RunOutcome::NotRun) => ExitCode::from(STATUS_NOT_RUN),
        Err(error) => {
            eprintln!("granitelb-testbed: {error}");
            ExitCode::from(STATUS_NOT_RUN)
        }
    }
}

fn run_command(command: Command) -> Result<RunOutcome, CommandError> {
    match command {
        Command::Run { options, files } => run_files(&options, &files),
        Command::Check { files } => check(&files),
        Command::List { folder } => list(&folder),
        Command::Compare { options, builds, files } => compare_builds(&options, &builds, &files),
        Command::Record { seed, node, out, file } => record_traffic(seed, node.as_deref(), &out, &file),
        Command::Replay { options, recording, file } => replay_traffic(&options, &recording, &file),
        Command::Hunt { options, node } => Ok(hunt::run(&options, &program::find_node(node.as_deref())?)),
        Command::Throughput { node, seconds } => measure_throughput(node.as_deref(), seconds),
        Command::Relay { listen, to } => {
            throughput::relay(listen, to)?;
            Ok(RunOutcome::Passed)
        }
        Command::FaultyNode { violation, config } => {
            faulty_node::serve(violation, &config)?;
            Ok(RunOutcome::Passed)
        }
    }
}

/// Reads all experiment files.
fn load(files: &[PathBuf]) -> Result<Vec<Experiment>, CommandError> {
    let mut experiments = Vec::new();
    for file in files {
        experiments.push(Experiment::load(file)?);
    }
    Ok(experiments)
}

fn run_files(options: &Options, files: &[PathBuf]) -> Result<RunOutcome, CommandError> {
    let experiments = load(files)?;
    let node = program::find_node(options.node.as_deref())?;
    Ok(runs::run(options, &node, &experiments))
}

fn check(files: &[PathBuf]) -> Result<RunOutcome, CommandError> {
    let experiments = load(files)?;
    for (file, experiment) in files.iter().zip(experiments) {
        println!("{}: {}", file.display(), experiment.about);
    }
    Ok(RunOutcome::Passed)
}

fn list(folder: &Path) -> Result<RunOutcome, CommandError> {
    let entries = std::fs::read_dir(folder).map_err(CommandError::file(folder))?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    check(&files)
}

fn compare_builds(options: &Options, builds: &Builds, files: &[PathBuf]) -> Result<RunOutcome, CommandError> {
    let experiments = load(files)?;
    let node_a = program::find_node(Some(&builds.a))?;
    let node_b = program::find_node(Some(&builds.b))?;
    let mut comparisons = Vec::new();
    for experiment in &experiments {
        let seeds = options.seeds(experiment);
        let comparison = compare::compare(experiment, &seeds, options.repeat, [&node_a, &node_b])?;
        println!("{comparison}");
        comparisons.push(comparison);
    }
    if let Some(folder) = &options.report {
        std::fs::create_dir_all(folder).map_err(CommandError::file(folder))?;
        let file = folder.join("comparison.json");
        let text = format!("{:#}", serde_json::json!(comparisons));
        std::fs::write(&file, text).map_err(CommandError::file(&file))?;
    }
    let second_build_broke_a_rule = comparisons.iter().any(|comparison| comparison.violations[1] > 0);
    Ok(if second_build_broke_a_rule { RunOutcome::Failed } else { RunOutcome::Passed })
}

fn record_traffic(
    seed: u64,
    node: Option<&Path>,
    out: &Path,
    file: &Path,
) -> Result<RunOutcome, CommandError> {
    let experiment = Experiment::load(file)?;
    let node = program::find_node(node)?;
    let schedule = Schedule::draw(&experiment, seed);
    let result = run_result::run_schedule(&experiment, &schedule, seed, &node)?;
    let text = recording::record(&experiment, &schedule, &result.event_log);
    std::fs::write(out, text).map_err(CommandError::file(out))?;
    let requests = schedule.requests.len();
    let retries = result.event_log.client_attempts.len() - requests;
    println!("{}: recorded {requests} requests and {retries} client retries", out.display());
    Ok(RunOutcome::Passed)
}

fn replay_traffic(options: &Options, recording: &Path, file: &Path) -> Result<RunOutcome, CommandError> {
    let experiment = Experiment::load(file)?;
    let node = program::find_node(options.node.as_deref())?;
    let text = std::fs::read_to_string(recording).map_err(CommandError::file(recording))?;
    let schedule = recording::read(recording, &text, &experiment)?;
    let seed = options.seed.unwrap_or(experiment.seeds[0]);
    let result = run_result::run_schedule(&experiment, &schedule, seed, &node)?;
    println!("{}", report::summary(&format!("{} replayed", experiment.name), &result.audit_result));
    if let Some(folder) = &options.report {
        let file = folder.join(format!("{}-replayed", experiment.name));
        options.write_report(&file, &experiment, seed, &result)?;
    }
    Ok(RunOutcome::of(&result.audit_result))
}

fn measure_throughput(node: Option<&Path>, seconds: f64) -> Result<RunOutcome, CommandError> {
    let node = program::find_node(node)?;
    let testbed = std::env::current_exe().map_err(CommandError::OwnPath)?;
    let curves = throughput::curves(&node, &testbed, seconds, THROUGHPUT_SEED)?;
    println!("{}\n{}", curves.node, curves.relay);
    if let (Some(node), Some(relay)) = (curves.node.highest(), curves.relay.highest()) {
        println!(
            "highest rate of granitelb over that of the bare relay: {:.2}",
            node.point.rate / relay.point.rate
        );
    }
    Ok(RunOutcome::Passed)
}
