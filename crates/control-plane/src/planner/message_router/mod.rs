//! The message router: the task that owns the socket, the membership, and the addresses of members.
//!
//! The router authenticates received datagrams, lets membership reject duplicates and stale senders, and puts
//! each message into the mailbox of its component. It numbers, seals and sends the messages of components. It
//! publishes which members are alive and under which incarnation this planner runs.
//!
//! The router has its own thread, so that no component can delay heartbeats. It checks that each component
//! returns from its calls (`liveness`). The module `ingress_limiter` decides how much of a flood is read.
//!
//! Invariant: the router never waits for a component. When a mailbox is full of messages that must not be
//! shed, the router leaves further datagrams in the socket, and continues with all other work. A component
//! that waits for the router therefore never waits for itself.

mod receiving;
mod renewal;
mod sending;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddrV4, UdpSocket as StdUdpSocket};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::membership::Membership;
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::component_task::OutgoingMessage;
use super::components::ComponentHandles;
use super::ingress_limiter::IngressLimiter;
use super::liveness::LivenessEvent;
use super::mailbox::{Mailbox, ReceivedMessage};
use super::metrics::{MessageMetrics, SocketOperation};
use super::shared_context::SharedContext;
use super::{REPORT_INTERVAL, log_event};
use crate::clock::Clock;
use crate::fleet_config::FleetConfig;
use crate::storage::StorageWriter;

/// The maximum number of messages that are read or sent before the router continues with other work.
const BATCH_SIZE: usize = 64;
/// The interval at which members are checked for silence. A check of all members with each message would cost
/// too much.
const MEMBERSHIP_CHECK_INTERVAL: Span = Span::from_millis(100);
/// The minimum time to sleep until membership has a message to send.
const MIN_SLEEP: Span = Span::from_millis(1);
/// The delay before the router is restarted after a panic.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// The name of the router's task in the log.
pub(super) const TASK_NAME: &str = "message_router";
/// The name of membership in the log.
const MEMBERSHIP_TASK_NAME: &str = "members";

/// A command of the planner's main task.
pub(super) enum RouterCommand {
    /// A new configuration applies.
    Reload(Arc<FleetConfig>),
    /// All components have to end, and the router still sends their last messages.
    StopComponents,
    /// All components have ended, and the router has to end.
    Shutdown,
}

/// The channels on which the router receives from other tasks.
pub(super) struct RouterInbox {
    pub(super) outgoing: mpsc::Receiver<OutgoingMessage>,
    pub(super) commands: mpsc::Receiver<RouterCommand>,
    pub(super) renewal_requests: mpsc::Receiver<()>,
}

/// The parts from which a router is created.
pub(super) struct RouterParts {
    pub(super) me: PlannerId,
    /// The planner's socket, which is non-blocking.
    pub(super) socket: StdUdpSocket,
    pub(super) clock: Clock,
    pub(super) components: ComponentHandles,
    /// Receives the kind of a component whose call has timed out.
    pub(super) timed_out_components: mpsc::Sender<ComponentKind>,
    pub(super) context: watch::Sender<SharedContext>,
    pub(super) storage: StorageWriter,
}

/// Runs the router until [`RouterCommand::Shutdown`]. After a panic, the router continues under a new
/// incarnation.
pub(super) async fn run(parts: RouterParts, mut inbox: RouterInbox) {
    let mut router = match MessageRouter::new(parts) {
        Ok(router) => router,
        Err(error) => {
            log::error!(
                event = "task_failed", task = TASK_NAME;
                "the message router can't use the planner's socket: {error}. Raise the limit of file descriptors."
            );
            return;
        }
    };
    while AssertUnwindSafe(router.run(&mut inbox)).catch_unwind().await.is_err() {
        log::error!(
            event = "task_failed", task = TASK_NAME;
            "the message router panicked and is restarted. Report the log lines before this one."
        );
        sleep(RESTART_DELAY).await;
        router.reset();
    }
}

/// When membership is to be checked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MembershipCheck {
    /// Membership is checked at once.
    Immediate,
    /// Membership is checked if [`MEMBERSHIP_CHECK_INTERVAL`] has passed since the last check.
    WhenDue,
}

/// The state of the router's task.
struct MessageRouter {
    me: PlannerId,
    socket: UdpSocket,
    clock: Clock,
    members: Membership,
    incarnation: Incarnation,
    /// The sequence number of the last message that was sealed.
    last_number: u64,
    /// The address from which each alive forwarder last sent a message.
    forwarder_addresses: BTreeMap<ForwarderId, SocketAddrV4>,
    components: ComponentHandles,
    ingress_limiter: IngressLimiter,
    timed_out_components: mpsc::Sender<ComponentKind>,
    /// A message whose mailbox is full. The router does not read the socket while there is such a message.
    blocked_message: Option<ReceivedMessage>,
    context: watch::Sender<SharedContext>,
    /// Passes the incarnation that has to be stored to the task that stores it.
    incarnation_to_store: watch::Sender<Incarnation>,
    metrics: MessageMetrics,
    last_report_at: Time,
    next_membership_check: Time,
}

impl MessageRouter {
    /// Creates the router. The caller has to run in the runtime that will run the router.
    ///
    /// # Errors
    /// Returns the system's error if the runtime can't poll the socket.
    fn new(parts: RouterParts) -> io::Result<MessageRouter> {
        let RouterParts { me, socket, clock, components, timed_out_components, context, storage } = parts;
        let socket = UdpSocket::from_std(socket)?;
        let now = clock.now();
        let incarnation = context.borrow().incarnation;
        let fleet_config = context.borrow().fleet_config.clone();
        let mut members = Membership::new(Member::Planner(me), incarnation, now);
        members.set_planners(now, fleet_config.planners.keys().copied());
        Ok(MessageRouter {
            me,
            socket,
            clock,
            members,
            incarnation,
            last_number: 0,
            forwarder_addresses: BTreeMap::new(),
            components,
            ingress_limiter: IngressLimiter::new(now),
            timed_out_components,
            blocked_message: None,
            context,
            incarnation_to_store: renewal::spawn_incarnation_writer(storage, incarnation),
            metrics: MessageMetrics::default(),
            last_report_at: now,
            next_membership_check: now,
        })
    }

    /// Runs until [`RouterCommand::Shutdown`].
    async fn run(&mut self, inbox: &mut RouterInbox) {
        loop {
            self.advance(MembershipCheck::WhenDue);
            let wake = sleep(self.time_to_wake());
            let blocking_mailbox = self.blocking_mailbox();
            tokio::select! {
                command = inbox.commands.recv() => match command {
                    Some(RouterCommand::Reload(fleet_config)) => self.reload(fleet_config),
                    Some(RouterCommand::StopComponents) => {
                        self.context.send_modify(|context| context.is_stopping = true);
                    }
                    Some(RouterCommand::Shutdown) | None => {
                        self.send_remaining(&mut inbox.outgoing);
                        self.report_metrics();
                        return;
                    }
                },
                Some(()) = inbox.renewal_requests.recv() => self.renew(),
                Some(outgoing) = inbox.outgoing.recv() => self.send_batch(outgoing, &mut inbox.outgoing),
                () = wait_for_capacity(blocking_mailbox.as_deref()) => self.deliver_blocked_message(),
                ready = self.socket.readable(), if self.blocked_message.is_none() => match ready {
                    Ok(()) => self.read_socket(),
                    // Errors of an unconnected socket do not last: the router reads the socket again when it
                    // wakes next.
                    Err(error) => self.metrics.count_socket_error(SocketOperation::Receive, &error),
                },
                () = wake => {}
            }
        }
    }

    fn fleet_config(&self) -> Arc<FleetConfig> {
        self.context.borrow().fleet_config.clone()
    }

    fn time_to_wake(&self) -> Duration {
        let now = self.clock.now();
        let wake_at = self.members.poll_timeout(now).unwrap_or(now + REPORT_INTERVAL);
        Duration::from_micros((wake_at - now).max(MIN_SLEEP).0)
    }

    /// The mailbox that has no room for the blocked message; `None` if no message is blocked.
    fn blocking_mailbox(&self) -> Option<Arc<Mailbox>> {
        let blocked = self.blocked_message.as_ref()?;
        let component = self.components.get(&blocked.message.kind())?;
        Some(component.mailbox.clone())
    }

    /// Does the work that is due by now: sends heartbeats, checks which members are alive, takes a new
    /// incarnation if other members declared this planner failed, and logs events and metrics.
    fn advance(&mut self, check: MembershipCheck) {
        let now = self.clock.now();
        self.send_membership_messages(now);
        if check == MembershipCheck::Immediate || self.next_membership_check <= now {
            self.check_membership(now);
        }
        if self.members.needs_new_incarnation() {
            self.renew();
        }
        while let Some(event) = self.members.poll_event() {
            log_event(MEMBERSHIP_TASK_NAME, &event);
        }
        if now - self.last_report_at >= REPORT_INTERVAL {
            self.report_metrics();
        }
    }

    fn send_membership_messages(&mut self, now: Time) {
        for _ in 0..BATCH_SIZE {
            let Some((to, message)) = self.members.poll_message(now) else { return };
            self.send(to, &Message::Membership(message));
        }
    }

    fn check_membership(&mut self, now: Time) {
        self.next_membership_check = now + MEMBERSHIP_CHECK_INTERVAL;
        let changed = self.members.poll_change(now);
        self.check_components(now);
        let Some(alive) = changed else { return };
        self.forwarder_addresses.retain(|id, _| alive.binary_search(&Member::Forwarder(*id)).is_ok());
        self.context.send_modify(|context| context.alive_members = alive.into());
    }

    /// Checks that all components return from their calls. Closes the mailbox of an unresponsive component,
    /// so that messages for other components are not delayed.
    fn check_components(&mut self, now: Time) {
        for (kind, component) in &mut self.components {
            match component.liveness.check(now) {
                None => {}
                Some(LivenessEvent::Unresponsive) => {
                    component.mailbox.close();
                    log::error!(
                        event = "task_unresponsive", task = kind.name();
                        "the component {kind} does not return from a call: its messages are dropped, and all other \
                         components go on. If the call does not return, the planner ends, and its supervisor has to \
                         restart it. Report this line, with the planner's configuration files."
                    );
                }
                Some(LivenessEvent::Recovered) => {
                    component.mailbox.reopen();
                    log::warn!(
                        event = "task_recovered", task = kind.name();
                        "the component {kind} has returned from its call, and gets messages again"
                    );
                }
                Some(LivenessEvent::TimedOut) => {
                    // If the channel is full, the main task already gets a component that has timed out.
                    let _ = self.timed_out_components.try_send(*kind);
                }
            }
        }
    }

    fn report_metrics(&mut self) {
        self.last_report_at = self.clock.now();
        for (kind, component) in &self.components {
            self.metrics.count_shed(*kind, component.mailbox.take_shed_count());
        }
        let alive_members = self.context.borrow().alive_members.len();
        self.metrics.report(alive_members);
    }
}

/// Waits for room in a mailbox; without a mailbox, waits for ever.
async fn wait_for_capacity(mailbox: Option<&Mailbox>) {
    match mailbox {
        Some(mailbox) => mailbox.wait_for_capacity().await,
        None => std::future::pending().await,
    }
}
