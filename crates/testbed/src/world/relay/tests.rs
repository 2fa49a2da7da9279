use super::*;

#[test]
fn a_cut_parts_its_members_from_all_others() {
    let text = "kind = \"letters_cut\"\nat_s = 1\nplanners = [0]\nnodes = [0, 1]";
    let cut: Fault = toml::from_str(text).expect("a fault");
    let [p0, p1] = [0, 1].map(Member::Planner);
    let [n0, n2] = [0, 2].map(Member::Node);
    assert!(!meets(&cut, (n0, p0)) && !meets(&cut, (p1, n2)));
    assert!(meets(&cut, (p0, p1)) && meets(&cut, (n2, p0)) && meets(&cut, (p1, n0)));
}
