//! The agent's thread, which runs rounds: it receives messages, takes observations, publishes updates and
//! sends messages.

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

/// The maximum time that a round waits for a planner's message.
const ROUND_DURATION: Duration = Duration::from_millis(25);
/// The maximum number of messages that are sent in a round.
const MAX_MESSAGES_PER_ROUND: usize = 256;
/// The maximum number of observations that are taken in a round, before messages are received again.
const MAX_OBSERVATIONS_PER_ROUND: usize = 8192;
/// The interval at which updates are published if no message arrives, so that information that planners no
/// longer send expires.
const PUBLISH_INTERVAL: Span = Span::from_millis(200);
/// The interval at which the metrics are logged.
const METRICS_INTERVAL: Span = Span::from_millis(60_000);
/// The delay before a failed agent is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1000);
/// The size of the buffer for a received datagram: one byte more than the longest message, so that a longer
/// datagram is recognized.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// The agent's thread, with the state that outlives a restart of the agent.
pub(super) struct Worker {
    forwarder: ForwarderId,
    address: Ipv4Addr,
    config: FleetConfig,
    reload: ConfigReloadHandle,
    clock: Box<dyn Fn() -> Time + Send>,
    channel: AgentChannel,
    assembler: ObservationAssembler,
    incarnation: Incarnation,
    /// The sequence number of the last message, which increases over all incarnations.
    message_number: u64,
    /// The latest endpoint list, which recreated components have to get.
    endpoints: Option<Observation>,
    metrics: AgentMetrics,
}

/// Why [`Worker::run`] returned.
enum StopReason {
    /// The event loop has closed its handle.
    Disconnected,
    /// The sockets failed.
    SocketError(io::Error),
}

/// Whether a round has received messages that may have changed the state of a component.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    /// No message was accepted.
    Nothing,
    /// At least one message was accepted.
    Messages,
}

/// The times at which periodic work is due.
struct Schedule {
    publish_at: Time,
    log_metrics_at: Time,
    /// The time from which the common socket, to which any host can send, is read again.
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
                Ok(StopReason::Disconnected) => return,
                Ok(StopReason::SocketError(error)) => {
                    log::error!(
                        event = "control_plane_agent_socket_error";
                        "the sockets of the control-plane agent failed and are opened again: {error}. Until then, \
                         requests are served without the control plane. Check that the system provides sockets at {}.",
                        self.address
                    );
                }
                Err(_) => {
                    log::error!(
                        event = "control_plane_agent_panicked";
                        "the control-plane agent panicked and is restarted. Until then, requests are served without the \
                         control plane. Report the log lines before this one."
                    );
                }
            }
            thread::sleep(RESTART_DELAY);
        }
    }

    /// Runs the agent until it has to end or its sockets fail, and returns the reason.
    fn run(&mut self) -> StopReason {
        let now = (self.clock)();
        let incarnation = self.next_incarnation(now, Incarnation(0));
        let mut components = Components::new(&self.config, self.forwarder, incarnation, now);
        self.replay_endpoints(&mut components, now);
        let mut sockets = match Sockets::open(self.address, &self.config.planners) {
            Ok(sockets) => sockets,
            Err(error) => return StopReason::SocketError(error),
        };
        self.log_start(&sockets);
        let mut schedule =
            Schedule { publish_at: now, log_metrics_at: now + METRICS_INTERVAL, read_common_at: now };
        loop {
            if let Err(reason) = self.run_round(&mut sockets, &mut components, &mut schedule) {
                return reason;
            }
        }
    }

    fn run_round(
        &mut self,
        sockets: &mut Sockets,
        components: &mut Components,
        schedule: &mut Schedule,
    ) -> Result<(), StopReason> {
        let received =
            self.receive_messages(sockets, components, schedule).map_err(StopReason::SocketError)?;
        if let Err(Disconnected) = self.take_observations(components) {
            components.shut_down();
            self.send_messages(sockets, components);
            return Err(StopReason::Disconnected);
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
                log::info!(
                    event = "control_plane_agent";
                    "the control-plane agent has started: messages are sent from {address} to {planners} planners"
                );
            }
            None => log::info!(
                event = "control_plane_agent";
                "the control-plane agent has started: messages are sent to {planners} planners"
            ),
        }
    }

    /// An incarnation that is greater than all earlier incarnations, also those of an earlier process.
    fn next_incarnation(&mut self, now: Time, min: Incarnation) -> Incarnation {
        self.incarnation = Incarnation(now.0.max(self.incarnation.0 + 1)).max(min);
        self.incarnation
    }

    /// Passes the latest endpoint list to new components.
    fn replay_endpoints(&self, components: &mut Components, now: Time) {
        if let Some(endpoints) = &self.endpoints {
            components.on_observation(now, endpoints);
        }
    }

    /// Applies a new fleet configuration, if there is one. Restarts the components if their settings changed
    /// or if other members declared this member failed.
    fn restart_if_needed(&mut self, sockets: &mut Sockets, components: &mut Components, now: Time) {
        let mut restart = components.needs_restart();
        let new_config = self.reload.take();
        if !restart && new_config.is_none() {
            return;
        }
        if let Some(config) = new_config {
            log::info!(event = "fleet_config_reloaded"; "the fleet configuration was read again: {config}");
            // If only secrets or addresses changed, the incarnation and its leases stay valid.
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

    /// Publishes an update if one is due. Called only when the event loop has applied the previous update.
    fn publish_if_due(&mut self, components: &mut Components, schedule: &mut Schedule, now: Time) {
        if schedule.publish_at > now {
            return;
        }
        // The time is read again, since sending took a while.
        let now = (self.clock)();
        schedule.publish_at = now + PUBLISH_INTERVAL;
        self.channel.publish(now, components.update(now));
    }

    /// Sends messages, up to the limit of a round.
    fn send_messages(&mut self, sockets: &Sockets, components: &mut Components) {
        for _ in 0..MAX_MESSAGES_PER_ROUND {
            // The time is read for each message, since a lease counts from the time at which it was
            // requested.
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

    /// Waits for messages and processes them, up to the limit of a round. The common socket is read at most
    /// once in [`ROUND_DURATION`].
    fn receive_messages(
        &mut self,
        sockets: &Sockets,
        components: &mut Components,
        schedule: &mut Schedule,
    ) -> io::Result<Received> {
        sockets.wait(ROUND_DURATION)?;
        let now = (self.clock)();
        let mut scope = ReadScope::Planners;
        if schedule.read_common_at <= now {
            schedule.read_common_at = now + Span(ROUND_DURATION.as_micros() as u64);
            scope = ReadScope::All;
        }
        let mut received = Received::Nothing;
        let on_datagram =
            |datagram: &[u8]| match open_and_process(datagram, &self.config, &self.clock, components) {
                Ok(()) => received = Received::Messages,
                Err(rejected) => self.metrics.count_rejected(rejected),
            };
        if sockets.read(scope, &mut [0; RECEIVE_BUFFER_BYTES], on_datagram)? == Backlog::Remaining {
            // More datagrams than the limit of a round are a flood, of which the kernel drops the excess
            // meanwhile.
            thread::sleep(ROUND_DURATION);
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

/// Opens a datagram and passes its message to the components.
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
