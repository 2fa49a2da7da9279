//! The `granitelb` binary. All of it is in the library, where tests can reach the parts.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelb_node::cli::run()
}
