//! The endpoints that accept requests, translated from discovery's endpoint lists to the balancer's types.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::EndpointUpdate;
use granitelb_balancer::balancer::REMOVED_ENDPOINT_TTL;
use granitelb_balancer::ids::{CellId, EndpointId, KindId, ZoneId};
use granitelb_balancer::time::{Span, Time};
use granitelb_settings::Names;

use super::stable_hash::stable_hash;
use crate::http::{EndpointEntry, EndpointListUpdate, EndpointState};

/// The bit that is set in the numbers of zones and cells without a name in the settings. It makes these
/// numbers differ from those of named zones and cells.
const UNNAMED_FLAG: u32 = 1 << 31;

/// An endpoint that accepts requests.
pub struct KnownEndpoint {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's attributes, as reported to the balancer.
    pub update: EndpointUpdate,
}

impl KnownEndpoint {
    /// The process that serves the endpoint, as far as the list tells.
    pub(super) fn incarnation(&self) -> Incarnation {
        Incarnation { address: self.address, started: self.update.started }
    }
}

/// A process that serves an endpoint. Its successor under the same identifier has another address or start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Incarnation {
    /// The address at which the process listens.
    pub(super) address: SocketAddr,
    /// When the process started; `None` for long ago.
    started: Option<Time>,
}

/// Translates endpoint lists for the balancer and stores the endpoints that may get attempts.
///
/// Invariant: no two endpoints have the same address, and each endpoint in `unlisted_since` is in `endpoints`
/// too.
pub(super) struct EndpointDirectory {
    names: Names,
    /// Whether only an entry in state `Draining` removes an endpoint at once. An endpoint that is missing
    /// from the list, or listed as `Removed`, is then kept for [`REMOVED_ENDPOINT_TTL`], since the balancer
    /// may doubt the list.
    keep_unlisted: bool,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// The endpoints that are kept although the list does not contain them as active, each with the time when
    /// the list first did not.
    unlisted_since: BTreeMap<EndpointId, Time>,
}

impl EndpointDirectory {
    /// Creates an empty directory. `names` are the names of kinds and zones in the settings.
    pub(super) fn new(names: Names, keep_unlisted: bool) -> EndpointDirectory {
        EndpointDirectory {
            names,
            keep_unlisted,
            endpoints: BTreeMap::new(),
            unlisted_since: BTreeMap::new(),
        }
    }

    /// Replaces the settings by which later lists are applied.
    pub(super) fn on_settings_update(&mut self, names: Names, keep_unlisted: bool) {
        self.names = names;
        self.keep_unlisted = keep_unlisted;
    }

    /// The endpoints that may get attempts.
    pub(super) fn endpoints(&self) -> &BTreeMap<EndpointId, KnownEndpoint> {
        &self.endpoints
    }

    /// Applies a list, and returns the updates for the balancer.
    pub(super) fn apply(&mut self, now: Time, list: &EndpointListUpdate) -> Vec<EndpointUpdate> {
        let listed: Vec<_> = list.entries.iter().map(|entry| self.known_endpoint(entry)).collect();
        let mut updates = Vec::with_capacity(listed.len());
        for endpoint in &listed {
            self.remove_replaced(endpoint, &mut updates);
            self.apply_entry(endpoint);
            updates.push(endpoint.update);
        }
        self.expire_unlisted(now, &listed, list.complete);
        updates
    }

    /// Removes other endpoints at the address of a listed endpoint that is ready, and reports them to the
    /// balancer as draining. Their attempts would go to the wrong endpoint, even where the balancer doubts
    /// the list.
    fn remove_replaced(&mut self, endpoint: &KnownEndpoint, updates: &mut Vec<EndpointUpdate>) {
        if !endpoint.update.ready {
            return;
        }
        let is_replaced = |id: &EndpointId, known: &mut KnownEndpoint| {
            known.address == endpoint.address && *id != endpoint.update.id
        };
        for (_, replaced) in self.endpoints.extract_if(.., is_replaced) {
            updates.push(EndpointUpdate { ready: false, draining: true, ..replaced.update });
        }
    }

    fn apply_entry(&mut self, endpoint: &KnownEndpoint) {
        let KnownEndpoint { address, update } = *endpoint;
        let was_known = if update.ready {
            self.endpoints.insert(update.id, KnownEndpoint { address, update }).is_some()
        } else if self.keep_unlisted && !update.draining {
            false
        } else {
            self.endpoints.remove(&update.id).is_some()
        };
        if was_known != update.ready {
            let (event, change) = if update.ready {
                ("endpoint_ready", "now accepts requests")
            } else {
                ("endpoint_removed", "no longer accepts requests")
            };
            let id = format!("{:016x}", update.id.0);
            log::debug!(
                event = event, endpoint = id, address:% = address;
                "endpoint {id} at {address} {change}, as the endpoint list states"
            );
        }
    }

    /// Removes endpoints that the list has not contained as active for [`REMOVED_ENDPOINT_TTL`]; without
    /// `keep_unlisted`, at once.
    fn expire_unlisted(&mut self, now: Time, listed: &[KnownEndpoint], is_complete: bool) {
        for id in self.endpoints.keys() {
            // An endpoint that was replaced under the same name is listed twice, as ended and as started: the
            // last entry counts.
            match listed.iter().rfind(|endpoint| endpoint.update.id == *id) {
                Some(endpoint) if endpoint.update.ready => {
                    self.unlisted_since.remove(id);
                }
                None if !is_complete => {}
                Some(_) | None => {
                    self.unlisted_since.entry(*id).or_insert(now);
                }
            }
        }
        let kept_for = if self.keep_unlisted { REMOVED_ENDPOINT_TTL } else { Span::ZERO };
        let unlisted_since = &self.unlisted_since;
        self.endpoints.retain(|id, _| unlisted_since.get(id).is_none_or(|since| now - *since < kept_for));
        let endpoints = &self.endpoints;
        self.unlisted_since.retain(|id, _| endpoints.contains_key(id));
    }

    /// Translates an entry of the list to the balancer's types.
    fn known_endpoint(&self, entry: &EndpointEntry) -> KnownEndpoint {
        let kind = index_of(&self.names.kinds, &entry.kind).unwrap_or(usize::MAX);
        let started_at = Time(entry.boot_ms.saturating_mul(1000));
        let update = EndpointUpdate {
            id: EndpointId(stable_hash(entry.uid.as_bytes())),
            kind: KindId(kind as u16),
            size: entry.size,
            zone: ZoneId(self.zone_number(entry)),
            cell: CellId(entry.cell.map_or_else(|| unnamed_number(&entry.uid), u32::from)),
            ready: entry.state == EndpointState::Active,
            draining: entry.state == EndpointState::Draining,
            started: (entry.boot_ms != 0).then_some(started_at),
        };
        KnownEndpoint { address: entry.address, update }
    }

    /// The number of an entry's zone.
    ///
    /// Each zone without a name in the settings has a number of its own. With a shared number, all of them
    /// would count as one zone, and a request that may be repeated only within its zone would run again in
    /// another zone. An entry without a zone has a number of its own too, since no other endpoint is known to
    /// be in its zone.
    fn zone_number(&self, entry: &EndpointEntry) -> u32 {
        match index_of(&self.names.zones, &entry.zone) {
            Some(index) => index as u32,
            None if entry.zone.is_empty() => unnamed_number(&entry.uid),
            None => unnamed_number(&entry.zone),
        }
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn unnamed_number(name: &str) -> u32 {
    UNNAMED_FLAG | stable_hash(name.as_bytes()) as u32
}
