//! The nodes: the real program, each a process of its own with its own configuration.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use crate::event_log::{Event, EventLogWriter, NodeId, ResourceUsage};
use crate::experiment::{Experiment, ProductEffect};

/// A node that is not ready by then is not going to be.
const READY: Duration = Duration::from_secs(8);
/// A node told to stop ends by the longest client timeout and this much more.
const STOPS: Duration = Duration::from_millis(1500);

/// A program and how it is started.
pub struct Program {
    path: PathBuf,
    /// Whether it reads a configuration, and says when it is ready.
    is_node: bool,
    args: Vec<String>,
}

impl Program {
    pub fn node(path: &Path) -> Program {
        Program { path: path.into(), is_node: true, args: vec!["serve".into(), "--config".into()] }
    }

    pub fn relay(path: &Path, listen: SocketAddr, to: SocketAddr) -> Program {
        let args = ["relay".into(), "--listen".into(), listen.to_string(), "--to".into(), to.to_string()];
        Program { path: path.into(), is_node: false, args: args.into() }
    }
}

pub struct Node {
    pub id: NodeId,
    pub address: SocketAddr,
    program: Program,
    config: Value,
    file: PathBuf,
    log: PathBuf,
    operator: Option<PathBuf>,
    child: Option<Child>,
    event_log: EventLogWriter,
}

/// The configuration of a node, by the deployment page.
pub fn config(of: &Experiment, node: NodeId, listen: SocketAddr, discovery: SocketAddr, seed: u64) -> Value {
    let world = &of.world;
    let product = |p: &crate::experiment::Product| {
        let effect = match p.effect {
            ProductEffect::Idempotent => "read_like",
            ProductEffect::Deduplicated => "idempotency_key",
            ProductEffect::NonIdempotent => "non_idempotent",
        };
        json!({"Name": p.name, "Effect": effect, "DedupScope": "all",
            "WindowUs": (world.origin.repeats_s * 1e6) as u64, "LatencySloUs": p.slo_ms * 1000,
            "ClientTimeoutUs": p.timeout_ms * 1000, "BilledValue": p.value})
    };
    json!({
        "name": format!("node-{}", node.0), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", seed ^ (node.0 as u64 + 1)),
        "limits": {"cores": 1.0, "memory_mb": world.memory_mb, "sockets": world.sockets},
        "settings": {
            "Discovery": "ask", "Siblings": world.nodes, "Zones": world.zones, "Shapes": ["plain", "origin"],
            "Specifics": {"Mode": "aside", "OriginKind": 1},
            "Products": of.product.iter().map(product).collect::<Vec<_>>(),
            "Tenants": of.load.tenants.iter().map(|t| json!({"Name": t, "QuotaPerS": 1e6})).collect::<Vec<_>>(),
            "Bounds": {"MostShots": world.most_shots, "MayCancel": world.may_cancel,
                "SecondCopies": world.second_copies, "RetryAfter": world.max_retry_after_ms > 0,
                "MaxRetryAfterUs": world.max_retry_after_ms * 1000, "ConnectTimeoutUs": 250_000,
                "KeepaliveUs": (world.cache.keepalive_s * 1e6) as u64},
            "Rules": {"MustAskInUs": 10_000_000, "ColdFrom": world.cache.cold_from,
                "WarmAfterUs": (world.cache.warm_after_s * 1e6) as u64,
                "FallMultiple": world.cache.fall_multiple, "FallUs": (world.cache.fall_s * 1e6) as u64},
        },
    })
}

impl Node {
    pub fn new(
        id: NodeId,
        address: SocketAddr,
        program: Program,
        folder: &Path,
        config: Value,
        operator: Option<String>,
        event_log: EventLogWriter,
    ) -> Node {
        let file = folder.join(format!("node-{}.json", id.0));
        let log = folder.join(format!("node-{}.log", id.0));
        let operator = operator.and_then(|text| {
            let place = folder.join(format!("node-{}.operator.toml", id.0));
            std::fs::write(&place, text).ok().map(|()| place)
        });
        Node { id, address, program, config, file, log, operator, child: None, event_log }
    }

    /// Starts the program and waits until it says that it is ready.
    ///
    /// # Errors
    /// What kept it from starting, with the last line that it logged.
    pub async fn start(&mut self, known: Option<Value>) -> Result<(), String> {
        if let Some(known) = known {
            self.config["known"] = known;
        }
        let config = self.config.to_string();
        std::fs::write(&self.file, config).map_err(|e| format!("{}: {e}", self.file.display()))?;
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| format!("{}: {e}", self.log.display()))?;
        let child = Command::new(&self.program.path)
            .args(&self.program.args)
            .args(self.program.is_node.then_some(&self.file))
            .args(self.operator.iter().flat_map(|file| ["--operator".as_ref(), file.as_os_str()]))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.path.display()))?;
        self.child = Some(child);
        let ready = async {
            while !is_ready(self.address, self.program.is_node).await {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        if tokio::time::timeout(READY, ready).await.is_err() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            let last = log.lines().last().unwrap_or("it logged nothing").to_string();
            return Err(format!("node {} was not ready in {READY:?}: {last}", self.id.0));
        }
        Ok(())
    }

    fn pid(&self) -> Option<Pid> {
        self.child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id as i32))
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it outright.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Tells it to stop, and waits as long as it may take; then kills it.
    pub async fn stop(&mut self, longest_call: Duration) {
        self.signal(Signal::TERM);
        if let Some(child) = &mut self.child {
            let _ = tokio::time::timeout(longest_call + STOPS, child.wait()).await;
        }
        self.kill().await;
    }

    /// Writes its configuration with a new address of discovery, and has it read again.
    pub fn move_discovery(&mut self, to: SocketAddr) -> std::io::Result<()> {
        self.config["discovery"] = to.to_string().into();
        self.read_again()
    }

    /// Lays settings over those of its configuration.
    pub fn set_settings(&mut self, settings: &toml::Table) {
        lay_over(&mut self.config["settings"], json!(settings));
    }

    /// Writes its configuration and has it read again.
    pub fn read_again(&self) -> std::io::Result<()> {
        std::fs::write(&self.file, self.config.to_string())?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Notes what it uses, and whether it has ended by itself.
    pub fn look(&mut self) {
        if let Some(child) = &mut self.child
            && let Ok(Some(status)) = child.try_wait()
        {
            self.child = None;
            let how = status.to_string();
            self.event_log.event(Event::NodeCrashed { node: self.id, how });
        }
        let Some(pid) = self.pid() else { return };
        if let Some(usage) = usage(pid, self.id, &self.event_log) {
            self.event_log.write(|b| b.usage.push(usage));
        }
    }
}

/// Tables key by key, all else whole.
fn lay_over(old: &mut Value, new: Value) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in new {
                lay_over(old.entry(key).or_insert(Value::Null), value);
            }
        }
        (old, new) => *old = new,
    }
}

/// Whether a node says that it is ready, or anything else takes connections.
async fn is_ready(address: SocketAddr, is_node: bool) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        if !is_node {
            return Ok(true);
        }
        stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").await?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await?;
        std::io::Result::Ok(answer == *b"HTTP/1.1 200")
    };
    tokio::time::timeout(Duration::from_millis(500), ask).await.is_ok_and(|r| r.unwrap_or(false))
}

/// What a process uses, as the system tells it.
pub fn usage(pid: Pid, node: NodeId, event_log: &EventLogWriter) -> Option<ResourceUsage> {
    let folder = format!("/proc/{}", pid.as_raw_nonzero());
    let stat = std::fs::read_to_string(format!("{folder}/stat")).ok()?;
    // After the name, which may hold anything: state, then the 14th and 15th field are ticks in user and system.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let statm = std::fs::read_to_string(format!("{folder}/statm")).ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("{folder}/fd")).ok()?.count();
    let memory_mb = pages * rustix::param::page_size() as f64 / (1024.0 * 1024.0);
    let cpu_s = ticks as f64 / rustix::param::clock_ticks_per_second() as f64;
    Some(ResourceUsage { node, at: event_log.now(), memory_mb, descriptors, cpu_s })
}
