//! granitelb's real node. The layers, each using only those below it: `program`, `routing`, `protocol`,
//! `transport`.

mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    program::run()
}
