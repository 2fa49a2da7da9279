//! The signals of a serving node: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration.

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

/// Receives signals and turns them into orders for the node. Its descriptor is readable while signals are pending.
pub struct SignalHandler {
    signals: SignalDelivery<UnixStream, SignalOnly>,
    config_path: Option<PathBuf>,
    /// What the node was started with, with the settings in force.
    running: Config,
    /// `None` without a control-plane agent.
    fleet_config: Option<FleetConfigReloader>,
}

impl SignalHandler {
    /// Starts to receive signals, which from then on no longer end the process by themselves.
    ///
    /// # Errors
    /// Returns the system's error if the signals cannot be received.
    pub fn install(
        config_path: Option<PathBuf>,
        running: Config,
        fleet_config: Option<FleetConfigReloader>,
    ) -> io::Result<SignalHandler> {
        let (read, write) = UnixStream::pair()?;
        let signals = SignalDelivery::with_pipe(read, write, SignalOnly, [SIGINT, SIGTERM, SIGHUP])?;
        Ok(SignalHandler { signals, config_path, running, fleet_config })
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.running
    }

    /// Reads all configuration files again. A file that is not valid is logged and changes nothing.
    fn reload(&mut self) -> Option<NodeCommand> {
        if let Some(fleet_config) = &self.fleet_config {
            fleet_config.reload();
        }
        match load_config(self.config_path.as_deref()) {
            Ok(config) => Some(NodeCommand::Reload(self.apply(config))),
            Err(error) => {
                log::error!(event = "reload_refused"; "{error}; the former configuration stays in force");
                None
            }
        }
    }

    /// Takes over what a running node can apply, and logs what it cannot.
    fn apply(&mut self, mut config: Config) -> ReloadableConfig {
        log::info!(event = "reloaded"; "configuration reloaded: {config}");
        for key in config.keys_requiring_restart(&self.running) {
            log::warn!(event = "reload_requires_restart", key = key; "configuration, {key}: it differs, and takes effect at the next start only");
        }
        let settings = self.merge_settings(&mut config);
        let reloadable = ReloadableConfig { settings, ..config.reloadable() };
        self.running.adopt_settings(config);
        reloadable
    }

    fn merge_settings(&self, config: &mut Config) -> Option<Box<DecodedSettings>> {
        match config.merge_settings(&self.running) {
            Ok(settings) => settings,
            Err(fault) => {
                log::warn!(event = "settings_refused"; "configuration, {fault}: the settings take effect at the next start only");
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
        let mut orders = Vec::new();
        for signal in pending {
            if signal == SIGHUP {
                orders.extend(self.reload());
            } else {
                orders.push(NodeCommand::Shutdown);
            }
        }
        orders
    }
}
