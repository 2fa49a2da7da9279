//! Joins the decision module to the simulator's wire: batches of events on standard input, one reply
//! to each on standard output. Nothing is decided here, and the instances share nothing.

mod frame;
mod host;

use std::io::{self, BufWriter, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("granitelb-adapter: {trouble}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends between two of them.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut host = host::Host::default();
    while let Some(bytes) = frame::read(input)? {
        output.write_all(&host.answer(&bytes)?)?;
        output.flush()?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
