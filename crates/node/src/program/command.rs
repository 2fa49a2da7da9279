//! The command line.

use std::path::PathBuf;

use bpaf::{Parser, construct, long, pure};

#[derive(Clone, Debug)]
pub enum Command {
    Serve { config: Option<PathBuf> },
    Check { config: Option<PathBuf> },
    Version,
}

pub fn parse() -> Command {
    let configured = |make: fn(Option<PathBuf>) -> Command, name, descr, help| {
        long("config")
            .short('c')
            .help("Configuration file; without it, the one that ROUTER_CONFIG names")
            .argument::<PathBuf>("FILE")
            .optional()
            .map(make)
            .to_options()
            .descr(descr)
            .command(name)
            .help(help)
    };
    let serve = configured(
        |config| Command::Serve { config },
        "serve",
        "Serve API calls until a stop signal, then finish those that were taken",
        "Serve API calls",
    );
    let check = configured(
        |config| Command::Check { config },
        "check",
        "Read the configuration, say what it comes to, and end",
        "Check the configuration",
    );
    let version = pure(Command::Version)
        .to_options()
        .descr("Say which version this is")
        .command("version")
        .help("Say the version");
    construct!([serve, check, version])
        .to_options()
        .descr("Spreads keys over cache servers before a slow origin")
        .run()
}
