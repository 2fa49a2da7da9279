//! Joins the balancer to the simulator's wire: batches of events on standard input, one reply to each on standard
//! output. Nothing is decided here, and the nodes' instances share no state.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

mod error;
mod frame;
mod host;
mod wire;

use std::io::{self, BufWriter, Read, Write};
use std::process::ExitCode;

use crate::error::AdapterError;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("granitelb-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to batches until the input ends between two of them.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = host::Host::default();
    while let Some(batch) = frame::read(input)? {
        output.write_all(&host.on_batch(&batch)?)?;
        output.flush()?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
