//! The signals of a serving node: SIGTERM and SIGINT stop the node, SIGHUP reloads its configuration.

use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

use granitelb_settings::DecodedSettings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;

use super::config::Config;
use super::fleet::FleetConfigReloader;
use super::load_config;
use crate::proxy::{CommandSource, NodeCommand, ReloadableConfig};

/// Receives signals and converts them into commands for the node. Its file descriptor is readable while
/// signals are pending.
pub struct SignalHandler {
    signals: SignalDelivery<UnixStream, SignalOnly>,
    config_path: Option<PathBuf>,
    /// The configuration with which the node was started, with the settings that are in force.
    running: Config,
    /// The reloader of the fleet configuration; `None` without a control-plane agent.
    fleet_config: Option<FleetConfigReloader>,
}

impl SignalHandler {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP, which then no longer end the process.
    ///
    /// # Errors
    /// Returns the operating system's error if the handlers cannot be installed.
    pub fn install(
        config_path: Option<PathBuf>,
        running: Config,
        fleet_config: Option<FleetConfigReloader>,
    ) -> io::Result<SignalHandler> {
        let (read, write) = UnixStream::pair()?;
        let signals = SignalDelivery::with_pipe(read, write, SignalOnly, [SIGINT, SIGTERM, SIGHUP])?;
        Ok(SignalHandler { signals, config_path, running, fleet_config })
    }

    /// The configuration that is in force.
    pub fn config(&self) -> &Config {
        &self.running
    }

    /// Reloads all configuration files. If a file is not valid, the error is logged and the previous
    /// configuration stays in force.
    fn reload(&mut self) -> Option<NodeCommand> {
        if let Some(fleet_config) = &self.fleet_config {
            fleet_config.reload();
        }
        match load_config(self.config_path.as_deref()) {
            Ok(config) => Some(NodeCommand::Reload(self.apply(config))),
            Err(error) => {
                log::error!(event = "reload_refused"; "{error}; the previous configuration stays in force");
                None
            }
        }
    }

    /// Returns the part of a configuration that a running node can apply, and logs the keys that require a
    /// restart.
    fn apply(&mut self, mut config: Config) -> ReloadableConfig {
        log::info!(event = "reloaded"; "configuration reloaded: {config}");
        for key in config.keys_requiring_restart(&self.running) {
            log::warn!(event = "reload_requires_restart", key = key; "configuration, {key}: the value has changed; restart the node to apply it");
        }
        let settings = self.merge_settings(&mut config);
        let reloadable = ReloadableConfig { settings, ..config.reloadable() };
        self.running.adopt_settings(config);
        reloadable
    }

    fn merge_settings(&self, config: &mut Config) -> Option<Box<DecodedSettings>> {
        match config.merge_settings(&self.running) {
            Ok(settings) => settings,
            Err(error) => {
                log::warn!(event = "settings_refused"; "configuration, {error}; the previous settings stay in force, restart the node to apply the new ones");
                None
            }
        }
    }
}

impl AsFd for SignalHandler {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.signals.get_read().as_fd()
    }
}

impl CommandSource for SignalHandler {
    fn poll_commands(&mut self) -> Vec<NodeCommand> {
        let pending: Vec<_> = self.signals.pending().collect();
        let mut commands = Vec::new();
        for signal in pending {
            if signal == SIGHUP {
                commands.extend(self.reload());
            } else {
                commands.push(NodeCommand::Shutdown);
            }
        }
        commands
    }
}
