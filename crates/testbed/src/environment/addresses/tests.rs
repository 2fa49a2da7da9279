//! Tests of the addresses of nodes.

use std::sync::atomic::{AtomicBool, Ordering};

use super::Addresses;

#[test]
fn node_addresses_stay_free_while_other_threads_start_processes() {
    let is_running = AtomicBool::new(true);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while is_running.load(Ordering::Relaxed) {
                    std::process::Command::new("/bin/true").status().expect("a program");
                }
            });
        }
        // Numbers of runs that no world of the tests beside this one reaches.
        let in_use = (128..=255)
            .flat_map(|run| (0..16).map(move |node| Addresses::new(run).node(node)))
            .filter(|address| std::net::TcpListener::bind(address).is_err())
            .count();
        is_running.store(false, Ordering::Relaxed);
        assert_eq!(in_use, 0, "of 2,048");
    });
}
