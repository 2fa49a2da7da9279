//! Merging new settings into those of a running node.

use granitelb_balancer::settings::{RequestClass, Settings};

use crate::error::SettingsError;
use crate::{DecodedSettings, Names};

/// The most request classes that a node can have since its start.
const MAX_REQUEST_CLASSES: usize = 256;
/// Stands before the name of a request class that clients can't ask for any more; no path contains it.
const NOT_OFFERED: char = '\n';

impl DecodedSettings {
    /// These settings for a node that runs under `running`. Its request classes keep their positions, also those that
    /// clients can't ask for any more. A class whose terms differ is a new class.
    ///
    /// # Errors
    ///
    /// Names the key whose change needs a restart of the node.
    pub fn after(&self, running: &DecodedSettings) -> Result<DecodedSettings, SettingsError> {
        self.check_reloadable(running)?;
        let mut merged = DecodedSettings {
            decisions: Settings {
                request_classes: running.decisions.request_classes.clone(),
                ..self.decisions.clone()
            },
            names: Names { request_classes: running.names.request_classes.clone(), ..self.names.clone() },
            client_timeouts: running.client_timeouts.clone(),
            ..self.clone()
        };
        merged.withdraw_all_classes();
        for index in 0..self.decisions.request_classes.len() {
            merged.offer_class(self, index, running.decisions.request_classes.len());
        }
        if merged.decisions.request_classes.len() > MAX_REQUEST_CLASSES {
            return Err(SettingsError::new("Products", "too many changed since the start"));
        }
        merged.mark_withdrawn_names();
        Ok(merged)
    }

    /// Checks what can't change while a node runs: the origin, and the positions of names that the endpoint list uses.
    fn check_reloadable(&self, running: &DecodedSettings) -> Result<(), SettingsError> {
        if running.decisions.origin != self.decisions.origin {
            return Err(SettingsError::new("Specifics.OriginKind", "the origin is another"));
        }
        check_positions("Shapes", &running.names.kinds, &self.names.kinds)?;
        check_positions("Zones", &running.names.zones, &self.names.zones)
    }

    /// Takes all request classes off offer, and restores the names that they had on offer.
    fn withdraw_all_classes(&mut self) {
        for class in &mut self.decisions.request_classes {
            class.is_offered = false;
        }
        for name in &mut self.names.request_classes {
            *name = name.trim_start_matches(NOT_OFFERED).into();
        }
    }

    /// Offers a request class of `new`: as the one of the first `known` classes that has the same terms, else as a new
    /// one.
    fn offer_class(&mut self, new: &DecodedSettings, index: usize, known: usize) {
        let class = &new.decisions.request_classes[index];
        let same = (0..known).find(|&position| {
            self.names.request_classes[position] == new.names.request_classes[index]
                && self.client_timeouts[position] == new.client_timeouts[index]
                && has_same_terms(&self.decisions.request_classes[position], class)
        });
        if let Some(position) = same {
            self.decisions.request_classes[position].is_offered = true;
            return;
        }
        self.decisions.request_classes.push(class.clone());
        self.names.request_classes.push(new.names.request_classes[index].clone());
        self.client_timeouts.push(new.client_timeouts[index]);
    }

    /// Marks the names of request classes that are not on offer.
    fn mark_withdrawn_names(&mut self) {
        let classes = &self.decisions.request_classes;
        for (name, class) in self.names.request_classes.iter_mut().zip(classes) {
            if !class.is_offered {
                name.insert(0, NOT_OFFERED);
            }
        }
    }
}

/// Whether a class has the terms of a new one, on offer or not.
fn has_same_terms(known: &RequestClass, new: &RequestClass) -> bool {
    let known = RequestClass { is_offered: true, ..known.clone() };
    known == *new
}

/// Checks that names keep their positions: new ones may only follow.
fn check_positions(key: &str, running: &[String], new: &[String]) -> Result<(), SettingsError> {
    if new.starts_with(running) {
        return Ok(());
    }
    Err(SettingsError::new(key, "names that the list has used would change places"))
}
