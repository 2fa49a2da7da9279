//! The loop of a running component: it delivers messages to the component, polls the component's messages and
//! snapshot, stores the snapshot, and sends the messages.
//!
//! If a snapshot can't be stored, the messages that depend on it are dropped, as if the network had lost
//! them. The snapshot is then stored before any other message is sent.

use std::sync::Arc;
use std::time::Duration;

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::Incarnation;
use granitelb_coordination::component::{Component, Remediation};
use tokio::sync::watch;
use tokio::time::sleep;

use super::{ComponentTask, Exit, OutgoingMessage};
use crate::fault_injection;
use crate::fleet_config::FleetConfig;
use crate::planner::component_status::STATUS_INTERVAL;
use crate::planner::mailbox::ReceivedMessage;
use crate::planner::shared_context::SharedContext;
use crate::planner::{REPORT_INTERVAL, log_event};

/// The maximum number of messages that are delivered before the component is polled, and polled before they
/// are sent, so that neither received nor sent messages wait too long.
const BATCH_SIZE: usize = 256;
/// The minimum time between two attempts to store a snapshot after a failure.
const STORE_RETRY_INTERVAL: Span = Span::from_millis(1000);
/// The minimum sleep between two polls. A component that always requests to be polled at once thereby leaves
/// CPU time to others.
const MIN_SLEEP: Duration = Duration::from_millis(1);

fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Whether the latest snapshot of a component is stored.
#[derive(PartialEq, Eq)]
enum SnapshotState {
    /// The snapshot is stored.
    Durable,
    /// The snapshot could not be stored, and messages that depend on it must not be sent.
    Pending,
}

/// Whether the component has more messages to send.
#[derive(PartialEq, Eq)]
enum MessagesLeft {
    None,
    Maybe,
}

/// The messages that the component ignored since the last report.
#[derive(Default)]
struct IgnoredMessages {
    count: u64,
    last_error: Option<String>,
}

/// A component with the state that its task keeps while the component runs.
pub(super) struct RunningComponent<'a, C: Component> {
    task: &'a ComponentTask<C>,
    component: C,
    /// The configuration with which the component was created.
    fleet_config: Arc<FleetConfig>,
    generation: u64,
    /// The planner's incarnation, which messages carry.
    incarnation: Incarnation,
    /// The latest snapshot if it is not stored yet.
    unsaved_snapshot: Option<Vec<u8>>,
    /// The earliest time at which the snapshot may be stored again after a failure.
    store_retry_at: Time,
    is_store_failure_logged: bool,
    ignored: IgnoredMessages,
    last_report_at: Time,
    status_exchange_at: Time,
}

impl<'a, C> RunningComponent<'a, C>
where
    C: Component + Send,
    C::Message: Send,
    C::Error: Send,
{
    pub(super) fn new(task: &'a ComponentTask<C>, mut component: C, context: SharedContext) -> Self {
        let now = task.handles.clock.now();
        component.on_membership_change(now, &context.alive_members);
        RunningComponent {
            task,
            component,
            fleet_config: context.fleet_config,
            generation: context.generation,
            incarnation: context.incarnation,
            unsaved_snapshot: None,
            store_retry_at: now,
            is_store_failure_logged: false,
            ignored: IgnoredMessages::default(),
            last_report_at: now,
            status_exchange_at: now,
        }
    }

    fn now(&self) -> Time {
        self.task.handles.clock.now()
    }

    /// Runs the component until it has to end, and returns the reason.
    pub(super) async fn run(mut self, mut context_updates: watch::Receiver<SharedContext>) -> Exit {
        let mailbox = &self.task.mailbox;
        loop {
            self.exchange_status();
            self.poll_and_send().await;
            let wake = sleep_or_wait(self.time_to_wake());
            tokio::select! {
                // Changes of membership are delivered before the messages of new members.
                biased;
                changed = context_updates.changed() => {
                    let context = context_updates.borrow_and_update().clone();
                    if changed.is_err() || context.is_stopping {
                        self.poll_and_send().await;
                        return Exit::Stopping;
                    }
                    if context.generation != self.generation {
                        return Exit::NewGeneration;
                    }
                    let now = self.now();
                    self.component.on_membership_change(now, &context.alive_members);
                }
                first = mailbox.receive() => self.deliver_batch(first),
                () = wake => {}
            }
            self.report();
        }
    }

    /// How long to sleep if neither a message nor a change of the context arrives; `None` to sleep until one
    /// does.
    fn time_to_wake(&self) -> Option<Duration> {
        let now = self.now();
        let mut wake = self.component.poll_timeout(now).map(|at| to_duration(at - now));
        if self.unsaved_snapshot.is_some() {
            let retry = to_duration(STORE_RETRY_INTERVAL);
            wake = Some(wake.unwrap_or(retry).max(retry));
        }
        if self.task.spec.exchange_status.is_some() {
            let interval = to_duration(STATUS_INTERVAL);
            wake = Some(wake.unwrap_or(interval).min(interval));
        }
        wake
    }

    fn exchange_status(&mut self) {
        let Some(exchange_status) = &self.task.spec.exchange_status else { return };
        let now = self.now();
        if now < self.status_exchange_at {
            return;
        }
        self.status_exchange_at = now + STATUS_INTERVAL;
        exchange_status(&mut self.component, now, &self.fleet_config, &self.task.handles.status);
    }

    fn deliver_batch(&mut self, first: ReceivedMessage) {
        self.deliver(first);
        for _ in 1..BATCH_SIZE {
            let Some(received) = self.task.mailbox.try_receive() else { return };
            self.deliver(received);
        }
    }

    fn deliver(&mut self, received: ReceivedMessage) {
        let sender = received.sender;
        let Some(message) = (self.task.spec.unwrap)(received.message) else { return };
        if self.task.hangs_on_message {
            fault_injection::hang();
        }
        let now = self.now();
        if let Err(error) = self.component.on_message(now, sender, message) {
            self.ignored.count += 1;
            let task = self.task.spec.kind.name();
            log::debug!(
                event = "message_ignored", task = task;
                "the component {task} ignored a message of {}: {error}", sender.member
            );
            self.ignored.last_error = Some(format!("{error}. {}", error.remediation()));
        }
    }

    /// Polls all messages, and sends each batch after the snapshot on which it depends is stored.
    async fn poll_and_send(&mut self) {
        while self.poll_and_send_batch().await == MessagesLeft::Maybe {}
    }

    async fn poll_and_send_batch(&mut self) -> MessagesLeft {
        let snapshot_before = self.component.poll_snapshot();
        let now = self.now();
        let mut batch = Vec::new();
        while batch.len() < BATCH_SIZE {
            let Some(message) = self.component.poll_message(now) else { break };
            batch.push(message);
        }
        // The latest snapshot supersedes earlier ones.
        let snapshot_after = self.component.poll_snapshot();
        self.unsaved_snapshot = snapshot_after.or(snapshot_before).or(self.unsaved_snapshot.take());
        if self.store_snapshot().await == SnapshotState::Pending {
            return MessagesLeft::None;
        }
        let messages_left = if batch.len() == BATCH_SIZE { MessagesLeft::Maybe } else { MessagesLeft::None };
        for (to, message) in batch {
            let message = (self.task.spec.wrap)(message);
            let outgoing = OutgoingMessage { incarnation: self.incarnation, to, message };
            // The router ends after all components. A message that a closed router does not take counts as
            // lost.
            let _ = self.task.handles.outgoing.send(outgoing).await;
        }
        messages_left
    }

    /// Stores the unsaved snapshot if there is one. After a failure, it is not stored again before the retry
    /// interval.
    async fn store_snapshot(&mut self) -> SnapshotState {
        let Some(snapshot) = self.unsaved_snapshot.take() else { return SnapshotState::Durable };
        if self.now() < self.store_retry_at {
            // A retry with each message would be too expensive: a store that failed is verified entirely
            // before it is written again.
            self.unsaved_snapshot = Some(snapshot);
            return SnapshotState::Pending;
        }
        let kind = self.task.spec.kind;
        let Err(error) = self.task.handles.storage.persist(kind, snapshot.clone()).await else {
            if self.is_store_failure_logged {
                self.is_store_failure_logged = false;
                log::info!(
                    event = "snapshot_write_recovered", task = kind.name();
                    "the state of the component {kind} is stored again"
                );
            }
            return SnapshotState::Durable;
        };
        if !self.is_store_failure_logged {
            self.is_store_failure_logged = true;
            log::error!(
                event = "snapshot_write_failed", task = kind.name();
                "{kind}: the state of this component can't be stored: {error}. {} No message of {kind} is sent until its \
                 state is stored.",
                error.remediation()
            );
        }
        self.unsaved_snapshot = Some(snapshot);
        self.store_retry_at = self.now() + STORE_RETRY_INTERVAL;
        SnapshotState::Pending
    }

    /// Logs the component's events, and once a minute how many messages it ignored.
    fn report(&mut self) {
        let kind = self.task.spec.kind;
        while let Some(event) = self.component.poll_event() {
            log_event(kind.name(), &event);
        }
        let now = self.now();
        if now - self.last_report_at < REPORT_INTERVAL {
            return;
        }
        self.last_report_at = now;
        let IgnoredMessages { count, last_error } = std::mem::take(&mut self.ignored);
        if let Some(last_error) = last_error {
            log::warn!(
                event = "message_ignored", task = kind.name(), count = count;
                "the component {kind} ignored {count} messages; the last one: {last_error}"
            );
        }
    }
}

/// Sleeps for `time`, but at least for [`MIN_SLEEP`]; without a time, waits for ever.
async fn sleep_or_wait(time: Option<Duration>) {
    match time {
        Some(time) => sleep(time.max(MIN_SLEEP)).await,
        None => std::future::pending().await,
    }
}
