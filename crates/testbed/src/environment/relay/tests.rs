//! Tests of which routes a message fault applies to.

use super::Route;
use super::impairment::applies;
use crate::event_log::Member;
use crate::experiment::Fault;

#[test]
fn a_partition_separates_its_members_from_all_others() {
    let text = "kind = \"letters_cut\"\nat_s = 1\nplanners = [0]\nnodes = [0, 1]";
    let partition: Fault = toml::from_str(text).expect("a valid fault");
    let blocks = |from, to| applies(&partition, Route { from, to });
    let [planner_0, planner_1] = [0, 1].map(Member::Planner);
    let [node_0, node_2] = [0, 2].map(Member::Node);
    assert!(!blocks(node_0, planner_0) && !blocks(planner_1, node_2));
    assert!(blocks(planner_0, planner_1) && blocks(node_2, planner_0) && blocks(planner_1, node_0));
}
