//! The deploy file's command that starts a node, and the program that it runs.

use std::fs;
use std::path::Path;
use std::process::Command;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// The value of a key in the deploy file, each of which is a plain string on one line.
fn deployed(key: &str) -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("a deploy file");
    let line = text.lines().find_map(|l| l.strip_prefix(key)?.trim_start().strip_prefix('='));
    line.expect("the key").trim().trim_matches('"').to_string()
}

#[test]
fn node_is_started_by_exec_as_a_single_command() {
    let run = deployed("run");
    assert!(run.starts_with("exec target/release/granitelb "), "{run}");
    assert!(!run.contains([';', '&', '|', '`', '$', '(']), "{run} starts more than the node");
}

/// The operators' bench preloads a library that replaces functions of the C library, which has no effect on a statically
/// linked program.
#[test]
fn program_is_linked_dynamically_against_the_c_library() {
    let program = env!("CARGO_BIN_EXE_granitelb");
    let bytes = fs::read(program).expect("the built program");
    assert_eq!(&bytes[..4], b"\x7fELF");
    let contains = |name: &[u8]| bytes.windows(name.len()).any(|window| window == name);
    assert!(contains(b"libc.so.6\0"), "not linked against the C library");
    assert!(contains(b"/lib64/ld-linux-x86-64.so.2\0") || contains(b"ld-linux"), "no interpreter");
    let version = Command::new(program).arg("version").output().expect("it starts");
    assert!(version.status.success());
}
