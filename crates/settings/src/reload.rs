//! Merges new settings into those of a running node.

use granitelb_balancer::settings::{RequestClass, Settings};

use crate::error::SettingsError;
use crate::{DecodedSettings, Names};

/// Largest number of request classes that a node can have from its start on, those no longer offered
/// included.
const MAX_REQUEST_CLASSES: usize = 256;
/// Prefix of the names of request classes that are no longer offered. No request path contains a line break,
/// so that no client can request them.
const WITHDRAWN_PREFIX: char = '\n';

impl DecodedSettings {
    /// Returns these settings for a node that runs with the settings `running`. All request classes of
    /// `running` keep their positions, including those that are no longer offered. A class whose terms differ
    /// is added as a new class.
    ///
    /// # Errors
    ///
    /// Returns an error with the key whose change requires a restart of the node.
    pub fn merged_into(&self, running: &DecodedSettings) -> Result<DecodedSettings, SettingsError> {
        self.check_reloadable(running)?;
        let mut merged = DecodedSettings {
            balancer_settings: Settings {
                request_classes: running.balancer_settings.request_classes.clone(),
                ..self.balancer_settings.clone()
            },
            names: Names { request_classes: running.names.request_classes.clone(), ..self.names.clone() },
            client_timeouts: running.client_timeouts.clone(),
            ..self.clone()
        };
        merged.withdraw_all_classes();
        for index in 0..self.balancer_settings.request_classes.len() {
            merged.offer_class(self, index, running.balancer_settings.request_classes.len());
        }
        if merged.balancer_settings.request_classes.len() > MAX_REQUEST_CLASSES {
            return Err(SettingsError::new(
                "Products",
                format!(
                    "more than {MAX_REQUEST_CLASSES} request classes were in use since the start of the node"
                ),
            ));
        }
        merged.prefix_withdrawn_names();
        Ok(merged)
    }

    /// Checks what cannot change while a node runs: the origin's kind, and the positions of the kinds and
    /// zones, by which the endpoint list refers to them.
    fn check_reloadable(&self, running: &DecodedSettings) -> Result<(), SettingsError> {
        if running.balancer_settings.origin != self.balancer_settings.origin {
            return Err(SettingsError::new(
                "Specifics.OriginKind",
                "the origin's kind differs, which cannot change while the node runs",
            ));
        }
        check_positions("Shapes", &running.names.kinds, &self.names.kinds)?;
        check_positions("Zones", &running.names.zones, &self.names.zones)
    }

    /// Withdraws all request classes, and restores the names that they had while offered.
    fn withdraw_all_classes(&mut self) {
        for class in &mut self.balancer_settings.request_classes {
            class.is_offered = false;
        }
        for name in &mut self.names.request_classes {
            *name = name.trim_start_matches(WITHDRAWN_PREFIX).into();
        }
    }

    /// Offers the request class at `index` of `new`: as the class with the same name and terms among the
    /// first `known` classes, else as a new class.
    fn offer_class(&mut self, new: &DecodedSettings, index: usize, known: usize) {
        let class = &new.balancer_settings.request_classes[index];
        let same = (0..known).find(|&position| {
            self.names.request_classes[position] == new.names.request_classes[index]
                && self.client_timeouts[position] == new.client_timeouts[index]
                && has_same_terms(&self.balancer_settings.request_classes[position], class)
        });
        if let Some(position) = same {
            self.balancer_settings.request_classes[position].is_offered = true;
            return;
        }
        self.balancer_settings.request_classes.push(class.clone());
        self.names.request_classes.push(new.names.request_classes[index].clone());
        self.client_timeouts.push(new.client_timeouts[index]);
    }

    /// Prefixes the names of the request classes that are not offered, so that no request matches them.
    fn prefix_withdrawn_names(&mut self) {
        let classes = &self.balancer_settings.request_classes;
        for (name, class) in self.names.request_classes.iter_mut().zip(classes) {
            if !class.is_offered {
                name.insert(0, WITHDRAWN_PREFIX);
            }
        }
    }
}

/// Whether a known class, offered or not, has the same terms as a new class.
fn has_same_terms(known: &RequestClass, new: &RequestClass) -> bool {
    let known = RequestClass { is_offered: true, ..known.clone() };
    known == *new
}

/// Checks that all names in use keep their positions. New names may only be appended.
fn check_positions(key: &str, running: &[String], new: &[String]) -> Result<(), SettingsError> {
    if new.starts_with(running) {
        return Ok(());
    }
    Err(SettingsError::new(
        key,
        "names in use would change their positions; append new names, or restart the node",
    ))
}
