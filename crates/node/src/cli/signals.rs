//! The signals that a serving node heeds, put into orders for it.

use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;

use super::config::Config;
use super::load;
use super::together::Renewing;
use crate::proxy::{CommandSource, NodeCommand, ReloadableConfig};

pub struct Signals {
    signals: SignalDelivery<UnixStream, SignalOnly>,
    path: Option<PathBuf>,
    /// What the node was started with.
    running: Config,
    /// For a node of a fleet that decides together.
    renewing: Option<Renewing>,
}

impl Signals {
    pub fn heed(path: Option<PathBuf>, running: Config, renewing: Option<Renewing>) -> io::Result<Signals> {
        let (read, write) = UnixStream::pair()?;
        // Both signals that ask a program to end end it in the same way.
        let heeded = [SIGINT, SIGTERM, SIGHUP];
        let signals = SignalDelivery::with_pipe(read, write, SignalOnly, heeded)?;
        Ok(Signals { signals, path, running, renewing })
    }

    pub fn config(&self) -> &Config {
        &self.running
    }

    /// Reads the configuration again; one with a fault changes nothing.
    fn reload(&mut self) -> Option<NodeCommand> {
        if let Some(renewing) = &self.renewing {
            renewing.renew();
        }
        match load(self.path.as_deref()) {
            Ok(mut config) => {
                log::info!(event = "reloaded"; "read again: {config}");
                for key in config.for_next_start(&self.running) {
                    log::warn!(event = "reload_later", key = key; "configuration, {key}: it differs, and is taken up at the next start only");
                }
                let settings = config.move_from(&self.running).unwrap_or_else(|fault| {
                    log::warn!(event = "settings_refused"; "configuration, {fault}: the settings are taken up at the next start only");
                    None
                });
                let live = config.live();
                self.running.take_settings(config);
                Some(NodeCommand::Reload(ReloadableConfig { settings, ..live }))
            }
            Err(trouble) => {
                log::error!(event = "reload_refused"; "{trouble}; the configuration before it stays in force");
                None
            }
        }
    }
}

impl AsFd for Signals {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.signals.get_read().as_fd()
    }
}

impl CommandSource for Signals {
    fn poll_commands(&mut self) -> Vec<NodeCommand> {
        let came: Vec<_> = self.signals.pending().collect();
        let mut order = |signal| if signal == SIGHUP { self.reload() } else { Some(NodeCommand::Shutdown) };
        came.into_iter().filter_map(&mut order).collect()
    }
}
