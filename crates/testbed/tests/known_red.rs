//! The judge of a test run, `.ci/verdict`, on recorded outputs of `cargo test --no-fail-fast`: a small
//! package's, with three plain tests and some others.

use std::path::Path;
use std::process::Command;

use test_case::test_case;

/// Of a test that fails in `failed.txt`.
const FIRST: &str = "tests::first | cargo test first, seed 3 | a cause | issue 7\n";

// Nothing is passed over without a list.
#[test_case("passed", 0, "", "0 failed, 0 listed: passed", true; "all pass")]
#[test_case("failed", 101, "", "failed: tests::first", false; "an unlisted failure")]
#[test_case("failed", 101, "tests::second | c, seed 1 | a cause | issue 7\n", "failed: tests::first", false; "another listed")]
#[test_case("failed-two", 101, FIRST, "failed: tests::second", false; "one of two listed")]
// What is listed fails, and is said.
#[test_case("failed", 101, FIRST, "known red: tests::first | cargo test first, seed 3 | a cause | issue 7", true; "a listed failure")]
#[test_case("failed", 101, "\ntests::first | c -- a, no seed | parts: two, with more | issue 12", "1 listed: passed", true; "a long cause")]
#[test_case("passed", 0, FIRST, "listed, and passes: take it off KNOWN-RED.txt: tests::first", false; "a listed pass")]
#[test_case("passed", 0, "tests::panics | c, seed 1 | d | issue 7", "listed, and passes", false; "a listed panic as it should be")]
#[test_case("passed", 0, "src/lib.rs - f (line 1) | c, seed 1 | d | issue 7", "listed, and passes", false; "a listed example")]
#[test_case("passed", 0, "tests::by_hand | c, seed 1 | d | issue 7", "listed, and not run: tests::by_hand", false; "a listed rest")]
#[test_case("passed", 0, "tests::none | c, seed 1 | d | issue 7", "there is no such test: tests::none", false; "none such")]
#[test_case("failed", 101, "tests::firs | c, seed 1 | d | issue 7", "there is no such test: tests::firs", false; "part of a name")]
#[test_case("same-name", 101, FIRST, "the name of several tests: tests::first", false; "a name of two")]
// The list's form.
#[test_case(
    "failed-two", 101,
    "tests::first | c, seed 1 | a | issue 1\ntests::second | c, seed 2 | b | issue 2\nthird | c, seed 3 | c | issue 3\n\
    fourth | c, seed 4 | d | issue 4\n",
    "there is no such test: fourth", false; "each of four lines is judged"
)]
#[test_case(
    "failed-two", 101, "tests::first | c, seed 1 | a | issue 1\ntests::second | c, seed 2 | b | issue 2",
    "2 listed: passed", true; "two lines"
)]
#[test_case("failed", 101, "tests::first | c, seed 1 | a cause\n", "not of the form", false; "no issue")]
#[test_case("failed", 101, "tests::first | c, seed 1 | a cause | issue\n", "not of the form", false; "an issue without number")]
#[test_case("failed", 101, "tests::first | c, seed 1 |  | issue 7\n", "not of the form", false; "nothing seen")]
#[test_case("failed", 101, "tests::first | c | a cause | issue 7\n", "not of the form", false; "no seed")]
#[test_case("failed", 101, "tests::first | , seed 1 | a cause | issue 7\n", "not of the form", false; "no command")]
#[test_case("failed", 101, "tests::first: a cause, issue 7\n", "not of the form", false; "the former form")]
#[test_case("failed", 101, "tests::first\n", "not of the form", false; "a name alone")]
#[test_case(
    "failed", 101, "tests::first | c, seed 1 | a | issue 1\ntests::first | c, seed 1 | b | issue 2",
    "twice: tests::first", false; "twice"
)]
// A run that did not come to its end is no pass, whatever is listed.
#[test_case("crashed", 101, "third | c, no seed | aborts | issue 7", "of 3 test programs 2 came to a result", false; "a program that died")]
#[test_case("unbuilt", 101, FIRST, "no test was run", false; "a build that failed")]
#[test_case("unbuilt", 0, "", "no test was run", false; "no output")]
#[test_case("passed", 101, "", "cargo test ended with 101, 0 tests failed", false; "a status that says more")]
#[test_case("failed", 0, FIRST, "cargo test ended with 0, 1 tests failed", false; "a status that says less")]
#[test_case("failed", 130, FIRST, "cargo test ended with 130", false; "a run broken off")]
fn the_judge_says(output: &str, status: i32, listed: &str, says: &str, passes: bool) {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let list = tempfile(listed);
    let mut judge = Command::new(package.join("../../.ci/verdict"));
    judge.arg(&list).arg(package.join("tests/known_red").join(output).with_extension("txt"));
    let judged = judge.arg(status.to_string()).output().expect("the judge");
    let said = String::from_utf8(judged.stdout).expect("text");
    assert!(said.contains(says), "{said}");
    assert_eq!(judged.status.success(), passes, "{said}");
    let last = said.lines().last().unwrap_or_default();
    assert!(last.ends_with(if passes { "passed" } else { "FAILED" }), "{said}");
    std::fs::remove_file(&list).expect("it is there");
}

#[test]
fn without_a_list_nothing_is_passed_over() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    for (output, status, passes) in [("passed", "0", true), ("failed", "101", false)] {
        let mut judge = Command::new(package.join("../../.ci/verdict"));
        judge.arg("there-is-none").arg(package.join("tests/known_red").join(output).with_extension("txt"));
        let judged = judge.arg(status).output().expect("the judge");
        assert_eq!(judged.status.success(), passes, "{}", String::from_utf8_lossy(&judged.stdout));
    }
}

/// A file with this text, of a name that no other has.
fn tempfile(text: &str) -> std::path::PathBuf {
    use std::sync::atomic::{AtomicU32, Ordering};
    static LAST: AtomicU32 = AtomicU32::new(0);
    let name = format!("known-red-{}.txt", LAST.fetch_add(1, Ordering::Relaxed));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}
