//! Tests of `.ci/verdict`, the script that decides whether a test run has passed, with recorded outputs of
//! `cargo test --no-fail-fast`. The outputs are of a small package with three ordinary tests and some special
//! ones.

use std::path::Path;
use std::process::Command;

use test_case::test_case;

/// Entry of the list of known failures for the test that fails in `failed.txt`.
const FIRST: &str = "tests::first | cargo test first, seed 3 | a cause | issue 7\n";

// Without a matching entry in the list, every failure counts.
#[test_case("passed", 0, "", "0 failed, 0 listed: passed", true; "all pass")]
#[test_case("failed", 101, "", "failed: tests::first", false; "an unlisted failure")]
#[test_case("failed", 101, "tests::second | c, seed 1 | a cause | issue 7\n", "failed: tests::first", false; "another listed")]
#[test_case("failed-two", 101, FIRST, "failed: tests::second", false; "one of two listed")]
// A listed test has to be run and to fail, and the script prints its entry.
#[test_case("failed", 101, FIRST, "known red: tests::first | cargo test first, seed 3 | a cause | issue 7", true; "a listed failure")]
#[test_case("failed", 101, "\ntests::first | c -- a, no seed | parts: two, with more | issue 12", "1 listed: passed", true; "a long cause")]
#[test_case("passed", 0, FIRST, "listed, and passes: take it off KNOWN-RED.txt: tests::first", false; "a listed pass")]
#[test_case("passed", 0, "tests::panics | c, seed 1 | d | issue 7", "listed, and passes", false; "a listed test that should panic and does")]
#[test_case("passed", 0, "src/lib.rs - f (line 1) | c, seed 1 | d | issue 7", "listed, and passes", false; "a listed doc test that passes")]
#[test_case("passed", 0, "tests::by_hand | c, seed 1 | d | issue 7", "listed, and not run: tests::by_hand", false; "a listed ignored test")]
#[test_case("passed", 0, "tests::none | c, seed 1 | d | issue 7", "there is no such test: tests::none", false; "a listed test that does not exist")]
#[test_case("failed", 101, "tests::firs | c, seed 1 | d | issue 7", "there is no such test: tests::firs", false; "a listed part of a name")]
#[test_case("same-name", 101, FIRST, "the name of several tests: tests::first", false; "a listed name of two tests")]
// Each entry of the list has to have the four parts: test, command with seed, cause, and issue.
#[test_case(
    "failed-two", 101,
    "tests::first | c, seed 1 | a | issue 1\ntests::second | c, seed 2 | b | issue 2\nthird | c, seed 3 | c | issue 3\n\
    fourth | c, seed 4 | d | issue 4\n",
    "there is no such test: fourth", false; "each of four entries is checked"
)]
#[test_case(
    "failed-two", 101, "tests::first | c, seed 1 | a | issue 1\ntests::second | c, seed 2 | b | issue 2",
    "2 listed: passed", true; "two entries"
)]
#[test_case("failed", 101, "tests::first | c, seed 1 | a cause\n", "not of the form", false; "an entry without issue")]
#[test_case("failed", 101, "tests::first | c, seed 1 | a cause | issue\n", "not of the form", false; "an entry with an issue without number")]
#[test_case("failed", 101, "tests::first | c, seed 1 |  | issue 7\n", "not of the form", false; "an entry without cause")]
#[test_case("failed", 101, "tests::first | c | a cause | issue 7\n", "not of the form", false; "an entry without seed")]
#[test_case("failed", 101, "tests::first | , seed 1 | a cause | issue 7\n", "not of the form", false; "an entry without command")]
#[test_case("failed", 101, "tests::first: a cause, issue 7\n", "not of the form", false; "an entry in the former format")]
#[test_case("failed", 101, "tests::first\n", "not of the form", false; "an entry with a name only")]
#[test_case(
    "failed", 101, "tests::first | c, seed 1 | a | issue 1\ntests::first | c, seed 1 | b | issue 2",
    "twice: tests::first", false; "two entries for one test"
)]
// A test run that did not complete has not passed, whatever is listed.
#[test_case("crashed", 101, "third | c, no seed | aborts | issue 7", "of 3 test programs 2 came to a result", false; "a test program that aborted")]
#[test_case("unbuilt", 101, FIRST, "no test was run", false; "a build that failed")]
#[test_case("unbuilt", 0, "", "no test was run", false; "no output")]
#[test_case("passed", 101, "", "cargo test ended with 101, 0 tests failed", false; "a failing status without a failed test")]
#[test_case("failed", 0, FIRST, "cargo test ended with 0, 1 tests failed", false; "a status of 0 with a failed test")]
#[test_case("failed", 130, FIRST, "cargo test ended with 130", false; "a run that was interrupted")]
fn verdict_prints_and_exits(output: &str, status: i32, listed: &str, expected_text: &str, passes: bool) {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let list = write_list(listed);
    let mut verdict = Command::new(package.join("../../.ci/verdict"));
    verdict.arg(&list).arg(package.join("tests/known_red").join(output).with_extension("txt"));
    let result = verdict.arg(status.to_string()).output().expect(".ci/verdict can be run");
    let printed = String::from_utf8(result.stdout).expect("UTF-8 text");
    assert!(printed.contains(expected_text), "{printed}");
    assert_eq!(result.status.success(), passes, "{printed}");
    let last = printed.lines().last().unwrap_or_default();
    assert!(last.ends_with(if passes { "passed" } else { "FAILED" }), "{printed}");
    std::fs::remove_file(&list).expect("the list can be removed");
}

#[test]
fn without_a_list_every_failure_counts() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    for (output, status, passes) in [("passed", "0", true), ("failed", "101", false)] {
        let mut verdict = Command::new(package.join("../../.ci/verdict"));
        verdict.arg("there-is-none").arg(package.join("tests/known_red").join(output).with_extension("txt"));
        let result = verdict.arg(status).output().expect(".ci/verdict can be run");
        assert_eq!(result.status.success(), passes, "{}", String::from_utf8_lossy(&result.stdout));
    }
}

/// Writes a list of known failures to a file with a unique name and returns the file's path.
fn write_list(text: &str) -> std::path::PathBuf {
    use std::sync::atomic::{AtomicU32, Ordering};
    static LIST_COUNT: AtomicU32 = AtomicU32::new(0);
    let name = format!("known-red-{}.txt", LIST_COUNT.fetch_add(1, Ordering::Relaxed));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the list can be written");
    path
}
