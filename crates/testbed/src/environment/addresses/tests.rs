//! Tests that node addresses can be bound while other threads start processes. A forked child inherits the
//! sockets of its parent until its exec, so a port that was chosen by binding a socket could be found in use.

use std::sync::atomic::{AtomicBool, Ordering};

use super::Addresses;

#[test]
fn node_addresses_stay_free_while_other_threads_start_processes() {
    let is_running = AtomicBool::new(true);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while is_running.load(Ordering::Relaxed) {
                    std::process::Command::new("/bin/true").status().expect("/bin/true can be run");
                }
            });
        }
        // Tests in the same process start fewer than 128 runs, so these run numbers are free.
        let in_use = (128..=255)
            .flat_map(|run| (0..16).map(move |node| Addresses::new(run).node(node)))
            .filter(|address| std::net::TcpListener::bind(address).is_err())
            .count();
        is_running.store(false, Ordering::Relaxed);
        assert_eq!(in_use, 0, "of 2,048");
    });
}
