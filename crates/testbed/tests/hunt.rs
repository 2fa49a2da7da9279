//! Two timelines of overlapping faults, short, played by the real program. Others are for `granitelb-testbed hunt`.

use granitelb_testbed::{hunt, program};
use test_case::test_case;

const SECONDS: f64 = 8.0;

#[test_case(3)]
#[test_case(7)]
fn a_timeline_breaks_no_rule(seed: u64) {
    let node = program::node(None).expect("the program");
    let timeline = hunt::Timeline::draw(seed, SECONDS);
    // A machine that is too busy each time says nothing of the program, here as in a hunt.
    match hunt::play(&timeline, &node) {
        Ok(verdict) => assert_eq!(hunt::broke(&verdict), Vec::<String>::new(), "{}", timeline.text()),
        Err(trouble) => println!("seed {seed}: {trouble}"),
    }
}
