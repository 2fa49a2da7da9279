//! Monitors a run: samples the processes, and measures for how long the testbed's own runtime stalls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::TestEnvironment;
use crate::event_log::{EventLogWriter, Timestamp};

/// Interval between two samples of each process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the timer whose lateness is measured as the length of a stall.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Samples all processes until the task is aborted. A process that a fault holds locked is skipped.
pub async fn sample_processes(environment: Arc<TestEnvironment>) {
    loop {
        for node in &environment.nodes {
            if let Ok(mut node) = node.try_lock() {
                node.sample();
            }
        }
        for planner in &environment.planners {
            if let Ok(mut planner) = planner.try_lock() {
                planner.check_exit();
            }
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Records the longest stall of the runtime until the task is aborted. The simulated servers stall with the
/// runtime.
pub async fn measure_stalls(event_log: EventLogWriter) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        let late_us = before.elapsed().saturating_sub(STALL_CHECK_INTERVAL).as_micros() as u64;
        if event_log.now() > Timestamp(0) {
            event_log.write(|log| log.max_stall_us = log.max_stall_us.max(late_us));
        }
    }
}
