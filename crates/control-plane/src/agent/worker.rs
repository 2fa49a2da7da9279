//! The agent's thread: rounds of receiving messages, taking observations, publishing updates and sending messages.

use std::io;
use std::net::Ipv4Addr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;
use std::time::Duration;

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Event;
use granitelb_coordination::message::{self, MAX_DATAGRAM_BYTES};
use granitelb_coordination::observation::Observation;
use granitelb_coordination::{ForwarderId, Incarnation, Member, Sender};

use super::components::Components;
use super::handle::{AgentChannel, Disconnected};
use super::metrics::{AgentMetrics, RejectedMessage};
use super::observations::{ObservationAssembler, TimedObservation};
use super::reload::ConfigReloadHandle;
use super::sockets::{Backlog, ReadScope, Sockets};
use crate::fleet_config::FleetConfig;

/// How long a round waits for a planner's message.
const ROUND: Duration = Duration::from_millis(25);
/// The most messages that are sent in a round.
const MAX_MESSAGES_PER_ROUND: usize = 256;
/// The most observations that are taken in a round, before messages are received again.
const MAX_OBSERVATIONS_PER_ROUND: usize = 8192;
/// How often an update is published if no message arrives: what planners no longer say must end.
const PUBLISH_INTERVAL: Span = Span::from_millis(200);
/// How often the metrics are logged.
const METRICS_INTERVAL: Span = Span::from_millis(60_000);
/// The pause before a failed agent is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1000);
/// The space for a received datagram. One byte more than a message may have, so that a longer one is recognized.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// What outlives a restart of the agent.
pub(super) struct Worker {
    forwarder: ForwarderId,
    address: Ipv4Addr,
    config: FleetConfig,
    reload: ConfigReloadHandle,
    clock: Box<dyn Fn() -> Time + Send>,
    channel: AgentChannel,
    assembler: ObservationAssembler,
    incarnation: Incarnation,
    /// The number of the last message, over all incarnations.
    message_number: u64,
    /// The latest endpoint list, which new components have to know.
    endpoints: Option<Observation>,
    metrics: AgentMetrics,
}

/// Why [`Worker::run`] returned.
enum Stopped {
    /// The event loop has closed its handle.
    Disconnected,
    /// The sockets failed.
    SocketError(io::Error),
}

/// Whether a round of receiving has changed the state of a component.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    Nothing,
    Messages,
}

/// The times at which periodic work is due.
struct Schedule {
    publish_at: Time,
    log_metrics_at: Time,
    /// When the common socket, to which any host can send, is read next.
    read_common_at: Time,
}

impl Worker {
    /// A worker that has not run yet.
    pub fn new(
        forwarder: ForwarderId,
        address: Ipv4Addr,
        config: FleetConfig,
        reload: ConfigReloadHandle,
        clock: Box<dyn Fn() -> Time + Send>,
        channel: AgentChannel,
    ) -> Worker {
        Worker {
            forwarder,
            address,
            config,
            reload,
            clock,
            channel,
            assembler: ObservationAssembler::default(),
            incarnation: Incarnation(0),
            message_number: 0,
            endpoints: None,
            metrics: AgentMetrics::default(),
        }
    }

    /// Runs until the event loop closes its handle. After a failure or a panic the agent restarts with a new
    /// incarnation.
    pub fn supervise(mut self) {
        loop {
            match catch_unwind(AssertUnwindSafe(|| self.run())) {
                Ok(Stopped::Disconnected) => return,
                Ok(Stopped::SocketError(error)) => {
                    log::error!(event = "control_plane_agent_socket_error"; "the agent's sockets failed and are opened again: {error}. Requests are served without the control plane; check that the system provides sockets at {}.", self.address);
                }
                Err(_) => {
                    log::error!(event = "control_plane_agent_panicked"; "the agent panicked and is restarted. Requests are served without the control plane; report the lines before this one.");
                }
            }
            thread::sleep(RESTART_DELAY);
        }
    }

    fn run(&mut self) -> Stopped {
        let now = (self.clock)();
        let incarnation = self.next_incarnation(now, Incarnation(0));
        let mut components = Components::new(&self.config, self.forwarder, incarnation, now);
        self.replay_endpoints(&mut components, now);
        let mut sockets = match Sockets::open(self.address, &self.config.planners) {
            Ok(sockets) => sockets,
            Err(error) => return Stopped::SocketError(error),
        };
        self.log_start(&sockets);
        let mut schedule =
            Schedule { publish_at: now, log_metrics_at: now + METRICS_INTERVAL, read_common_at: now };
        loop {
            if let Err(stopped) = self.run_round(&mut sockets, &mut components, &mut schedule) {
                return stopped;
            }
        }
    }

    fn run_round(
        &mut self,
        sockets: &mut Sockets,
        components: &mut Components,
        schedule: &mut Schedule,
    ) -> Result<(), Stopped> {
        let received = self.receive_messages(sockets, components, schedule).map_err(Stopped::SocketError)?;
        if let Err(Disconnected) = self.take_observations(components) {
            components.shut_down();
            self.send_messages(sockets, components);
            return Err(Stopped::Disconnected);
        }
        let now = (self.clock)();
        if received == Received::Messages {
            schedule.publish_at = now;
        }
        components.update_membership(now);
        self.restart_if_needed(sockets, components, now);
        if self.channel.is_update_applied() {
            self.send_messages(sockets, components);
            self.publish_if_due(components, schedule, now);
        }
        while let Some(event) = components.poll_event() {
            log_event(&event);
        }
        if schedule.log_metrics_at <= now {
            schedule.log_metrics_at = now + METRICS_INTERVAL;
            self.metrics.log();
        }
        Ok(())
    }

    fn log_start(&self, sockets: &Sockets) {
        let planners = self.config.planners.len();
        match sockets.local_address() {
            Some(address) => {
                log::info!(event = "control_plane_agent"; "messages are sent from {address} to {planners} planners");
            }
            None => log::info!(event = "control_plane_agent"; "messages are sent to {planners} planners"),
        }
    }

    /// An incarnation that is later than all before, also those of an earlier process.
    fn next_incarnation(&mut self, now: Time, min: Incarnation) -> Incarnation {
        self.incarnation = Incarnation(now.0.max(self.incarnation.0 + 1)).max(min);
        self.incarnation
    }

    fn replay_endpoints(&self, components: &mut Components, now: Time) {
        if let Some(endpoints) = &self.endpoints {
            components.on_observation(now, endpoints);
        }
    }

    /// Applies a new fleet configuration, and restarts the components if that or the other members demand it.
    fn restart_if_needed(&mut self, sockets: &mut Sockets, components: &mut Components, now: Time) {
        let mut restart = components.needs_restart();
        let new_config = self.reload.take();
        if !restart && new_config.is_none() {
            return;
        }
        if let Some(config) = new_config {
            log::info!(event = "fleet_config_reloaded"; "the fleet configuration was read again: {config}");
            // New secrets or addresses alone leave the incarnation, and what was granted to it, valid.
            restart |= !config.has_same_component_settings(&self.config);
            self.config = config;
        }
        if restart {
            let incarnation = self.next_incarnation(now, components.min_incarnation());
            components.restart(&self.config, incarnation, now);
            self.replay_endpoints(components, now);
        }
        sockets.set_planners(&self.config.planners);
    }

    /// Publishes an update if it is due. Called only when the event loop has applied the one before.
    fn publish_if_due(&mut self, components: &mut Components, schedule: &mut Schedule, now: Time) {
        if schedule.publish_at > now {
            return;
        }
        // Sending took a while.
        let now = (self.clock)();
        schedule.publish_at = now + PUBLISH_INTERVAL;
        self.channel.publish(now, components.update(now));
    }

    /// Sends messages, up to the limit of a round.
    fn send_messages(&mut self, sockets: &Sockets, components: &mut Components) {
        for _ in 0..MAX_MESSAGES_PER_ROUND {
            // Each at the time of its own sending: a lease counts from the time at which it was requested.
            let Some((to, message)) = components.poll_message((self.clock)()) else { return };
            let Member::Planner(planner) = to else { continue };
            let Some(address) = self.config.planners.get(&planner) else { continue };
            self.message_number += 1;
            let sender = Sender {
                member: Member::Forwarder(self.forwarder),
                incarnation: self.incarnation,
                sequence: self.message_number,
            };
            match message::seal(sender, &message, &self.config.secrets) {
                Ok(datagram) => {
                    if let Err(error) = sockets.send(planner, *address, &datagram) {
                        self.metrics.count_send_failure(&error);
                    }
                }
                Err(error) => self.metrics.count_rejected(RejectedMessage::Envelope(error)),
            }
        }
    }

    /// Waits for messages and processes them, up to the limit of a round. The common socket is read once in the length
    /// of a round at most.
    fn receive_messages(
        &mut self,
        sockets: &Sockets,
        components: &mut Components,
        schedule: &mut Schedule,
    ) -> io::Result<Received> {
        sockets.wait(ROUND)?;
        let now = (self.clock)();
        let mut scope = ReadScope::Planners;
        if schedule.read_common_at <= now {
            schedule.read_common_at = now + Span(ROUND.as_micros() as u64);
            scope = ReadScope::All;
        }
        let mut received = Received::Nothing;
        let on_datagram =
            |datagram: &[u8]| match open_and_process(datagram, &self.config, &self.clock, components) {
                Ok(()) => received = Received::Messages,
                Err(rejected) => self.metrics.count_rejected(rejected),
            };
        if sockets.read(scope, &mut [0; RECEIVE_BUFFER_BYTES], on_datagram)? == Backlog::Remaining {
            // A flood: the kernel drops what exceeds the limit of a round.
            thread::sleep(ROUND);
        }
        Ok(received)
    }

    /// Takes observations from the event loop, up to the limit of a round.
    fn take_observations(&mut self, components: &mut Components) -> Result<(), Disconnected> {
        for _ in 0..MAX_OBSERVATIONS_PER_ROUND {
            let Some(TimedObservation { at, observation }) = self.channel.try_recv()? else { break };
            let Some(observation) = self.assembler.assemble(observation) else { continue };
            components.on_observation(at, &observation);
            if let Observation::EndpointsChanged(_) = observation {
                self.endpoints = Some(observation);
            }
        }
        self.metrics.count_dropped_observations(self.channel.take_dropped());
        Ok(())
    }
}

fn open_and_process(
    datagram: &[u8],
    config: &FleetConfig,
    clock: &dyn Fn() -> Time,
    components: &mut Components,
) -> Result<(), RejectedMessage> {
    let (sender, message) = message::open(datagram, &config.secrets).map_err(RejectedMessage::Envelope)?;
    components.on_message(clock(), sender, message)
}

fn log_event(event: &Event) {
    let level = if event.is_warning { log::Level::Warn } else { log::Level::Info };
    log::log!(level, event = event.name; "{}", event.message);
}
