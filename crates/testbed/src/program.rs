//! Finds the program under test.
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The file name of the program under test.
const NODE_PROGRAM: &str = "granitelb";

/// The program under test was not found.
#[derive(Debug)]
pub enum ProgramError {
    /// The path that was given is not a file.
    NoSuchProgram(PathBuf),
    /// The program is not where cargo would build it.
    NotBuilt(PathBuf),
    /// The path of this program, beside which the other is looked for, can't be determined.
    OwnPath(io::Error),
    /// This program is in no folder of a build.
    NoBuildFolder,
}

impl fmt::Display for ProgramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProgramError::NoSuchProgram(path) => write!(f, "{}: there is no such program", path.display()),
            ProgramError::NotBuilt(path) => {
                write!(f, "{}: build it (cargo build --release) or name one by --node", path.display())
            }
            ProgramError::OwnPath(error) => write!(f, "{error}"),
            ProgramError::NoBuildFolder => f.write_str("this program's own place is not known"),
        }
    }
}

impl std::error::Error for ProgramError {}

/// The program at a path, or without a path the one that was built beside this program.
///
/// If this program was started by cargo, which builds only what it is asked to build, the other one is built first.
///
/// # Errors
/// There is no such program; the error says how to get it.
pub fn find_node(path: Option<&Path>) -> Result<PathBuf, ProgramError> {
    match path {
        Some(path) if path.is_file() => Ok(path.into()),
        Some(path) => Err(ProgramError::NoSuchProgram(path.into())),
        None => find_built_node(),
    }
}

fn find_built_node() -> Result<PathBuf, ProgramError> {
    let own_path = std::env::current_exe().map_err(ProgramError::OwnPath)?;
    let folder = build_folder(&own_path).ok_or(ProgramError::NoBuildFolder)?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--locked", "-p", "granitelb-node", "--bin", NODE_PROGRAM]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        // A failed build is not an error here: the program may exist from an earlier one.
        let _ = build.status();
    }
    let program = folder.join(NODE_PROGRAM);
    if program.is_file() { Ok(program) } else { Err(ProgramError::NotBuilt(program)) }
}

/// The folder that cargo puts programs in. Test programs are in its subfolder `deps`.
fn build_folder(program: &Path) -> Option<&Path> {
    let mut folders = program.ancestors().skip(1).take(2);
    folders.find(|folder| folder.file_name().is_some_and(|name| name != "deps"))
}
