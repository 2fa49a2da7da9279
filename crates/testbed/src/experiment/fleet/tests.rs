use std::path::Path;

use super::*;

#[test]
fn clients_ask_the_nodes_that_are_up() {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 40\n[world]\nnodes = 40\n[fleet]\nbegin = 4\n\
        [[fault]]\nkind = \"resize\"\nat_s = 5\nfor_s = 9\ncount = 40\n\
        [[fault]]\nkind = \"resize\"\nat_s = 25\nfor_s = 10\ncount = 6\n";
    let experiment = Experiment::read(Path::new("x.toml"), text).expect("a sound experiment");
    let asked = [1.0, 6.9, 7.1, 17.0, 24.0, 30.0, 39.0].map(|at| experiment.asked_at(at));
    assert_eq!(asked, [4, 4, 5, 40, 40, 21, 6]);
    assert_eq!(experiment.resized(5.0).len(), 36);
    assert_eq!(experiment.resized(25.0)[0], (6, 25.0 + 10.0 * 33.0 / 34.0, false));
}
