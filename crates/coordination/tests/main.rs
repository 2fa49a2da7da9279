//! The integration tests of the crate. They are one program, so that they are linked once and run in
//! parallel.

mod counterfactual;
mod counterfactual_randomized_assignment;
mod endpoint_health;
mod envelope;
mod growth_components;
mod growth_consensus;
mod growth_forecast;
mod growth_simulation;
mod growth_split_schedule;
mod leases;
mod leases_long_term;
mod leases_model;
mod membership;
mod probe_scheduling;
mod wire_format;

/// Guards against a test file that is not run because main.rs does not declare it as a module.
#[test]
fn every_file_of_tests_is_a_module() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    for entry in std::fs::read_dir(folder).expect("the tests") {
        let path = entry.expect("a file").path();
        let stem = path.file_stem().and_then(|s| s.to_str()).expect("a name");
        if stem != "main" && path.extension().is_some_and(|e| e == "rs") {
            let line = format!("mod {stem};");
            assert!(include_str!("main.rs").lines().any(|l| l == line), "{line} is missing in main.rs");
        }
    }
}
