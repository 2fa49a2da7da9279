//! The resource usage of a process, read from `/proc`.

use rustix::process::Pid;

use crate::event_log::{EventLogWriter, NodeId, ResourceUsage};

/// Index of the user time among the fields of `/proc/PID/stat` that follow the process's name.
const USER_TICKS_FIELD: usize = 11;
/// Index of the system time among the fields of `/proc/PID/stat` that follow the process's name.
const SYSTEM_TICKS_FIELD: usize = 12;
/// Index of the resident pages among the fields of `/proc/PID/statm`.
const RESIDENT_PAGES_FIELD: usize = 1;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Samples the memory, file descriptors and CPU time of a node's process. Returns none if the process has
/// ended.
pub fn sample(pid: Pid, node: NodeId, event_log: &EventLogWriter) -> Option<ResourceUsage> {
    let directory = format!("/proc/{}", pid.as_raw_nonzero());
    let stat = std::fs::read_to_string(format!("{directory}/stat")).ok()?;
    // The process's name is in parentheses and may itself contain spaces and parentheses.
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user_ticks: u64 = fields.get(USER_TICKS_FIELD)?.parse().ok()?;
    let system_ticks: u64 = fields.get(SYSTEM_TICKS_FIELD)?.parse().ok()?;
    let statm = std::fs::read_to_string(format!("{directory}/statm")).ok()?;
    let pages: f64 = statm.split_whitespace().nth(RESIDENT_PAGES_FIELD)?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("{directory}/fd")).ok()?.count();
    let memory_mb = pages * rustix::param::page_size() as f64 / BYTES_PER_MB;
    let cpu_s = (user_ticks + system_ticks) as f64 / rustix::param::clock_ticks_per_second() as f64;
    Some(ResourceUsage { node, at: event_log.now(), memory_mb, descriptors, cpu_s })
}
