//! The search for the program under test.
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The file name of the program under test.
const NODE_PROGRAM: &str = "granitelb";

/// The reason why the program under test was not found.
#[derive(Debug)]
pub enum ProgramError {
    /// The path that was given is not a file.
    NoSuchProgram(PathBuf),
    /// The program is not in the folder that cargo builds it in.
    NotBuilt(PathBuf),
    /// The path of this program, in whose folder the program under test is searched for, can't be determined.
    OwnPath(io::Error),
    /// This program is not in a build folder of cargo.
    NoBuildFolder,
}

impl fmt::Display for ProgramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProgramError::NoSuchProgram(path) => write!(f, "there is no program {}", path.display()),
            ProgramError::NotBuilt(path) => {
                write!(
                    f,
                    "the program under test is not built at {}; build it with `cargo build --release`, or set its \
                     path with --node",
                    path.display()
                )
            }
            ProgramError::OwnPath(error) => write!(
                f,
                "the path of this program, beside which the program under test is searched for, is unknown: {error}; \
                 set the path of the program under test with --node"
            ),
            ProgramError::NoBuildFolder => f.write_str(
                "this program is not in a build folder of cargo; set the path of the program under test with --node",
            ),
        }
    }
}

impl std::error::Error for ProgramError {}

/// The path of the program under test: the given path, or if none is given that of the program built in the
/// same folder as this program.
///
/// If no path is given and cargo started this program, the program under test is built first, because cargo
/// builds only the programs that it is asked to build.
///
/// # Errors
/// A [`ProgramError`] if there is no program at the path.
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
        // A failed build is ignored here: the program may exist from an earlier build.
        let _ = build.status();
    }
    let program = folder.join(NODE_PROGRAM);
    if program.is_file() { Ok(program) } else { Err(ProgramError::NotBuilt(program)) }
}

/// The folder in which cargo builds programs, found from the path of a program in it or in its subfolder
/// `deps`, which holds test programs.
fn build_folder(program: &Path) -> Option<&Path> {
    let mut folders = program.ancestors().skip(1).take(2);
    folders.find(|folder| folder.file_name().is_some_and(|name| name != "deps"))
}
