//! Starts the project's programs by the commands of the deploy file, and ends them.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

use crate::record::give_up;

unsafe extern "C" {
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// A temporary folder of the run.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("granitelb-review-{name}-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&folder) {
        give_up(&format!("{}: {error}", folder.display()));
    }
    folder
}

/// A loopback address that runs at the same time don't share.
pub fn own_ip() -> IpAddr {
    let number = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 10 + (number >> 16 & 31) as u8, (number >> 8) as u8, number as u8 | 2))
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind((own_ip(), 0)).and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The value of a key of the deploy file.
fn deploy(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|error| give_up(&format!("deploy/balancer.toml: {error}")));
    let line = text.lines().find(|line| line.starts_with(&format!("{key} =")));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.map(str::to_string).unwrap_or_else(|| give_up(&format!("deploy/balancer.toml has no {key}")))
}

/// Starts a node by the deploy file's `run`, and returns its process number. What it logs goes to `log`.
/// `more` is put behind the command, as `--operator FILE`.
pub fn start_node(config: &PathBuf, log: &PathBuf, more: &str) -> i32 {
    spawn(&format!("{} {more}", deploy("run")), Some(config), log)
}

/// Starts a planner.
pub fn start_planner(config: &PathBuf, log: &PathBuf) -> i32 {
    let command = deploy("run").replace("serve", "plan");
    spawn(&format!("{command} --config {}", config.display()), None, log)
}

fn spawn(command: &str, config: Option<&PathBuf>, log: &PathBuf) -> i32 {
    let output = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let mut shell = Command::new("/bin/sh");
    shell.arg("-c").arg(command).stdin(Stdio::null()).stdout(Stdio::null()).stderr(output);
    if let Some(config) = config {
        shell.env("ROUTER_CONFIG", config);
    }
    // The process ends with this one, also if this one is killed.
    unsafe {
        shell.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    let child = shell.spawn().unwrap_or_else(|error| give_up(&format!("{command}: {error}")));
    let pid = child.id() as i32;
    CHILDREN.lock().unwrap().push(child);
    pid
}

/// Sends a signal to a process that this run started.
pub fn signal(pid: i32, signal: i32) {
    if CHILDREN.lock().unwrap().iter().any(|child| child.id() as i32 == pid) {
        unsafe { kill(pid, signal) };
    }
}

/// Whether a process has ended, and how.
pub fn ended(pid: i32) -> Option<String> {
    let mut children = CHILDREN.lock().unwrap();
    let child = children.iter_mut().find(|child| child.id() as i32 == pid)?;
    child.try_wait().ok().flatten().map(|status| status.to_string())
}

/// Kills a process and waits for its end.
pub fn end(pid: i32) {
    let mut children = CHILDREN.lock().unwrap();
    if let Some(position) = children.iter().position(|child| child.id() as i32 == pid) {
        let mut child = children.remove(position);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends all processes that this run started.
pub fn end_all() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}
