//! The node: an event loop that waits for events, passes each to a part of the proxy, and carries out the
//! balancer's decisions.

mod capacity;
mod config;
mod shutdown;

use std::io;

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_control_plane::agent::Agent;
use granitelb_settings::DecodedSettings;

use self::capacity::{AcceptProgress, reserved_connections};
pub use self::config::{CommandSource, NodeCommand, NodeConfig, ReloadableConfig};
use self::shutdown::Shutdown;
use super::balancer_driver::{BalancerDriver, ProxyContext};
use super::discovery_watch::{DiscoveryWatch, WatchEvent};
use super::downstream::{Downstream, RequestClassTerms};
use super::endpoint_directory::EndpointDirectory;
use super::observation_recorder::ObservationRecorder;
use super::request_ids::RepeatPolicy;
use super::request_table::RequestTable;
use super::turn_context::TurnContext;
use super::upstream::Upstream;
use crate::transport::{ConnectionId, Listener, Owner, ReadinessEvent, Transport};

const LISTENER: Owner = Owner(0);
const DOWNSTREAM: Owner = Owner(1);
const UPSTREAM: Owner = Owner(2);
const DISCOVERY: Owner = Owner(3);
const COMMANDS: Owner = Owner(4);

/// How often the log reports the request metrics.
const METRICS_INTERVAL: Span = Span::from_millis(60_000);

/// A serving node. It owns all parts of the proxy and runs them on the calling thread.
pub struct Node {
    transport: Transport,
    /// `None` once a shutdown has closed the listener.
    listener: Option<Listener>,
    requests: RequestTable,
    downstream: Downstream,
    upstream: Upstream,
    watch: DiscoveryWatch,
    driver: BalancerDriver,
    /// Present once a shutdown has begun.
    shutdown: Option<Shutdown>,
    longest_client_timeout: Span,
    /// The number of connections that are kept free for attempts.
    reserved_connections: usize,
    metrics_due_at: Time,
    /// When the node next tries to accept clients after the connection limit was reached.
    accept_retry_at: Option<Time>,
}

impl Node {
    /// Opens the listener, creates all parts of the proxy, and starts the control-plane agent if there is
    /// one.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a socket: the address is in use, or no descriptor is available.
    pub fn open(config: NodeConfig) -> io::Result<Node> {
        let NodeConfig { listen, seed, known_endpoints, settings, reloadable, control_plane_agent } = config;
        let limits = reloadable.connection_limits();
        let mut transport = Transport::new(limits.connections)?;
        let listener = Listener::open(&mut transport, listen, LISTENER)?;
        let now = transport.now();
        let classes = RequestClassTerms::from_settings(&settings);
        let DecodedSettings { balancer_settings, names, client_timeouts, .. } = settings;
        let is_list_pushed = !balancer_settings.list_on_request;
        let retry_after = balancer_settings.max_retry_after;
        let longest_client_timeout = longest(&client_timeouts);
        let repeat_policy = RepeatPolicy::new(&balancer_settings, longest_client_timeout);
        let requests = RequestTable::new(limits.memory, repeat_policy, reloadable.load_report_header);
        let recorder = start_agent(&transport, control_plane_agent, &balancer_settings)?;
        let directory = EndpointDirectory::new(names.clone(), balancer_settings.only_draining_excludes);
        let balancer = Balancer::new(balancer_settings, seed, now);
        let revision = known_endpoints.as_ref().map(|list| list.revision);
        let discovery = reloadable.discovery;
        let connect_timeout = reloadable.connect_timeout;
        let mut node = Node {
            longest_client_timeout,
            downstream: Downstream::new(DOWNSTREAM, limits, classes, retry_after),
            upstream: Upstream::new(UPSTREAM, connect_timeout, reloadable.keepalive),
            watch: DiscoveryWatch::new(DISCOVERY, discovery, connect_timeout, revision),
            driver: BalancerDriver::new(balancer, directory, recorder),
            requests,
            listener: Some(listener),
            transport,
            shutdown: None,
            reserved_connections: reserved_connections(limits.connections),
            metrics_due_at: now + METRICS_INTERVAL,
            accept_retry_at: None,
        };
        let (driver, mut context) = node.split(now);
        if let Some(known_endpoints) = &known_endpoints {
            driver.restore_endpoints(&mut context, known_endpoints);
        }
        if is_list_pushed {
            driver.open_initial_watch(&mut context);
        }
        Ok(node)
    }

    /// Borrows the driver and, separately, the parts of the proxy that it works on.
    fn split(&mut self, now: Time) -> (&mut BalancerDriver, ProxyContext<'_>) {
        let Node { driver, transport, requests, downstream, upstream, watch, .. } = self;
        let turn = TurnContext { transport, requests, now };
        (driver, ProxyContext { turn, downstream, upstream, watch })
    }

    /// Serves until the command to shut down, and then until every accepted request is answered or the time
    /// of the shutdown is over.
    ///
    /// # Errors
    ///
    /// Fails if epoll fails; the node cannot go on after that.
    pub fn serve(mut self, mut commands: impl CommandSource) -> io::Result<()> {
        self.transport.register_readable(&commands, COMMANDS)?;
        let mut now = self.transport.now();
        loop {
            let (driver, mut context) = self.split(now);
            driver.run_until_idle(&mut context);
            self.upstream.end_turn(self.transport.now());
            if self.is_finished(now) {
                self.driver.close();
                self.log_metrics();
                return Ok(());
            }
            let deadline = self.poll_timeout(now);
            let events = self.transport.wait(deadline)?;
            now = self.transport.now();
            if events.iter().any(|event| event.id.owner() == COMMANDS) {
                for command in commands.poll_commands() {
                    self.on_command(now, command);
                }
            }
            self.run_turn(now, &events);
        }
    }

    fn on_command(&mut self, now: Time, command: NodeCommand) {
        match command {
            NodeCommand::Shutdown => self.begin_shutdown(now),
            NodeCommand::Reload(config) => self.reload(now, config),
        }
    }

    /// Begins a shutdown. A repeated command does not extend the time of the shutdown.
    fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.is_some() {
            return;
        }
        log::info!(event = "stopping"; "node is stopping: finishing the requests that were accepted");
        let shutdown = Shutdown::begin(now);
        self.downstream.begin_shutdown(shutdown.response_deadline(self.longest_client_timeout));
        self.shutdown = Some(shutdown);
    }

    fn reload(&mut self, now: Time, config: ReloadableConfig) {
        self.log_metrics();
        let limits = config.connection_limits();
        self.transport.set_max_connections(limits.connections);
        self.downstream.set_limits(limits);
        self.reserved_connections = reserved_connections(limits.connections);
        self.upstream.set_timeouts(config.connect_timeout, config.keepalive);
        self.requests.set_load_report_header(config.load_report_header);
        self.requests.set_memory(limits.memory);
        if let Some(settings) = config.settings {
            self.apply_settings(now, *settings);
        }
        let event =
            self.watch.set_discovery(&mut self.transport, now, config.discovery, config.connect_timeout);
        self.on_watch_events(now, event.as_slice());
    }

    /// Applies changed settings. State that was learnt under the former settings is kept.
    fn apply_settings(&mut self, now: Time, settings: DecodedSettings) {
        let classes = RequestClassTerms::from_settings(&settings);
        let DecodedSettings { balancer_settings, names, client_timeouts, .. } = settings;
        log::info!(
            event = "settings_applied";
            "changed settings applied; requests in progress keep the settings of their request class"
        );
        // `client_timeouts` includes former request classes, whose requests may still be in progress.
        self.longest_client_timeout = longest(&client_timeouts);
        let repeat_policy = RepeatPolicy::new(&balancer_settings, self.longest_client_timeout);
        self.requests.set_repeat_policy(repeat_policy);
        self.downstream.on_settings_update(classes, balancer_settings.max_retry_after);
        self.driver.on_settings_update(now, balancer_settings, names);
    }

    /// Handles the events and timers of a turn.
    fn run_turn(&mut self, now: Time, events: &[ReadinessEvent]) {
        self.downstream.begin_turn();
        // Disconnects of clients are handled first. Otherwise the request of a disconnected client could be
        // written to a connection that is established in the same turn.
        let (disconnects, others): (Vec<&ReadinessEvent>, Vec<&ReadinessEvent>) =
            events.iter().partition(|event| is_disconnect(event));
        for event in disconnects.into_iter().chain(others) {
            self.on_event(now, *event);
        }
        while let Some(id) = self.transport.timers.pop_due(now) {
            self.on_timer(now, id);
        }
        if self.accept_retry_at.is_some_and(|at| at <= now) {
            self.accept_clients(now);
        }
        if self.metrics_due_at <= now {
            self.metrics_due_at = now + METRICS_INTERVAL;
            self.log_metrics();
        }
        self.close_excess_idle(now);
        self.advance_shutdown(now);
    }

    fn on_event(&mut self, now: Time, event: ReadinessEvent) {
        let mut turn = TurnContext { transport: &mut self.transport, requests: &mut self.requests, now };
        match event.id.owner() {
            DOWNSTREAM => self.downstream.on_event(&mut turn, event),
            UPSTREAM => self.upstream.on_event(&mut turn, event),
            LISTENER => {
                self.accept_clients(now);
            }
            DISCOVERY => {
                let events = self.watch.on_event(&mut self.transport, now, event);
                self.on_watch_events(now, &events);
            }
            _ => {}
        }
    }

    fn on_timer(&mut self, now: Time, id: ConnectionId) {
        let mut turn = TurnContext { transport: &mut self.transport, requests: &mut self.requests, now };
        match id.owner() {
            DOWNSTREAM => self.downstream.on_timer(&mut turn, id),
            UPSTREAM => self.upstream.on_timer(&mut turn, id),
            DISCOVERY => {
                let event = self.watch.on_timer(&mut self.transport, id);
                self.on_watch_events(now, event.as_slice());
            }
            _ => {}
        }
    }

    fn on_watch_events(&mut self, now: Time, events: &[WatchEvent]) {
        let (driver, mut context) = self.split(now);
        for event in events {
            driver.on_watch_event(&mut context, event);
        }
    }

    fn advance_shutdown(&mut self, now: Time) {
        let Some(shutdown) = self.shutdown else { return };
        if self.listener.is_some() && shutdown.is_accept_time_over(now) {
            // All clients that have connected are still accepted, even if there are more than one turn
            // accepts, as after the node was suspended at this moment. Closing the listener resets the
            // connections of clients that were not accepted.
            while self.accept_clients(now) == AcceptProgress::MayHaveMore {}
            self.listener = None;
        }
        if !shutdown.has_closed_idle() && shutdown.is_idle_time_over(now) {
            self.shutdown = Some(shutdown.with_idle_closed());
            let mut turn = TurnContext { transport: &mut self.transport, requests: &mut self.requests, now };
            self.downstream.close_idle(&mut turn);
        }
        if shutdown.is_response_time_over(now, self.longest_client_timeout) {
            self.shutdown = self.shutdown.map(Shutdown::with_pending_failed);
            self.requests.fail_pending();
        }
    }

    /// Whether a shutdown is complete, or its time is over.
    fn is_finished(&self, now: Time) -> bool {
        let Some(shutdown) = &self.shutdown else { return false };
        if shutdown.is_time_over(now, self.longest_client_timeout) {
            let waiting = self.requests.pending_count();
            log::warn!(
                event = "shutdown_timeout", waiting = waiting;
                "shutdown timeout: node stops with {waiting} requests unanswered"
            );
            return true;
        }
        shutdown.has_closed_idle() && self.downstream.is_drained()
    }

    fn log_metrics(&mut self) {
        let metrics = self.requests.take_metrics();
        if !metrics.is_empty() {
            metrics.log();
        }
    }

    /// The time at which the next turn is due if no event comes before.
    fn poll_timeout(&self, now: Time) -> Option<Time> {
        let is_listening = self.listener.is_some();
        let next_phase =
            self.shutdown.map(|shutdown| shutdown.next_phase_at(is_listening, self.longest_client_timeout));
        let timeouts = [
            self.driver.poll_timeout(now),
            self.transport.timers.first().map(|(at, _)| at),
            next_phase,
            self.accept_retry_at,
            Some(self.metrics_due_at),
        ];
        timeouts.into_iter().flatten().min()
    }
}

fn is_disconnect(event: &ReadinessEvent) -> bool {
    event.id.owner() == DOWNSTREAM && (event.read_closed || event.closed)
}

fn longest(client_timeouts: &[Span]) -> Span {
    client_timeouts.iter().copied().max().unwrap_or_default()
}

/// Starts the control-plane agent, if there is one, with the node's clock. Returns its recorder.
fn start_agent(
    transport: &Transport,
    agent: Option<Agent>,
    settings: &Settings,
) -> io::Result<Option<ObservationRecorder>> {
    let Some(agent) = agent else { return Ok(None) };
    let clock = transport.clock();
    let handle = agent.start(move || clock.now())?;
    Ok(Some(ObservationRecorder::new(handle, settings.clone())))
}
