//! The command-line program: arguments, configuration, logging and signals.

mod arguments;
mod config;
mod error;
mod fleet;
mod log_format;
mod signals;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use granitelb_control_plane::fleet_config::FleetConfig;
use granitelb_control_plane::planner::{self, PlannerConfig};

use self::arguments::{Command, LogFormat};
use self::config::Config;
use self::error::CommandError;
use self::fleet::PreparedAgent;
use self::signals::SignalHandler;
use crate::proxy::{Node, NodeConfig};

/// The file name extension that distinguishes a planner's configuration file (TOML) from a node's (JSON).
const PLANNER_CONFIG_EXTENSION: &str = "toml";

/// Runs the command given by the command line. Prints the error if the command fails.
pub fn run() -> ExitCode {
    match execute(arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("granitelb: {error}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Version => {
            println!("granitelb {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Plan { config, log_format } => plan(&config, log_format),
        Command::Check { config, fleet_config } => check(config, fleet_config),
        Command::Serve { config, fleet_config, log_format } => serve(config, fleet_config, log_format),
    }
}

fn load_config(path: Option<&Path>) -> Result<Config, CommandError> {
    Config::load(path).map_err(CommandError::NodeConfig)
}

fn plan(path: &Path, log_format: LogFormat) -> Result<(), CommandError> {
    log_format::start(log_format);
    planner::run(path).map_err(CommandError::Planner)
}

/// Checks the given files, or, if none is given, the node's configuration that `ROUTER_CONFIG` names.
fn check(config: Option<PathBuf>, fleet_config: Option<PathBuf>) -> Result<(), CommandError> {
    if let Some(path) = &fleet_config {
        println!("{}", FleetConfig::load(path).map_err(CommandError::CheckedFile)?);
    }
    match config {
        Some(path) if is_planner_config(&path) => {
            println!("{}", PlannerConfig::load(&path).map_err(CommandError::CheckedFile)?);
        }
        None if fleet_config.is_some() => {}
        path => println!("{}", load_config(path.as_deref())?),
    }
    Ok(())
}

fn is_planner_config(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == PLANNER_CONFIG_EXTENSION)
}

fn serve(
    config_path: Option<PathBuf>,
    fleet_config_path: Option<PathBuf>,
    log_format: LogFormat,
) -> Result<(), CommandError> {
    log_format::start(log_format);
    let config = load_config(config_path.as_deref())?;
    let (agent, reloader) = match fleet_config_path {
        Some(path) => {
            let PreparedAgent { agent, reloader } = fleet::prepare_agent(path, &config)?;
            (Some(agent), Some(reloader))
        }
        None => (None, None),
    };
    // Signal handlers are installed before the node serves, since a signal without a handler ends the
    // process.
    let signals = SignalHandler::install(config_path, config, reloader)?;
    log::info!(event = "starting"; "starting {}", signals.config());
    let node = Node::open(NodeConfig { control_plane_agent: agent, ..signals.config().node_config() })?;
    log::info!(event = "ready"; "the node is ready to accept connections");
    node.serve(signals)?;
    log::info!(event = "stopped"; "the node has stopped");
    Ok(())
}
