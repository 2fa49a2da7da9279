//! The components of a planner: one for each section of the fleet configuration, each on its own thread with
//! its own mailbox. All threads are started when the planner starts. A component whose section is absent gets
//! no messages, and is created when a reload adds the section.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use granitelb_balancer::time::Span;
use granitelb_coordination::PlannerId;
use granitelb_coordination::component::{Component, Remediation};
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{counterfactual, endpoint_health, leases, shard_growth};
use thiserror::Error;

use super::component_task::{ComponentSpec, ComponentTask, CreateError, ExchangeStatus, TaskHandles};
use super::liveness::{LivenessCounter, LivenessMonitor};
use super::mailbox::Mailbox;
use super::worker_threads::WorkerThreads;
use crate::fault_injection::FaultInjection;

/// The capacity of a component's mailbox, in messages: some seconds of a large fleet's messages, and at most
/// 6 MB.
const MAILBOX_CAPACITY: usize = 4096;

/// Why a component is not created.
#[derive(Debug, Error)]
pub enum ComponentCreateError {
    /// The section of the component is absent from the fleet configuration.
    #[error("the operator's file has no section for this component")]
    Disabled,
}

impl Remediation for ComponentCreateError {
    fn remediation(&self) -> &'static str {
        match self {
            ComponentCreateError::Disabled => {
                "Nothing, if the component is meant to be disabled; else add its section to the operator's file of all \
                 members."
            }
        }
    }
}

/// The error of a component whose section is absent.
fn disabled() -> CreateError {
    Box::new(ComponentCreateError::Disabled)
}

/// The message router's access to a component.
pub(super) struct ComponentHandle {
    pub(super) mailbox: Arc<Mailbox>,
    pub(super) liveness: LivenessMonitor,
}

/// The handles of all components.
pub(super) type ComponentHandles = BTreeMap<ComponentKind, ComponentHandle>;

/// Starts the components' tasks.
pub(super) struct ComponentSpawner {
    pub(super) me: PlannerId,
    pub(super) handles: TaskHandles,
    pub(super) fault_injection: FaultInjection,
}

impl ComponentSpawner {
    /// Starts the tasks of all components, each on a thread of its own.
    ///
    /// # Errors
    /// Returns the system's error if a thread can't be started.
    pub(super) fn spawn_all(&self, threads: &mut WorkerThreads) -> io::Result<ComponentHandles> {
        let mut components = BTreeMap::new();
        components.insert(ComponentKind::EndpointHealth, self.spawn(threads, endpoint_health_spec(self.me))?);
        components.insert(ComponentKind::Leases, self.spawn(threads, leases_spec(self.me))?);
        components.insert(ComponentKind::ShardGrowth, self.spawn(threads, shard_growth_spec(self.me))?);
        components.insert(ComponentKind::Counterfactual, self.spawn(threads, counterfactual_spec(self.me))?);
        Ok(components)
    }

    fn spawn<C>(&self, threads: &mut WorkerThreads, spec: ComponentSpec<C>) -> io::Result<ComponentHandle>
    where
        C: Component + Send + 'static,
        C::Message: Send,
        C::Error: Send,
    {
        let kind = spec.kind;
        let mailbox = Arc::new(Mailbox::new(MAILBOX_CAPACITY));
        let task = ComponentTask {
            spec,
            handles: self.handles.clone(),
            mailbox: mailbox.clone(),
            hangs_on_message: self.fault_injection.hangs(kind),
        };
        let counter = LivenessCounter::default();
        threads.spawn(kind.name(), counter.monitor(task.run()))?;
        let timeouts = self.fault_injection.liveness_timeouts();
        let liveness = LivenessMonitor::new(counter, timeouts, self.handles.clock.now());
        Ok(ComponentHandle { mailbox, liveness })
    }
}

fn endpoint_health_spec(me: PlannerId) -> ComponentSpec<endpoint_health::PlannerComponent> {
    ComponentSpec {
        kind: ComponentKind::EndpointHealth,
        create: Box::new(move |context| {
            let settings = context.fleet_config.health_settings();
            Ok(endpoint_health::PlannerComponent::new(settings, me, context.incarnation, context.now))
        }),
        wrap: Message::EndpointHealth,
        unwrap: |message| match message {
            Message::EndpointHealth(message) => Some(message),
            _ => None,
        },
        exchange_status: Some(Box::new(|component, now, _, status| {
            status.publish_failing_endpoints(now, component.failing());
        })),
    }
}

fn leases_spec(me: PlannerId) -> ComponentSpec<leases::PlannerComponent> {
    ComponentSpec {
        kind: ComponentKind::Leases,
        create: Box::new(move |context| {
            let settings = context.fleet_config.lease_settings().ok_or_else(disabled)?;
            Ok(leases::PlannerComponent::new(settings, me, context.incarnation, context.now))
        }),
        wrap: Message::Leases,
        unwrap: |message| match message {
            Message::Leases(message) => Some(message),
            _ => None,
        },
        exchange_status: Some(Box::new(|component, now, _, status| {
            status.publish_spare_capacity(now, component.surplus(now));
        })),
    }
}

fn shard_growth_spec(me: PlannerId) -> ComponentSpec<shard_growth::PlannerComponent> {
    ComponentSpec {
        kind: ComponentKind::ShardGrowth,
        create: Box::new(move |context| {
            let now = context.now;
            let settings = context.fleet_config.growth_settings().ok_or_else(disabled)?;
            // The clock of each process is set to Unix time, so that all planners are on the same accounting
            // day, except for a short time around the change of days.
            let day = shard_growth::accounting_day::AccountingDay((now.0 / settings.day_length.0) as u32);
            let calendar =
                shard_growth::Calendar { at: now, day, elapsed_in_day: Span(now.0 % settings.day_length.0) };
            let component = shard_growth::PlannerComponent::new(
                settings,
                me,
                context.incarnation,
                now,
                calendar,
                context.snapshot,
            );
            component.map_err(|error| -> CreateError { Box::new(error) })
        }),
        wrap: Message::ShardGrowth,
        unwrap: |message| match message {
            Message::ShardGrowth(message) => Some(message),
            _ => None,
        },
        exchange_status: Some(Box::new(|component, now, fleet_config, status| {
            let configured_per_s =
                fleet_config.shard_growth.as_ref().and_then(|growth| growth.spare_fetches_per_s);
            component.set_fleet_status(status.fleet_status(
                now,
                fleet_config.leases.is_some(),
                configured_per_s,
            ));
            status.publish_shard_map_version(component.last_migration_version());
        })),
    }
}

fn counterfactual_spec(me: PlannerId) -> ComponentSpec<counterfactual::PlannerComponent> {
    ComponentSpec {
        kind: ComponentKind::Counterfactual,
        create: Box::new(move |context| {
            let settings = context.fleet_config.counterfactual_settings().ok_or_else(disabled)?;
            Ok(counterfactual::PlannerComponent::new(settings, me, context.incarnation, context.now))
        }),
        wrap: Message::Counterfactual,
        unwrap: |message| match message {
            Message::Counterfactual(message) => Some(message),
            _ => None,
        },
        exchange_status: Some(discard_samples_of_old_shard_maps()),
    }
}

/// Notifies the counterfactual component once of each new shard map, so that it discards samples of older
/// ones. Shard growth that has just started publishes version 0, which is no new shard map.
fn discard_samples_of_old_shard_maps() -> ExchangeStatus<counterfactual::PlannerComponent> {
    let known_version = AtomicU64::new(0);
    Box::new(move |component, now, _, status| {
        let Some(version) = status.shard_map_version() else { return };
        if version.0 == 0 {
            return;
        }
        if known_version.swap(version.0, Ordering::Relaxed) != version.0 {
            component.on_shard_map_change(now);
        }
    })
}

#[cfg(test)]
mod tests;
