//! Tests of the deploy file's command that starts a node, and of the program that the command runs.

use std::fs;
use std::path::Path;
use std::process::Command;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// The value of a key in the deploy file, where each value is a plain string on one line.
fn deployed(key: &str) -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("a deploy file");
    let line = text.lines().find_map(|l| l.strip_prefix(key)?.trim_start().strip_prefix('='));
    line.expect("the key in the deploy file").trim().trim_matches('"').to_string()
}

#[test]
fn node_is_started_by_exec_as_a_single_command() {
    let run = deployed("run");
    assert!(run.starts_with("exec target/release/granitelb "), "{run}");
    assert!(!run.contains([';', '&', '|', '`', '$', '(']), "{run} starts more than the node");
}

/// Guards against a statically linked program: the operators' bench preloads a library that replaces
/// functions of the C library, and preloading has no effect on such a program.
#[test]
fn program_is_linked_dynamically_against_the_c_library() {
    let program = env!("CARGO_BIN_EXE_granitelb");
    let bytes = fs::read(program).expect("the built program");
    assert_eq!(&bytes[..4], b"\x7fELF");
    let contains = |name: &[u8]| bytes.windows(name.len()).any(|window| window == name);
    assert!(contains(b"libc.so.6\0"), "not linked against the C library");
    assert!(contains(b"/lib64/ld-linux-x86-64.so.2\0") || contains(b"ld-linux"), "no dynamic linker named");
    let version = Command::new(program).arg("version").output().expect("the program starts");
    assert!(version.status.success());
}
