//! The command line: the commands, their arguments, and the parser.

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Parser, construct, long, pure};

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of plain text for people.
    #[default]
    Text,
    /// One JSON object per line, with stable field names.
    Json,
}

/// The error for a command-line argument that is not the name of a log format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownLogFormat(String);

impl fmt::Display for UnknownLogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown log format {:?}: use text or json", self.0)
    }
}

impl std::error::Error for UnknownLogFormat {}

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(name: &str) -> Result<LogFormat, UnknownLogFormat> {
        match name {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(UnknownLogFormat(name.into())),
        }
    }
}

/// A command of the program, with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Serve requests as a node.
    Serve {
        /// The node's configuration file. If `None`, the environment variable `ROUTER_CONFIG` names the file.
        config: Option<PathBuf>,
        /// The fleet configuration file, for a node with a control-plane agent.
        fleet_config: Option<PathBuf>,
        /// The format of the log.
        log_format: LogFormat,
    },
    /// Run a planner of the control plane.
    Plan {
        /// The planner's configuration file.
        config: PathBuf,
        /// The format of the log.
        log_format: LogFormat,
    },
    /// Check configuration files and exit.
    Check {
        /// The configuration file of a node or of a planner. If `None`, and without a fleet configuration,
        /// the environment variable `ROUTER_CONFIG` names the node's file.
        config: Option<PathBuf>,
        /// A fleet configuration file.
        fleet_config: Option<PathBuf>,
    },
    /// Print the version and exit.
    Version,
}

/// Parses the command line. Prints a message and exits if the command line is not valid or requests help.
pub fn parse() -> Command {
    let serve = serve();
    let plan = plan();
    let check = check();
    let version = version();
    construct!([serve, plan, check, version])
        .to_options()
        .descr("Spreads keys over cache servers before a slow origin")
        .run()
}

fn serve() -> impl Parser<Command> {
    let config = node_config();
    let fleet_config = fleet_config("The fleet configuration, for a node that uses a control plane");
    let log_format = log_format();
    construct!(Command::Serve { config, fleet_config, log_format })
        .to_options()
        .descr("Serve requests until a stop signal, then finish the accepted requests")
        .command("serve")
        .help("Serve requests")
}

fn plan() -> impl Parser<Command> {
    let config =
        long("config").short('c').help("The planner's configuration file").argument::<PathBuf>("FILE");
    let log_format = log_format();
    construct!(Command::Plan { config, log_format })
        .to_options()
        .descr("Run a planner of the control plane until a stop signal")
        .command("plan")
        .help("Run a planner of the control plane")
}

fn check() -> impl Parser<Command> {
    let config = node_config();
    let fleet_config = fleet_config("A fleet configuration");
    construct!(Command::Check { config, fleet_config })
        .to_options()
        .descr("Read the configuration of a node, a planner or a fleet, print a summary, and exit")
        .command("check")
        .help("Check the configuration")
}

fn version() -> impl Parser<Command> {
    pure(Command::Version)
        .to_options()
        .descr("Print the version")
        .command("version")
        .help("Print the version")
}

fn node_config() -> impl Parser<Option<PathBuf>> {
    long("config")
        .short('c')
        .help("Configuration file; without it, the one that ROUTER_CONFIG names")
        .argument::<PathBuf>("FILE")
        .optional()
}

fn fleet_config(help: &'static str) -> impl Parser<Option<PathBuf>> {
    long("operator").help(help).argument::<PathBuf>("FILE").optional()
}

fn log_format() -> impl Parser<LogFormat> {
    long("log-format")
        .help("The format of the log: text or json")
        .argument::<LogFormat>("FORMAT")
        .fallback(LogFormat::default())
}
