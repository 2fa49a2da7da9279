//! Connects the balancer to the simulator's wire protocol: reads batches of events from standard input, and
//! writes one reply for each batch to standard output. All decisions are the balancer's, and the balancers of
//! different nodes share no state.

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

/// Replies to each batch, until the input ends after a complete batch.
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
