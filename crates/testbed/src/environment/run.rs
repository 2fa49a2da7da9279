//! One run of an experiment: starts the test environment, sends the requests and injects the faults, and
//! stops all processes in order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;

use super::clients::Clients;
use super::error::EnvironmentError;
use super::{Run, TestEnvironment, faults, growth, monitor};
use crate::event_log::{Event, EventLog, EventLogWriter, Timestamp};
use crate::experiment::Experiment;

/// Time between the nodes' readiness and the first request, in which each node opens its watch.
const SETTLING_TIME: Duration = Duration::from_millis(400);
/// Time that the start of an environment without nodes may take.
const BASE_START_TIME: Duration = Duration::from_millis(300);
/// Additional time that the start may take for each node.
const START_TIME_PER_NODE: Duration = Duration::from_millis(60);
/// The most processes that are started or stopped at a time.
const MAX_CONCURRENT: usize = 8;

/// Executes a run and returns its event log.
///
/// # Errors
/// Returns an error if the environment could not be started, or not in time.
pub async fn execute(run: &Run<'_>) -> Result<EventLog, EnvironmentError> {
    std::fs::create_dir_all(run.folder)
        .map_err(|source| EnvironmentError::CreateDirectory { path: run.folder.into(), source })?;
    let experiment = Arc::new(run.experiment.clone());
    let event_log = EventLogWriter::new(Instant::now() + start_duration(&experiment));
    let environment =
        TestEnvironment::build(&experiment, run, event_log.clone()).await.map_err(EnvironmentError::Build)?;
    let environment = Arc::new(environment);
    start_processes(&environment).await?;
    if event_log.now() > Timestamp(0) {
        return Err(EnvironmentError::TooSlow);
    }
    run_timeline(&environment, run).await;
    stop_processes(&environment).await;
    event_log.write(|log| log.secret.clone_from(&environment.secret));
    Ok(event_log.close())
}

/// Time that the start of the environment may take. The time of the first request is fixed before anything
/// starts, so that servers can have the ages that the experiment requires.
fn start_duration(experiment: &Experiment) -> Duration {
    let nodes = experiment.environment.nodes as u32;
    BASE_START_TIME + START_TIME_PER_NODE * nodes + SETTLING_TIME + growth::lead_time(experiment)
}

/// Starts the planners and then the initial nodes of the run. Nodes that join later are recorded as stopping.
async fn start_processes(environment: &TestEnvironment) -> Result<(), EnvironmentError> {
    growth::seed_history(environment).await.map_err(|error| EnvironmentError::PlannerStart(error.into()))?;
    for planner in &environment.planners {
        planner.lock().await.start().map_err(|error| EnvironmentError::PlannerStart(error.into()))?;
    }
    let initial = environment.experiment.initial_nodes();
    // Several nodes start at a time: if forty nodes started one after the other, that would take longer than
    // a run.
    let starts =
        environment.nodes.iter().take(initial).map(|node| async move { node.lock().await.start(None).await });
    for result in run_concurrently(starts).await {
        result?;
    }
    for node in environment.nodes.iter().skip(initial) {
        environment.event_log.event(Event::NodeStopping { node: node.lock().await.id });
    }
    Ok(())
}

/// Sends all requests and injects all faults, and returns when both have ended.
async fn run_timeline(environment: &Arc<TestEnvironment>, run: &Run<'_>) {
    let sampling = tokio::spawn(monitor::sample_processes(environment.clone()));
    let stalls = tokio::spawn(monitor::measure_stalls(environment.event_log.clone()));
    let faults = tokio::spawn(faults::inject_all(environment.clone()));
    let clients = Clients::new(
        environment.experiment.clone(),
        Arc::new(run.schedule.clone()),
        environment.event_log.clone(),
        &environment.node_addresses,
        environment.mass_disconnect.subscribe(),
    );
    clients.run().await;
    let _ = faults.await;
    sampling.abort();
    stalls.abort();
}

/// Samples each process once more and stops it gracefully.
async fn stop_processes(environment: &TestEnvironment) {
    let max_client_timeout = environment.max_client_timeout();
    let stops = environment.nodes.iter().map(|node| async move {
        let mut node = node.lock().await;
        node.sample();
        node.stop(max_client_timeout).await;
    });
    run_concurrently(stops).await;
    for planner in &environment.planners {
        let mut planner = planner.lock().await;
        planner.check_exit();
        planner.stop().await;
    }
}

/// Runs futures, at most [`MAX_CONCURRENT`] at a time, and returns their results in the order of the futures.
async fn run_concurrently<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    futures_util::stream::iter(futures).buffered(MAX_CONCURRENT).collect().await
}
