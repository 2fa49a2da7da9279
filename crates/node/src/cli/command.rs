//! The command line.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Parser, construct, long, pure};

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// A JSON object a line, with fields of stable names.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(word: &str) -> Result<LogFormat, String> {
        match word {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("{word} is neither text nor json")),
        }
    }
}

#[derive(Clone, Debug)]
pub enum Command {
    Serve { config: Option<PathBuf>, operator: Option<PathBuf>, log: LogFormat },
    Plan { config: PathBuf, log: LogFormat },
    Check { config: Option<PathBuf>, operator: Option<PathBuf> },
    Version,
}

pub fn parse() -> Command {
    let config = || {
        long("config")
            .short('c')
            .help("Configuration file; without it, the one that ROUTER_CONFIG names")
            .argument::<PathBuf>("FILE")
            .optional()
    };
    let log = || {
        long("log-format")
            .help("How the log is written: text or json")
            .argument::<LogFormat>("FORMAT")
            .fallback(LogFormat::default())
    };
    let log_to_plan = log();
    let log = log();
    let config_to_serve = config();
    let operator = long("operator")
        .help("The operator's file, for a node of a fleet that decides together")
        .argument::<PathBuf>("FILE")
        .optional();
    let serve = construct!(Command::Serve { config(config_to_serve), operator, log })
        .to_options()
        .descr("Serve API calls until a stop signal, then finish those that were taken")
        .command("serve")
        .help("Serve API calls");
    let planner =
        long("config").short('c').help("The planner's configuration file").argument::<PathBuf>("FILE");
    let plan = construct!(Command::Plan { config(planner), log(log_to_plan) })
        .to_options()
        .descr("Plan with the other planners of a fleet until a stop signal")
        .command("plan")
        .help("Plan for a fleet that decides together");
    let config = config();
    let operator = long("operator").help("An operator's file").argument::<PathBuf>("FILE").optional();
    let check = construct!(Command::Check { config, operator })
        .to_options()
        .descr(
            "Read a node's or a planner's configuration or an operator's file, say what it comes to, and end",
        )
        .command("check")
        .help("Check the configuration");
    let version = pure(Command::Version)
        .to_options()
        .descr("Say which version this is")
        .command("version")
        .help("Say the version");
    construct!([serve, plan, check, version])
        .to_options()
        .descr("Spreads keys over cache servers before a slow origin")
        .run()
}
