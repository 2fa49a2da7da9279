//! The world of an experiment: simulated cache servers, origin, discovery and clients around real nodes and planners, all
//! on loopback.
//!
//! [`execute`] runs an experiment once and returns its event log. The simulated servers, the clients and the faults live in
//! one process and write that log; nodes and planners are processes of their own. The world owns every listener, process
//! and simulated server of its run.

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

/// Threads of the runtime on which a run's simulated servers live.
const WORKER_THREADS: usize = 3;
/// Time that tasks get to end after a run.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// What a run is made from.
pub struct Run<'a> {
    /// The experiment.
    pub experiment: &'a Experiment,
    /// The requests of the clients.
    pub schedule: &'a Schedule,
    /// Seed of the nodes, of the fleet's secret and of the message relay.
    pub seed: u64,
    /// What stands between clients and caches.
    pub frontend: Frontend<'a>,
    /// Directory for configurations and logs.
    pub folder: &'a Path,
}

/// What stands between clients and caches.
#[derive(Clone, Copy, Debug)]
pub enum Frontend<'a> {
    /// The program under test at this path: one process for each node.
    Nodes(&'a Path),
    /// In place of each node, a relay of bytes to the first cache, run by the testbed's program at this path.
    Relays(&'a Path),
    /// Nothing: clients connect to the first cache.
    None,
}

/// Everything that takes part in a run.
pub struct TestEnvironment {
    experiment: Arc<Experiment>,
    event_log: EventLogWriter,
    origin: Arc<Origin>,
    /// The origin's listeners, one for each node.
    origin_listeners: Vec<Listener>,
    slots: Vec<Arc<CacheSlot>>,
    discovery: Arc<Discovery>,
    /// IP address of discovery for each node.
    discovery_ips: Vec<IpAddr>,
    nodes: Vec<Mutex<NodeProcess>>,
    /// Where clients reach each node.
    node_addresses: Vec<SocketAddr>,
    planners: Vec<Mutex<Planner>>,
    /// The relay of messages between members, if there are planners.
    relay: Option<Arc<Relay>>,
    /// The secret with which members sign messages.
    secret: Vec<u8>,
    mass_disconnect: watch::Sender<MassDisconnect>,
}

/// Plays an experiment once and returns its event log.
///
/// # Errors
/// If the world could not be started, or not in time.
pub fn execute(run: &Run<'_>) -> Result<EventLog, EnvironmentError> {
    // A runtime of its own: the simulated servers have their threads however many runs go side by side.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(EnvironmentError::Runtime)?;
    let event_log = runtime.block_on(run::execute(run));
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    event_log
}

/// Directory for the files of a run, below the system's directory for temporary files.
pub fn scratch_directory(name: &str, seed: u64) -> PathBuf {
    let process = format!("granitelb-testbed-{}", std::process::id());
    std::env::temp_dir().join(process).join(format!("{name}-{seed}"))
}

impl TestEnvironment {
    /// The longest timeout that a client has for a request.
    fn max_client_timeout(&self) -> Duration {
        let timeouts_ms =
            self.experiment.request_classes.iter().map(|request_class| request_class.timeout_ms);
        Duration::from_millis(timeouts_ms.max().unwrap_or(0))
    }
}
