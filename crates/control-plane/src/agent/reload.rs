//! Passes a new fleet configuration to a running agent.

use std::sync::{Arc, Mutex, PoisonError};

use crate::fleet_config::FleetConfig;

/// Gives a running agent a new fleet configuration, which it applies in its next round. Clones refer to the same agent.
#[derive(Clone, Default)]
pub struct ConfigReloadHandle(Arc<Mutex<Option<FleetConfig>>>);

impl ConfigReloadHandle {
    /// Hands over a configuration, in place of one that was not applied yet.
    pub fn reload(&self, config: FleetConfig) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(config);
    }

    /// Takes the configuration that is to be applied, if there is one.
    pub(super) fn take(&self) -> Option<FleetConfig> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
