//! Finds the program that nodes are.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The program named, or the one that was built beside this one. Started by cargo, which builds only what it is
/// asked for, this has it built.
///
/// # Errors
/// Says what is missing and how to get it.
pub fn node(named: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(named) = named {
        return match named.is_file() {
            true => Ok(named.into()),
            false => Err(format!("{}: there is no such program", named.display())),
        };
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    // Tests stand one folder deeper than programs.
    let folders: Vec<_> = own.ancestors().skip(1).take(2).collect();
    let profile = folders.iter().find(|f| f.file_name().is_some_and(|n| n != "deps"));
    let folder = profile.ok_or("this program's own place is not known")?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--locked", "-p", "granitelb-node", "--bin", "granitelb"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let _ = build.status();
    }
    let beside = folder.join("granitelb");
    match beside.is_file() {
        true => Ok(beside),
        false => Err(format!("{}: build it (cargo build --release) or name one by --node", beside.display())),
    }
}
