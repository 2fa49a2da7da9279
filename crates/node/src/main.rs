//! The binary; all of it is in the library beside it, so that tests can reach the parts.

fn main() -> std::process::ExitCode {
    granitelb_node::cli::run()
}
