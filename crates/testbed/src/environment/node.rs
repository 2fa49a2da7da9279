//! A node of the test environment: a process of the real program, or of a program that takes its place, with
//! its own configuration.

use std::fmt;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use super::{node_config, process_usage};
use crate::event_log::{Event, EventLogWriter, NodeId};

/// Time within which a started node has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay between two readiness checks.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which a readiness check has to succeed.
const READY_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a graceful shutdown may take beyond the longest client timeout.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(1500);

/// What a node's process runs.
pub enum Program {
    /// A program that takes a node's configuration and reports when it is ready.
    Node {
        /// Path of the executable.
        path: PathBuf,
    },
    /// The testbed's own TCP relay to one address.
    TcpRelay {
        /// Path of the testbed's executable.
        path: PathBuf,
        /// Address to which the relay connects.
        upstream: SocketAddr,
    },
}

impl Program {
    fn path(&self) -> &Path {
        match self {
            Program::Node { path } | Program::TcpRelay { path, .. } => path,
        }
    }

    /// The command that starts the program to listen at an address.
    fn command(&self, listen: SocketAddr, config_file: &Path) -> Command {
        let mut command = Command::new(self.path());
        match self {
            Program::Node { .. } => command.args(["serve", "--config"]).arg(config_file),
            Program::TcpRelay { upstream, .. } => {
                command.args(["relay", "--listen", &listen.to_string(), "--to", &upstream.to_string()])
            }
        };
        command
    }

    /// Whether the program that listens at an address is ready for requests.
    async fn is_ready(&self, address: SocketAddr) -> bool {
        let check = async {
            match self {
                Program::Node { .. } => reports_ready(address).await,
                Program::TcpRelay { .. } => TcpStream::connect(address).await.map(|_| true),
            }
        };
        match tokio::time::timeout(READY_CHECK_TIMEOUT, check).await {
            Ok(result) => result.unwrap_or(false),
            Err(_) => false,
        }
    }
}

/// Whether a node responds to `GET /health/ready` with status 200.
async fn reports_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").await?;
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).await?;
    Ok(status_line == *b"HTTP/1.1 200")
}

/// Why a node's process did not start.
#[derive(Debug)]
pub enum NodeStartError {
    /// A file of the node can't be written, or the program can't be executed.
    File {
        /// Path of the file or program.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The process was started and did not become ready within [`READY_TIMEOUT`].
    NotReady {
        /// Number of the node.
        node: NodeId,
        /// The last line that the process logged, if any.
        last_log_line: Option<String>,
    },
}

impl fmt::Display for NodeStartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeStartError::File { path, source } => {
                write!(f, "a node can't be started: {}: {source}", path.display())
            }
            NodeStartError::NotReady { node, last_log_line } => {
                let number = node.0;
                let last = last_log_line.as_deref().unwrap_or("none");
                write!(
                    f,
                    "node {number} was not ready within {READY_TIMEOUT:?}; last line of its log: {last}"
                )
            }
        }
    }
}

impl std::error::Error for NodeStartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            NodeStartError::File { source, .. } => Some(source),
            NodeStartError::NotReady { .. } => None,
        }
    }
}

/// A node's process with its files.
pub struct NodeProcess {
    /// Number of the node.
    pub id: NodeId,
    address: SocketAddr,
    program: Program,
    config: Value,
    config_file: PathBuf,
    log_file: PathBuf,
    /// The fleet's configuration file, if the node has a control plane.
    fleet_config_file: Option<PathBuf>,
    child: Option<Child>,
    event_log: EventLogWriter,
}

impl NodeProcess {
    /// Prepares a node without starting its process. The node's files go into `directory`; `fleet_config` is
    /// the text of the fleet's configuration, if the node has a control plane.
    pub fn new(
        id: NodeId,
        address: SocketAddr,
        program: Program,
        directory: &Path,
        config: Value,
        fleet_config: Option<String>,
        event_log: EventLogWriter,
    ) -> NodeProcess {
        let config_file = directory.join(format!("node-{}.json", id.0));
        let log_file = directory.join(format!("node-{}.log", id.0));
        let mut fleet_config_file = None;
        if let Some(text) = fleet_config {
            let path = directory.join(format!("node-{}.operator.toml", id.0));
            if std::fs::write(&path, text).is_ok() {
                fleet_config_file = Some(path);
            }
        }
        NodeProcess {
            id,
            address,
            program,
            config,
            config_file,
            log_file,
            fleet_config_file,
            child: None,
            event_log,
        }
    }

    /// Starts the program and waits until the node is ready. `known_endpoints` is the endpoint list that the
    /// node had before it was stopped, if any.
    ///
    /// # Errors
    /// Returns an error if a file can't be written, the program can't be executed, or the node does not
    /// become ready in time.
    pub async fn start(&mut self, known_endpoints: Option<Value>) -> Result<(), NodeStartError> {
        if let Some(known) = known_endpoints {
            self.config["known"] = known;
        }
        self.write_config().map_err(|source| file_error(&self.config_file, source))?;
        self.child = Some(self.spawn()?);
        let ready = async {
            while !self.program.is_ready(self.address).await {
                tokio::time::sleep(READY_CHECK_INTERVAL).await;
            }
        };
        if tokio::time::timeout(READY_TIMEOUT, ready).await.is_err() {
            let log = std::fs::read_to_string(&self.log_file).unwrap_or_default();
            let last_log_line = log.lines().last().map(str::to_string);
            return Err(NodeStartError::NotReady { node: self.id, last_log_line });
        }
        Ok(())
    }

    fn spawn(&self) -> Result<Child, NodeStartError> {
        let log = File::options().create(true).append(true).open(&self.log_file);
        let log = log.map_err(|source| file_error(&self.log_file, source))?;
        let mut command = self.program.command(self.address, &self.config_file);
        if let Some(file) = &self.fleet_config_file {
            command.arg("--operator").arg(file);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| file_error(self.program.path(), source))
    }

    fn write_config(&self) -> std::io::Result<()> {
        std::fs::write(&self.config_file, self.config.to_string())
    }

    fn pid(&self) -> Option<Pid> {
        let id = self.child.as_ref()?.id()?;
        Pid::from_raw(id as i32)
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Asks the process to shut down gracefully, waits up to `max_client_timeout` plus [`SHUTDOWN_GRACE`],
    /// and kills the process if it still runs.
    pub async fn stop(&mut self, max_client_timeout: Duration) {
        self.signal(Signal::TERM);
        if let Some(child) = &mut self.child {
            let _ = tokio::time::timeout(max_client_timeout + SHUTDOWN_GRACE, child.wait()).await;
        }
        self.kill().await;
    }

    /// Sets discovery's address in the node's configuration and makes the process reload it.
    ///
    /// # Errors
    /// Returns an error if the configuration file can't be written.
    pub fn set_discovery(&mut self, address: SocketAddr) -> std::io::Result<()> {
        self.config["discovery"] = address.to_string().into();
        self.reload()
    }

    /// Merges settings into the node's configuration without a reload.
    pub fn merge_settings(&mut self, settings: &toml::Table) {
        node_config::merge(&mut self.config["settings"], json!(settings));
    }

    /// Writes the node's configuration file and makes the process reload it.
    ///
    /// # Errors
    /// Returns an error if the configuration file can't be written.
    pub fn reload(&self) -> std::io::Result<()> {
        self.write_config()?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Records the process's resource usage, or a crash if the process has ended by itself.
    pub fn sample(&mut self) {
        if let Some(child) = &mut self.child
            && let Ok(Some(status)) = child.try_wait()
        {
            self.child = None;
            let how = status.to_string();
            self.event_log.event(Event::NodeCrashed { node: self.id, how });
        }
        let Some(pid) = self.pid() else { return };
        if let Some(usage) = process_usage::sample(pid, self.id, &self.event_log) {
            self.event_log.write(|log| log.usage.push(usage));
        }
    }
}

fn file_error(path: &Path, source: std::io::Error) -> NodeStartError {
    NodeStartError::File { path: path.into(), source }
}
