//! The endpoints that accept requests, as discovery lists them, in the balancer's terms.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::EndpointUpdate;
use granitelb_balancer::balancer::REMOVED_ENDPOINT_TTL;
use granitelb_balancer::ids::{CellId, EndpointId, KindId, ZoneId};
use granitelb_balancer::time::{Span, Time};
use granitelb_settings::Names;

use super::stable_hash::stable_hash;
use crate::http::{EndpointEntry, EndpointListUpdate, EndpointState};

/// Set in the numbers of zones and cells that the settings don't name, so that they differ from those of
/// named ones.
const UNNAMED_FLAG: u32 = 1 << 31;

/// An endpoint that accepts requests.
pub struct KnownEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// What the balancer was told of it.
    pub update: EndpointUpdate,
}

/// Translates endpoint lists for the balancer and keeps the endpoints that may get attempts.
///
/// Invariant: no two endpoints have the same address, and `unlisted_since` has no endpoint that `endpoints`
/// lacks.
pub(super) struct EndpointDirectory {
    names: Names,
    /// Whether only the announcement that an endpoint drains is binding: one that the list merely lacks is
    /// then kept for a while, since the balancer may doubt the list.
    keep_unlisted: bool,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// The endpoints that are kept although the list lacks them, and since when it does.
    unlisted_since: BTreeMap<EndpointId, Time>,
}

impl EndpointDirectory {
    /// An empty directory under the settings' names of kinds and zones.
    pub(super) fn new(names: Names, keep_unlisted: bool) -> EndpointDirectory {
        EndpointDirectory {
            names,
            keep_unlisted,
            endpoints: BTreeMap::new(),
            unlisted_since: BTreeMap::new(),
        }
    }

    /// Uses other settings for lists from now on.
    pub(super) fn on_settings_update(&mut self, names: Names, keep_unlisted: bool) {
        self.names = names;
        self.keep_unlisted = keep_unlisted;
    }

    /// The endpoints that may get attempts.
    pub(super) fn endpoints(&self) -> &BTreeMap<EndpointId, KnownEndpoint> {
        &self.endpoints
    }

    /// Applies a list, and returns it in the balancer's terms.
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

    /// Removes the endpoints whose address this one takes over: attempts for them would go to an endpoint
    /// that is not meant, whatever the balancer makes of the list.
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
            let event = if update.ready { "endpoint_ready" } else { "endpoint_removed" };
            let id = format!("{:016x}", update.id.0);
            log::debug!(event = event, endpoint = id, address:% = address; "endpoint at {address}: {event}");
        }
    }

    /// Removes the endpoints that the list has lacked for too long.
    fn expire_unlisted(&mut self, now: Time, listed: &[KnownEndpoint], is_complete: bool) {
        for id in self.endpoints.keys() {
            // An endpoint that was replaced under its name is listed twice, with its end and its start: the
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

    /// Translates an entry.
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

    /// The number of an entry's zone. Zones that the settings don't name get a number each: under a shared
    /// one they would count as one zone, and a request that may be repeated within a zone only would run
    /// again in another. Where no zone is given, no other endpoint is known to be in the same one.
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
