//! The program: its command line, its configuration, its log and the signals it heeds.

mod command;
mod config;
mod log_format;
mod signals;
mod together;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use command::{Command, LogFormat};
use config::Config;
use granitelb_control_plane::fleet_config::FleetConfig;
use granitelb_control_plane::planner::{self, PlannerConfig};
use granitelb_coordination::component::Remediation;
use signals::Signals;

use crate::proxy::{Node, NodeConfig};

pub fn run() -> ExitCode {
    match carry_out(command::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("granitelb: {trouble}");
            ExitCode::FAILURE
        }
    }
}

fn carry_out(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        Command::Version => println!("granitelb {}", env!("CARGO_PKG_VERSION")),
        Command::Plan { config, log } => plan(&config, log)?,
        Command::Check { config, operator } => check(config, operator)?,
        Command::Serve { config, operator, log } => serve(config, operator, log)?,
    }
    Ok(())
}

fn load(path: Option<&Path>) -> Result<Config, String> {
    Config::load(path).map_err(|fault| format!("configuration, {fault}"))
}

fn told(fault: &dyn Remediation) -> String {
    format!("{fault}. {}", fault.remediation())
}

fn plan(path: &Path, log: LogFormat) -> Result<(), String> {
    log_format::start(log);
    planner::run(path).map_err(|fault| told(&fault))
}

/// A node's file is JSON; a planner's is TOML, and named so.
fn check(config: Option<PathBuf>, operator: Option<PathBuf>) -> Result<(), String> {
    if let Some(path) = &operator {
        println!("{}", FleetConfig::load(path).map_err(|trouble| told(&trouble))?);
    }
    match config {
        Some(path) if path.extension().is_some_and(|e| e == "toml") => {
            println!("{}", PlannerConfig::load(&path).map_err(|trouble| told(&trouble))?);
        }
        None if operator.is_some() => {}
        path => println!("{}", load(path.as_deref())?),
    }
    Ok(())
}

fn serve(
    path: Option<PathBuf>,
    operator: Option<PathBuf>,
    log: LogFormat,
) -> Result<(), Box<dyn std::error::Error>> {
    log_format::start(log);
    let config = load(path.as_deref())?;
    let together = operator.map(|path| together::prepare(path, &config)).transpose()?;
    let (courier, renewing) = together.unzip();
    // Before anything is served: a signal that nobody heeds ends the program.
    let signals = Signals::heed(path, config, renewing)?;
    log::info!(event = "starting"; "{}", signals.config());
    let node = Node::open(NodeConfig { control_plane_agent: courier, ..signals.config().setup() })?;
    log::info!(event = "ready"; "ready");
    node.serve(signals)?;
    log::info!(event = "stopped"; "stopped");
    Ok(())
}
