//! Starts a planner's threads, handles signals, and shuts down in order.
//!
//! Order of the shutdown: the components end first, and the router sends their last messages; then the router
//! ends; then the store's thread ends, since its last writer was dropped.

use std::net::{SocketAddrV4, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use granitelb_coordination::component::Remediation;
use granitelb_coordination::message::ComponentKind;
use tokio::sync::{mpsc, watch};

use super::PlannerError;
use super::component_status::ComponentStatus;
use super::component_task::TaskHandles;
use super::components::ComponentSpawner;
use super::message_router::{self, RouterCommand, RouterInbox, RouterParts};
use super::planner_config::PlannerConfig;
use super::shared_context::SharedContext;
use super::signals::{SignalRequest, Signals};
use super::state_store;
use super::worker_threads::{ShutdownOutcome, WorkerThreads};
use crate::clock::Clock;
use crate::fleet_config::FleetConfig;
use crate::storage::StorageWriter;

/// The maximum number of components' messages that wait to be sent.
const OUTGOING_CAPACITY: usize = 1024;
/// The maximum number of commands that wait for the router.
const COMMAND_CAPACITY: usize = 4;
/// How long a shutdown waits for the components to end, and then for the router.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// The size of the socket's receive buffer, as far as the system allows it. The buffer holds a flood of
/// 50,000 messages a second for a fifth of a second, in which this process may get no CPU time.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Runs a planner until a stop signal.
///
/// # Errors
/// Returns an error if the planner can't start or can't go on.
pub(super) async fn serve(path: &Path, config: PlannerConfig) -> Result<(), PlannerError> {
    // The handlers are installed first, since a signal without a handler ends the process at once.
    let mut signals = Signals::install().map_err(PlannerError::SystemResources)?;
    log::info!(event = "starting"; "the planner is starting: {config}");
    log_fault_injection(&config);
    let mut planner = RunningPlanner::start(&config).await?;
    log::info!(event = "ready"; "the planner is ready");
    let result = planner.run_until_stopped(path, config, &mut signals).await;
    log::info!(event = "stopping"; "the planner is stopping");
    planner.shut_down().await;
    if result.is_ok() {
        log::info!(event = "stopped"; "the planner has stopped");
    }
    result
}

fn log_fault_injection(config: &PlannerConfig) {
    if let Some(faults) = &config.fault_injection {
        log::error!(
            event = "fault_injection";
            "this planner injects faults, since its file has the table [trial]: {faults:?}. Remove that table, unless \
             this is a test."
        );
    }
}

/// The threads of a planner, and the channels to them.
struct RunningPlanner {
    component_threads: WorkerThreads,
    router_thread: WorkerThreads,
    store_thread: Option<JoinHandle<()>>,
    commands: mpsc::Sender<RouterCommand>,
    timed_out_components: mpsc::Receiver<ComponentKind>,
}

impl RunningPlanner {
    async fn start(config: &PlannerConfig) -> Result<RunningPlanner, PlannerError> {
        let fault_injection = config.fault_injection.clone().unwrap_or_default();
        let clock = fault_injection.clock();
        let socket = bind_socket(config.listen)?;
        let store = state_store::open(config)?;
        let first_context = first_context(config, &store.writer, clock).await?;
        let (context, context_updates) = watch::channel(first_context);
        let (outgoing_sender, outgoing) = mpsc::channel(OUTGOING_CAPACITY);
        let (renewal_sender, renewal_requests) = mpsc::channel(1);
        let (commands, command_receiver) = mpsc::channel(COMMAND_CAPACITY);
        let (timed_out_sender, timed_out_components) = mpsc::channel(1);
        let handles = TaskHandles {
            status: ComponentStatus::new(),
            context: context_updates,
            outgoing: outgoing_sender,
            renewal_requests: renewal_sender,
            storage: store.writer.clone(),
            clock,
        };
        let mut component_threads = WorkerThreads::new();
        let spawner = ComponentSpawner { me: config.id, handles, fault_injection };
        let components = spawner.spawn_all(&mut component_threads).map_err(PlannerError::SystemResources)?;
        let parts = RouterParts {
            me: config.id,
            socket,
            clock,
            components,
            timed_out_components: timed_out_sender,
            context,
            storage: store.writer,
        };
        let inbox = RouterInbox { outgoing, commands: command_receiver, renewal_requests };
        Ok(RunningPlanner {
            component_threads,
            router_thread: spawn_router(parts, inbox)?,
            store_thread: store.thread,
            commands,
            timed_out_components,
        })
    }

    /// Handles signals until a stop signal, or until the planner can't go on.
    async fn run_until_stopped(
        &mut self,
        path: &Path,
        config: PlannerConfig,
        signals: &mut Signals,
    ) -> Result<(), PlannerError> {
        let mut running = config;
        loop {
            tokio::select! {
                request = signals.next() => match request {
                    SignalRequest::Stop => return Ok(()),
                    SignalRequest::Reload => {
                        if let Some(fleet_config) = reload(path, &mut running) {
                            let _ = self.commands.send(RouterCommand::Reload(fleet_config)).await;
                        }
                    }
                },
                // The channel closes when the router ends. Before a stop, that happens only if the router
                // can't receive.
                timed_out = self.timed_out_components.recv() => return Err(match timed_out {
                    Some(kind) => PlannerError::ComponentTimedOut(kind),
                    None => PlannerError::RouterStopped,
                }),
            }
        }
    }

    /// Ends all threads in order. A command to a router that has already ended has no effect.
    async fn shut_down(self) {
        let _ = self.commands.send(RouterCommand::StopComponents).await;
        let components = self.component_threads.join(SHUTDOWN_TIMEOUT).await;
        if components == ShutdownOutcome::TimedOut {
            log::warn!(
                event = "shutdown_timeout";
                "the tasks of some components did not end in time; they end with the process"
            );
        }
        let _ = self.commands.send(RouterCommand::Shutdown).await;
        self.router_thread.join(SHUTDOWN_TIMEOUT).await;
        // The store's thread ends after its last commit when all writers are dropped. A component that hangs
        // still has a writer, so that the thread would not end.
        if let Some(thread) = self.store_thread
            && components == ShutdownOutcome::Stopped
        {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

/// The context with which a planner starts.
async fn first_context(
    config: &PlannerConfig,
    storage: &StorageWriter,
    clock: Clock,
) -> Result<SharedContext, PlannerError> {
    Ok(SharedContext {
        incarnation: state_store::first_incarnation(storage, clock).await?,
        alive_members: Arc::from([]),
        fleet_config: config.fleet_config.clone(),
        generation: 0,
        is_stopping: false,
    })
}

fn spawn_router(parts: RouterParts, inbox: RouterInbox) -> Result<WorkerThreads, PlannerError> {
    let mut thread = WorkerThreads::new();
    let spawned = thread.spawn(message_router::TASK_NAME, message_router::run(parts, inbox));
    spawned.map_err(PlannerError::SystemResources)?;
    Ok(thread)
}

fn bind_socket(address: SocketAddrV4) -> Result<UdpSocket, PlannerError> {
    let to_error = |source| PlannerError::Bind { address, source };
    let socket = UdpSocket::bind(address).map_err(to_error)?;
    socket.set_nonblocking(true).map_err(to_error)?;
    // The system may allow only a smaller buffer (`net.core.rmem_max`), which is sufficient.
    let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES);
    Ok(socket)
}

/// Reads the files again, and returns the fleet configuration to apply; `None` if either file is invalid, in
/// which case the running configuration stays in force.
fn reload(path: &Path, running: &mut PlannerConfig) -> Option<Arc<FleetConfig>> {
    let config = match PlannerConfig::load(path) {
        Ok(config) => config,
        Err(error) => {
            log::error!(
                event = "reload_refused";
                "invalid configuration, {error}; the former configuration stays in force. {}", error.remediation()
            );
            return None;
        }
    };
    log::info!(event = "reloaded"; "the configuration was read again: {config}");
    for key in config.keys_requiring_restart(running) {
        log::warn!(
            event = "reload_requires_restart", key = key;
            "configuration, {key}: the new value applies only after a restart of the planner"
        );
    }
    running.fleet_config = config.fleet_config.clone();
    Some(config.fleet_config)
}
