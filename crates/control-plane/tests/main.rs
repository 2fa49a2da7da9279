//! Tests of the control plane, many of which start processes. All are in one program, so that they are linked
//! once and run in parallel.

mod clock_skew;
mod counterfactual;
mod disk_failures;
mod planner_process;
mod remediation;
mod shard_growth;
mod stale_planners;
mod storage;
mod storage_format;
mod support;

/// Guards against a test file that is not a module of this program, whose tests would not run.
#[test]
fn every_test_file_is_a_module() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    for entry in std::fs::read_dir(folder).expect("the tests' folder") {
        let path = entry.expect("a file").path();
        let stem = path.file_stem().and_then(|s| s.to_str()).expect("a name");
        if stem != "main" && path.extension().is_some_and(|e| e == "rs") {
            let line = format!("mod {stem};");
            assert!(include_str!("main.rs").lines().any(|l| l == line), "{line} is missing in main.rs");
        }
    }
}
