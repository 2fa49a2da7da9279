use super::Route;
use super::impairment::applies;
use crate::event_log::Member;
use crate::experiment::Fault;

#[test]
fn a_partition_separates_its_members_from_all_others() {
    let text = "kind = \"letters_cut\"\nat_s = 1\nplanners = [0]\nnodes = [0, 1]";
    let cut: Fault = toml::from_str(text).expect("a fault");
    let cuts = |from, to| applies(&cut, Route { from, to });
    let [p0, p1] = [0, 1].map(Member::Planner);
    let [n0, n2] = [0, 2].map(Member::Node);
    assert!(!cuts(n0, p0) && !cuts(p1, n2));
    assert!(cuts(p0, p1) && cuts(n2, p0) && cuts(p1, n0));
}
