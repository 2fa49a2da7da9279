//! The program: its command line, its configuration, its log and the signal that stops it.

mod command;
mod config;

use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::ExitCode;

use command::Command;
use config::Config;

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
        Command::Serve { config } => serve(load(config.as_deref())?)?,
    }
    Ok(())
}

fn load(path: Option<&Path>) -> Result<Config, String> {
    Config::load(path).map_err(|fault| format!("configuration, {fault}"))
}

fn serve(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    // Both signals that ask a program to end end it in the same way.
    let (stop, wake) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGINT, wake.try_clone()?)?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, wake)?;
    log::info!("{config}");
    let node = Node::open(config.into_setup())?;
    log::info!("ready");
    node.serve(stop)?;
    log::info!("ended");
    Ok(())
}
