//! The program: its command line, its configuration, its log and the signals it heeds.

mod command;
mod config;
mod signals;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use command::Command;
use config::Config;
use signals::Signals;

use crate::routing::Node;

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
        Command::Check { config } => println!("{}", load(config.as_deref())?),
        Command::Serve { config } => serve(config)?,
    }
    Ok(())
}

fn load(path: Option<&Path>) -> Result<Config, String> {
    Config::load(path).map_err(|fault| format!("configuration, {fault}"))
}

fn serve(path: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let config = load(path.as_deref())?;
    // Before anything is served: a signal that nobody heeds ends the program.
    let signals = Signals::heed(path, config)?;
    log::info!("{}", signals.config());
    let node = Node::open(signals.config().setup())?;
    log::info!("ready");
    node.serve(signals)?;
    log::info!("ended");
    Ok(())
}
