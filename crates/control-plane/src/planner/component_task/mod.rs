//! The task of one component. The task owns the component's state, passes messages and the time to the
//! component, and polls the component for messages to send.
//!
//! A component that panics is named in the log and recreated from its last snapshot; the other components go
//! on.
//!
//! Invariant: the state on which a message depends is durable before the message is sent. Messages that were
//! polled wait until the snapshot that was polled after them is stored; see [`running`].

mod running;

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use granitelb_balancer::time::Time;
use granitelb_coordination::component::{Component, Remediation};
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{Incarnation, Member};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::component_status::ComponentStatus;
use super::mailbox::Mailbox;
use super::shared_context::SharedContext;
use crate::clock::Clock;
use crate::fleet_config::FleetConfig;
use crate::storage::StorageWriter;
use running::RunningComponent;

/// The delay before a failed component is recreated. The delay doubles each time the component soon fails
/// again.
const RESTART_BACKOFF_INITIAL: Duration = Duration::from_millis(100);
const RESTART_BACKOFF_MAX: Duration = Duration::from_secs(10);

/// A message to be sent, with the planner's incarnation in which the message was created.
pub(super) struct OutgoingMessage {
    pub(super) incarnation: Incarnation,
    pub(super) to: Member,
    pub(super) message: Message,
}

/// Why a component is not created.
pub(super) type CreateError = Box<dyn Remediation + Send + Sync>;

/// The inputs from which a component is created.
pub(super) struct CreateContext<'a> {
    pub(super) fleet_config: &'a FleetConfig,
    pub(super) incarnation: Incarnation,
    pub(super) now: Time,
    /// The last snapshot that was stored, if any.
    pub(super) snapshot: Option<&'a [u8]>,
}

/// A function that creates a component.
pub(super) type CreateComponent<C> = Box<dyn Fn(CreateContext<'_>) -> Result<C, CreateError> + Send + Sync>;

/// A function that publishes the component's status for the planner's other components, and passes their
/// status to the component. The component's task calls this function repeatedly.
pub(super) type ExchangeStatus<C> = Box<dyn Fn(&mut C, Time, &FleetConfig, &ComponentStatus) + Send + Sync>;

/// How to create one kind of component, and how to wrap its messages.
pub(super) struct ComponentSpec<C: Component> {
    pub(super) kind: ComponentKind,
    pub(super) create: CreateComponent<C>,
    pub(super) wrap: fn(C::Message) -> Message,
    pub(super) unwrap: fn(Message) -> Option<C::Message>,
    /// `None` for a component that neither publishes nor reads a status.
    pub(super) exchange_status: Option<ExchangeStatus<C>>,
}

/// The channels and services that the tasks of all components share.
#[derive(Clone)]
pub(super) struct TaskHandles {
    pub(super) status: ComponentStatus,
    pub(super) context: watch::Receiver<SharedContext>,
    pub(super) outgoing: mpsc::Sender<OutgoingMessage>,
    /// A message on this channel requests a new incarnation of the whole planner.
    pub(super) renewal_requests: mpsc::Sender<()>,
    pub(super) storage: StorageWriter,
    pub(super) clock: Clock,
}

/// The task that runs one component.
pub(super) struct ComponentTask<C: Component> {
    pub(super) spec: ComponentSpec<C>,
    pub(super) handles: TaskHandles,
    pub(super) mailbox: Arc<Mailbox>,
    /// Whether the component never returns from its first message, as fault injection.
    pub(super) hangs_on_message: bool,
}

/// Why a component has ended.
enum Exit {
    /// The planner is shutting down.
    Stopping,
    /// All components have to be recreated.
    NewGeneration,
    /// The component can't be created with this fleet configuration, and is disabled until the next
    /// generation.
    Disabled { generation: u64 },
    /// The component's snapshot can't be read now.
    SnapshotUnreadable,
}

/// Whether a component makes commitments under the planner's incarnation. If such a component loses its
/// state, the whole planner must continue under a new incarnation.
fn has_commitments(kind: ComponentKind) -> bool {
    matches!(kind, ComponentKind::Leases | ComponentKind::ShardGrowth)
}

/// The delay after the next failure, if the delay after this one is `backoff`.
fn next_backoff(backoff: Duration) -> Duration {
    (backoff * 2).min(RESTART_BACKOFF_MAX)
}

impl<C> ComponentTask<C>
where
    C: Component + Send,
    C::Message: Send,
    C::Error: Send,
{
    /// Runs the component until the planner stops.
    pub(super) async fn run(self) {
        let mut backoff = RESTART_BACKOFF_INITIAL;
        loop {
            let started_at = self.handles.clock.now();
            match AssertUnwindSafe(self.run_once()).catch_unwind().await {
                Ok(Exit::Stopping) => return,
                Ok(Exit::NewGeneration) => backoff = RESTART_BACKOFF_INITIAL,
                Ok(Exit::Disabled { generation }) => {
                    if self.wait_for_generation_after(generation).await.is_err() {
                        return;
                    }
                }
                Ok(Exit::SnapshotUnreadable) => {
                    self.drop_messages_until(sleep(backoff)).await;
                    backoff = next_backoff(backoff);
                }
                Err(_) => backoff = self.recover_from_panic(started_at, backoff).await,
            }
        }
    }

    /// Logs a panic, waits until the component may be recreated, and returns the delay after its next
    /// failure.
    async fn recover_from_panic(&self, started_at: Time, backoff: Duration) -> Duration {
        let kind = self.spec.kind;
        log::error!(
            event = "task_failed", task = kind.name();
            "the task of the component {kind} panicked and is restarted in {} ms. Report the log lines before this one.",
            backoff.as_millis()
        );
        if has_commitments(kind) {
            // A full channel means that a renewal is already requested.
            let _ = self.handles.renewal_requests.try_send(());
        }
        self.drop_messages_until(sleep(backoff)).await;
        let ran_for = Duration::from_micros((self.handles.clock.now() - started_at).0);
        if ran_for > RESTART_BACKOFF_MAX { RESTART_BACKOFF_INITIAL } else { next_backoff(backoff) }
    }

    /// Waits for the next generation. Each change of the context would be too often, since every attempt to
    /// create the component logs again that the component is disabled.
    async fn wait_for_generation_after(&self, generation: u64) -> Result<(), watch::error::RecvError> {
        let mut context = self.handles.context.clone();
        let next = async move {
            context.wait_for(|c| c.generation != generation || c.is_stopping).await?;
            Ok(())
        };
        self.drop_messages_until(next).await
    }

    /// Waits for an event while the component does not run, and drops the component's messages meanwhile. A
    /// full mailbox would delay messages for other components.
    async fn drop_messages_until<T>(&self, event: impl Future<Output = T>) -> T {
        let drop_messages = async {
            loop {
                self.mailbox.receive().await;
            }
        };
        tokio::select! {
            output = event => output,
            () = drop_messages => unreachable!("the loop never ends"),
        }
    }

    /// Creates the component, runs it until it has to end or to be recreated, and returns the reason.
    async fn run_once(&self) -> Exit {
        let mut context_updates = self.handles.context.clone();
        let context = context_updates.borrow_and_update().clone();
        if context.is_stopping {
            return Exit::Stopping;
        }
        let component = match self.create(&context).await {
            Ok(component) => component,
            Err(exit) => return exit,
        };
        RunningComponent::new(self, component, context).run(context_updates).await
    }

    /// Creates the component from its last snapshot.
    async fn create(&self, context: &SharedContext) -> Result<C, Exit> {
        let kind = self.spec.kind;
        let snapshot = match self.handles.storage.read(kind).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log::error!(
                    event = "task_disabled", task = kind.name();
                    "the component {kind} is not started yet, since its stored state can't be read: {error}. {}",
                    error.remediation()
                );
                return Err(Exit::SnapshotUnreadable);
            }
        };
        let now = self.handles.clock.now();
        // A component that is recreated within one incarnation of the planner gets a greater incarnation of
        // its own.
        let incarnation = Incarnation(context.incarnation.0.max(now.0));
        let fleet_config = &context.fleet_config;
        let create = CreateContext { fleet_config, incarnation, now, snapshot: snapshot.as_deref() };
        (self.spec.create)(create).map_err(|error| {
            log::info!(
                event = "task_disabled", task = kind.name();
                "the component {kind} is disabled: {error}. {}", error.remediation()
            );
            Exit::Disabled { generation: context.generation }
        })
    }
}

#[cfg(test)]
mod tests;
