//! The message router: it owns the socket, the membership, and the addresses of members.
//!
//! It authenticates what comes, has membership reject duplicates and stale senders, and puts messages into their
//! component's mailbox. It seals, numbers and sends what components write. It publishes who is alive and under which
//! incarnation this planner runs.
//!
//! The router has its own thread, so no component can delay heartbeats, and it checks that each component still returns from
//! its calls (`liveness`). How much of a flood is read is decided by `ingress_limiter`.
//!
//! Invariant: the router never waits for a component. When a mailbox is full of messages that must not be shed, the router
//! leaves further datagrams in the socket while all else goes on. So a component that waits for the router never waits for
//! itself.

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

/// Messages that are read or written before all else gets its turn.
const BATCH_SIZE: usize = 64;
/// How often all members are checked for those that have become silent; doing so with each message would cost too much.
const MEMBERSHIP_CHECK_INTERVAL: Span = Span::from_millis(100);
const MIN_SLEEP: Span = Span::from_millis(1);
/// The router is restarted this long after a panic.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// The task's name in the log.
pub(super) const TASK_NAME: &str = "message_router";
const MEMBERSHIP_TASK_NAME: &str = "members";

/// A command of the planner's main task.
pub(super) enum RouterCommand {
    /// A new configuration applies.
    Reload(Arc<FleetConfig>),
    /// All components have to end; their last messages are still sent.
    StopComponents,
    /// All components have ended.
    Shutdown,
}

/// What the router receives from other tasks.
pub(super) struct RouterInbox {
    pub(super) outgoing: mpsc::Receiver<OutgoingMessage>,
    pub(super) commands: mpsc::Receiver<RouterCommand>,
    pub(super) renewal_requests: mpsc::Receiver<()>,
}

/// What a router is created from.
pub(super) struct RouterParts {
    pub(super) me: PlannerId,
    /// A socket that does not block.
    pub(super) socket: StdUdpSocket,
    pub(super) clock: Clock,
    pub(super) components: ComponentHandles,
    /// Gets a component whose call has timed out.
    pub(super) timed_out_components: mpsc::Sender<ComponentKind>,
    pub(super) context: watch::Sender<SharedContext>,
    pub(super) storage: StorageWriter,
}

/// Runs the router until [`RouterCommand::Shutdown`]. After a panic it continues as that of a new planner.
pub(super) async fn run(parts: RouterParts, mut inbox: RouterInbox) {
    let mut router = match MessageRouter::new(parts) {
        Ok(router) => router,
        Err(error) => {
            log::error!(
                event = "task_failed", task = TASK_NAME;
                "messages can't be received: {error}. Raise the limit of descriptors."
            );
            return;
        }
    };
    while AssertUnwindSafe(router.run(&mut inbox)).catch_unwind().await.is_err() {
        log::error!(
            event = "task_failed", task = TASK_NAME;
            "the message router panicked and is restarted. Report the lines before this one."
        );
        sleep(RESTART_DELAY).await;
        router.reset();
    }
}

/// When membership is to be checked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MembershipCheck {
    Immediate,
    WhenDue,
}

/// The state of the router's task.
struct MessageRouter {
    me: PlannerId,
    socket: UdpSocket,
    clock: Clock,
    members: Membership,
    incarnation: Incarnation,
    /// The number of the last message that was sent.
    last_number: u64,
    /// The addresses that alive forwarders last sent from.
    forwarder_addresses: BTreeMap<ForwarderId, SocketAddrV4>,
    components: ComponentHandles,
    ingress_limiter: IngressLimiter,
    timed_out_components: mpsc::Sender<ComponentKind>,
    /// A message whose mailbox is full; nothing is read from the socket while there is one.
    blocked_message: Option<ReceivedMessage>,
    context: watch::Sender<SharedContext>,
    /// The incarnation that has to be stored.
    incarnation_to_store: watch::Sender<Incarnation>,
    metrics: MessageMetrics,
    last_report_at: Time,
    next_membership_check: Time,
}

impl MessageRouter {
    /// Creates the router. It has to be called in the runtime that is to run it.
    ///
    /// # Errors
    /// The runtime can't poll the socket.
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
                    // An unconnected socket has no lasting errors; it is read again at the next wake.
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

    /// The mailbox for which the blocked message waits.
    fn blocking_mailbox(&self) -> Option<Arc<Mailbox>> {
        let blocked = self.blocked_message.as_ref()?;
        let component = self.components.get(&blocked.message.kind())?;
        Some(component.mailbox.clone())
    }

    /// Lets time pass: heartbeats, who is alive, a new incarnation if others took this planner for dead, and the report.
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

    /// Closes the mailbox of an unresponsive component, so that it does not hold up messages for others.
    fn check_components(&mut self, now: Time) {
        for (kind, component) in &mut self.components {
            match component.liveness.check(now) {
                None => {}
                Some(LivenessEvent::Unresponsive) => {
                    component.mailbox.close();
                    log::error!(
                        event = "task_unresponsive", task = kind.name();
                        "{kind} does not return from a call: its messages are dropped, all else goes on. If it stays so \
                         this process ends, for its supervisor to restart it. Report it, with the planner's files."
                    );
                }
                Some(LivenessEvent::Recovered) => {
                    component.mailbox.reopen();
                    log::warn!(
                        event = "task_recovered", task = kind.name();
                        "{kind} has returned from its call, and gets messages again"
                    );
                }
                Some(LivenessEvent::TimedOut) => {
                    // A full channel means that the main task already knows.
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

/// Waits for room in a mailbox, or for ever if there is none to wait for.
async fn wait_for_capacity(mailbox: Option<&Mailbox>) {
    match mailbox {
        Some(mailbox) => mailbox.wait_for_capacity().await,
        None => std::future::pending().await,
    }
}
