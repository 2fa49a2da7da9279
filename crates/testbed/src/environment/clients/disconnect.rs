//! Decides when clients disconnect before they have a response: single clients at random, or many at once by
//! a fault.

use std::time::Duration;

use tokio::sync::watch;

use super::super::wire::{self, hash_stream};
use crate::experiment;

/// The most recent mass disconnect of clients.
#[derive(Clone, Debug, Default)]
pub struct MassDisconnect {
    /// Number of mass disconnects in the run so far.
    pub count: u64,
    /// Share of the clients that disconnect among those that wait for a response, from 0 to 1.
    pub share: f64,
    /// Indices of the nodes whose clients are affected.
    pub nodes: Vec<usize>,
}

/// Returns when the client of an attempt disconnects; never returns if the client waits for the response.
pub async fn wait_for_disconnect(
    attempt_id: &str,
    node: usize,
    clients: &experiment::ClientBehavior,
    mass_disconnect: watch::Receiver<MassDisconnect>,
) {
    tokio::select! {
        () = early_disconnect(attempt_id, clients) => {}
        () = mass_disconnects(attempt_id, node, mass_disconnect) => {}
    }
}

/// Returns when the client disconnects early, for the share `abandon_share` of attempts; never returns for
/// the others.
async fn early_disconnect(attempt_id: &str, clients: &experiment::ClientBehavior) {
    if wire::uniform_hash(attempt_id, hash_stream::EARLY_DISCONNECT) < clients.abandon_share {
        let ms =
            clients.abandon_within_ms * wire::uniform_hash(attempt_id, hash_stream::EARLY_DISCONNECT_DELAY);
        tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
    } else {
        std::future::pending().await
    }
}

/// Returns when a mass disconnect affects the client of an attempt.
async fn mass_disconnects(attempt_id: &str, node: usize, mut receiver: watch::Receiver<MassDisconnect>) {
    receiver.borrow_and_update();
    while receiver.changed().await.is_ok() {
        let disconnect = receiver.borrow_and_update().clone();
        let stream = disconnect.count + hash_stream::MASS_DISCONNECT;
        if disconnect.nodes.contains(&node) && wire::uniform_hash(attempt_id, stream) < disconnect.share {
            return;
        }
    }
    std::future::pending().await
}
