use super::*;

#[test]
fn a_nodes_address_is_free_while_other_threads_start_programs() {
    let starting = std::sync::atomic::AtomicBool::new(true);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while starting.load(Ordering::Relaxed) {
                    std::process::Command::new("/bin/true").status().expect("a program");
                }
            });
        }
        // Runs that no world of the tests beside this one reaches.
        let taken = (128..=255)
            .flat_map(|run| (0..16).map(move |node| node_address(run, node)))
            .filter(|at| std::net::TcpListener::bind(at).is_err())
            .count();
        starting.store(false, Ordering::Relaxed);
        assert_eq!(taken, 0, "of 2,048");
    });
}
