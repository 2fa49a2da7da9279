//! The program under review: nodes, started by the command of the deploy file.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::http::{exchange, Reader, Seen};

/// Ends the run with the exit code for a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The root of the repository, which `run.sh` names.
pub fn root() -> PathBuf {
    std::env::var("REPOSITORY").map_or_else(|_| cannot_run("REPOSITORY is not set"), PathBuf::from)
}

/// A value of the deploy file: `key = "value"`.
fn deploy_value(key: &str) -> String {
    let path = root().join("deploy/balancer.toml");
    let text = fs::read_to_string(&path).unwrap_or_else(|error| cannot_run(&format!("the deploy file: {error}")));
    let line = text.lines().find(|line| line.split('=').next().is_some_and(|name| name.trim() == key));
    let value = line.and_then(|line| line.split_once('=')).map(|(_, value)| value.trim().trim_matches('"').to_string());
    value.unwrap_or_else(|| cannot_run(&format!("the deploy file has no {key}")))
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A folder for temporary files, which `run.sh` names and removes.
pub fn temporary_folder() -> PathBuf {
    std::env::var("SCRATCH").map_or_else(|_| cannot_run("SCRATCH is not set"), PathBuf::from)
}

pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    pub config_path: PathBuf,
    child: Child,
}

impl Node {
    /// Starts a node with this configuration and waits until it is ready.
    pub fn start(name: &str, listen: SocketAddr, config: &str) -> Node {
        let folder = temporary_folder();
        let config_path = folder.join(format!("{name}.json"));
        fs::write(&config_path, config).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let log = File::create(folder.join(format!("{name}.log"))).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let node = Node { name: name.to_string(), listen, child: spawn(&config_path, &log), config_path };
        node.wait_until_ready();
        node
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                let request = b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";
                let seen = exchange(&mut Reader::new(stream), request, Duration::from_secs(1));
                if matches!(seen, Seen::Answer(answer) if answer.status() == 200) {
                    return;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        cannot_run("a node did not become ready");
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named as the command `kill` names it, to the program.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status();
    }

    /// The exit status, if the program has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program by the deploy file's command. The command begins with `exec`, so that the child is the
/// program itself.
fn spawn(config_path: &Path, log: &File) -> Child {
    let command = deploy_value("run");
    let child = Command::new("/bin/sh")
        .arg("-c")
        .arg(command)
        .current_dir(root())
        .env("ROUTER_CONFIG", config_path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log.try_clone().unwrap())
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("the program cannot be started: {error}")));
    // `run-case` ends these processes if this one does not.
    let list = OpenOptions::new().create(true).append(true).open(temporary_folder().join("processes"));
    let _ = list.and_then(|mut list| writeln!(list, "{}", child.id()));
    child
}
