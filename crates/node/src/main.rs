//! The `granitelb` binary. Its code is in the library, so that tests can use the parts.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelb_node::cli::run()
}
