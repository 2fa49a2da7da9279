use std::process::ExitCode;

fn main() -> ExitCode {
    granitelb_lab::command::run()
}
