//! The channel that passes a new fleet configuration to a running agent.

use std::sync::{Arc, Mutex, PoisonError};

use crate::fleet_config::FleetConfig;

/// Passes new fleet configurations to a running agent, which applies them in its next round. Clones refer to
/// the same agent.
#[derive(Clone, Default)]
pub struct ConfigReloadHandle(Arc<Mutex<Option<FleetConfig>>>);

impl ConfigReloadHandle {
    /// Passes a configuration to the agent. It replaces a configuration that the agent has not applied yet.
    pub fn reload(&self, config: FleetConfig) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(config);
    }

    /// Takes the configuration that is to be applied, if there is one.
    pub(super) fn take(&self) -> Option<FleetConfig> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
