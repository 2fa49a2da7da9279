//! Two short timelines of overlapping faults, run with the real program. `granitelb-testbed hunt` runs more.

use granitelb_testbed::{hunt, program};
use test_case::test_case;

const SECONDS: f64 = 8.0;

#[test_case(3)]
#[test_case(7)]
fn timeline_breaks_no_rule(seed: u64) {
    let node = program::find_node(None).expect("the program is built");
    let timeline = hunt::Timeline::draw(seed, SECONDS);
    // If the machine was too busy in each run, nothing is judged, as in a search.
    match hunt::run_timeline(&timeline, &node) {
        Ok(audit_result) => {
            assert_eq!(hunt::violations(&audit_result), Vec::<String>::new(), "{}", timeline.text());
        }
        Err(error) => println!("seed {seed}: {error}"),
    }
}
