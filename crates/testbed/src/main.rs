//! The command-line program `granitelb-testbed`.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelb_testbed::command::run()
}
