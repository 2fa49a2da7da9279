//! Tests that run two short timelines of overlapping faults with the real program and expect no violation.
//! `granitelb-testbed hunt` runs more timelines.

use granitelb_testbed::{hunt, program};
use test_case::test_case;

const SECONDS: f64 = 8.0;

#[test_case(3)]
#[test_case(7)]
fn timeline_breaks_no_rule(seed: u64) {
    let node = program::find_node(None).expect("the program is built");
    let timeline = hunt::Timeline::draw(seed, SECONDS);
    // If the machine was too busy in every run of the timeline, the timeline is not judged, as in
    // `granitelb-testbed hunt`.
    match hunt::run_timeline(&timeline, &node) {
        Ok(audit_result) => {
            assert_eq!(hunt::violations(&audit_result), Vec::<String>::new(), "{}", timeline.text());
        }
        Err(error) => println!("seed {seed}: {error}"),
    }
}
