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
    let config = || {
        long("config")
            .short('c')
            .help("Configuration file; without it, the one that ROUTER_CONFIG names")
            .argument::<PathBuf>("FILE")
            .optional()
    };
    let config_of_serve = config();
    let serve = construct!(Command::Serve { config(config_of_serve) })
        .to_options()
        .descr("Serve API calls until a stop signal, then finish those that were taken")
        .command("serve")
        .help("Serve API calls");
    let config_of_check = config();
    let check = construct!(Command::Check { config(config_of_check) })
        .to_options()
        .descr("Read the configuration, say what it comes to, and end")
        .command("check")
        .help("Check the configuration");
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
