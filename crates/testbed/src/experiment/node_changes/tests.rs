use std::path::Path;

use crate::experiment::{Experiment, NodeAction, NodeChange};

/// Guards against client requests to nodes that have not started yet or are about to stop: growth from 4 to
/// 40 nodes over 9 s, then shrinkage to 6 nodes over 10 s.
#[test]
fn clients_use_only_active_nodes() {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 40\n[world]\nnodes = 40\n[fleet]\nbegin = 4\n\
        [[fault]]\nkind = \"resize\"\nat_s = 5\nfor_s = 9\ncount = 40\n\
        [[fault]]\nkind = \"resize\"\nat_s = 25\nfor_s = 10\ncount = 6\n";
    let experiment = Experiment::read(Path::new("x.toml"), text).expect("a valid experiment");
    let active = [1.0, 6.9, 7.1, 17.0, 24.0, 30.0, 39.0].map(|at_s| experiment.active_nodes_at(at_s));
    assert_eq!(active, [4, 4, 5, 40, 40, 21, 6]);
    assert_eq!(experiment.node_changes(5.0).len(), 36);
    let first_stop = NodeChange { node: 6, at_s: 25.0 + 10.0 * 33.0 / 34.0, action: NodeAction::Stop };
    assert_eq!(experiment.node_changes(25.0)[0], first_stop);
}
