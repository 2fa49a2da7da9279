//! The test environment of an experiment: simulated cache servers, origin, discovery and clients around real
//! nodes and planners, all on loopback.
//!
//! [`execute`] runs an experiment once and returns its event log. The simulated servers, the clients and the
//! fault injection run in the testbed's process and write the event log; each node and planner is a separate
//! process. [`TestEnvironment`] owns every listener, process and simulated server of its run.

mod addresses;
mod attempt_record;
mod byzantine_planner;
mod cache;
mod clients;
mod discovery;
mod endpoint_list;
mod error;
mod faults;
mod growth;
mod link;
mod listener;
mod malformed_clients;
mod monitor;
mod node;
mod node_config;
mod origin;
mod planner;
mod process_usage;
mod relay;
mod response_corruption;
mod run;
mod service_queue;
mod startup;
mod wire;

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Mutex, watch};

use crate::event_log::{EventLog, EventLogWriter};
use crate::experiment::Experiment;
use crate::schedule::Schedule;
use cache::CacheSlot;
use clients::MassDisconnect;
use discovery::Discovery;
use listener::Listener;
use node::NodeProcess;
use origin::Origin;
use planner::Planner;
use relay::Relay;

pub use error::EnvironmentError;

/// Worker threads of the runtime that executes a run's simulated servers.
const WORKER_THREADS: usize = 3;
/// Time that the runtime's remaining tasks get to end after a run.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// The inputs of one run.
pub struct Run<'a> {
    /// The experiment.
    pub experiment: &'a Experiment,
    /// The requests that the clients send.
    pub schedule: &'a Schedule,
    /// Seed of the nodes, of the fleet's secret and of the message relay.
    pub seed: u64,
    /// What the clients connect to.
    pub frontend: Frontend<'a>,
    /// Directory for the configuration files and logs of the processes.
    pub folder: &'a Path,
}

/// What the clients of a run connect to.
#[derive(Clone, Copy, Debug)]
pub enum Frontend<'a> {
    /// Nodes: one process of the program under test, at this path, for each.
    Nodes(&'a Path),
    /// In place of each node, a TCP relay to the first cache, run by the testbed's program at this path.
    Relays(&'a Path),
    /// The first cache, with nothing in between.
    None,
}

/// The servers, processes and shared state of one run.
pub struct TestEnvironment {
    experiment: Arc<Experiment>,
    event_log: EventLogWriter,
    origin: Arc<Origin>,
    /// The origin's listeners, one for each node.
    origin_listeners: Vec<Listener>,
    slots: Vec<Arc<CacheSlot>>,
    discovery: Arc<Discovery>,
    /// IP address at which each node reaches discovery.
    discovery_ips: Vec<IpAddr>,
    nodes: Vec<Mutex<NodeProcess>>,
    /// Address at which clients reach each node.
    node_addresses: Vec<SocketAddr>,
    planners: Vec<Mutex<Planner>>,
    /// The relay of messages between members, if there are planners.
    relay: Option<Arc<Relay>>,
    /// The secret with which members sign messages.
    secret: Vec<u8>,
    mass_disconnect: watch::Sender<MassDisconnect>,
}

/// Runs an experiment once and returns its event log.
///
/// # Errors
/// Returns an error if the environment could not be started, or not in time.
pub fn execute(run: &Run<'_>) -> Result<EventLog, EnvironmentError> {
    // Each run has its own runtime, so that concurrent runs don't share the threads of their simulated
    // servers.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(EnvironmentError::Runtime)?;
    let event_log = runtime.block_on(run::execute(run));
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    event_log
}

/// Path of the directory for a run's files, below the system's directory for temporary files.
pub fn scratch_directory(name: &str, seed: u64) -> PathBuf {
    let process = format!("granitelb-testbed-{}", std::process::id());
    std::env::temp_dir().join(process).join(format!("{name}-{seed}"))
}

impl TestEnvironment {
    /// The longest client timeout of any request class.
    fn max_client_timeout(&self) -> Duration {
        let timeouts_ms =
            self.experiment.request_classes.iter().map(|request_class| request_class.timeout_ms);
        Duration::from_millis(timeouts_ms.max().unwrap_or(0))
    }
}
