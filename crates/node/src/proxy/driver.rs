//! Tells the decisions what happened, and carries out what they decide.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::balancer::{Balancer, REMEMBERED};
use granitelb_balancer::calls::EndpointUpdate;
use granitelb_balancer::ids::{CellId, EndpointId, KindId, ZoneId};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_settings::Names;

use super::clients::{Clients, stable_hash};
use super::exchange::{Exchanges, FinalAnswer, FinishedAttempt};
use super::servers::Servers;
use super::watch::{Heard, Watch};
use super::witness::ObservationRecorder;
use crate::http::{Entry, Listings, State};
use crate::transport::Transport;

pub struct Driver {
    balancer: Balancer,
    names: Names,
    /// The caches that may get shots, and where they are.
    placed: BTreeMap<EndpointId, (SocketAddr, EndpointUpdate)>,
    /// Since when the list lacks some of them, where only draining binds: the decisions may doubt it.
    dropped: BTreeMap<EndpointId, Time>,
    only_draining_binds: bool,
    /// How many caches and origins could get shots when the log last told.
    ready: usize,
    /// Where the node is one of a fleet that decides together.
    witness: Option<ObservationRecorder>,
}

/// Everything that decisions are carried out on.
pub struct Sides<'a> {
    pub transport: &'a mut Transport,
    pub exchanges: &'a mut Exchanges,
    pub clients: &'a mut Clients,
    pub servers: &'a mut Servers,
    pub watch: &'a mut Watch,
}

impl Driver {
    pub fn new(
        balancer: Balancer,
        names: Names,
        only_draining_binds: bool,
        witness: Option<ObservationRecorder>,
    ) -> Driver {
        let (placed, dropped) = (BTreeMap::new(), BTreeMap::new());
        Driver { balancer, names, placed, dropped, only_draining_binds, ready: 0, witness }
    }

    /// Goes on under other settings.
    pub fn move_to(&mut self, now: Time, settings: Settings, names: Names) {
        if let Some(witness) = &mut self.witness {
            witness.move_to(settings.clone());
        }
        self.only_draining_binds = settings.only_draining_binds;
        self.balancer.on_settings_update(now, settings);
        self.names = names;
    }

    /// The list as an earlier life of this node had it.
    pub fn remembered(&mut self, sides: &mut Sides<'_>, now: Time, known: &Listings) {
        let listings = self.listings(sides, now, known);
        self.balancer.on_endpoints_restored(now, &listings);
    }

    /// Has the list told from the start where nobody has to ask for it: on sockets a watch is how it is told. The
    /// decisions ask for one only where the list comes on request, or once one is lost.
    pub fn watch_unasked(&mut self, sides: &mut Sides<'_>, now: Time) {
        if let Some(heard) = sides.watch.ask(sides.transport, now) {
            self.on_message(sides, now, &heard);
        }
    }

    pub fn on_message(&mut self, sides: &mut Sides<'_>, now: Time, heard: &Heard) {
        match heard {
            Heard::Listed(list) => {
                let listings = self.listings(sides, now, list);
                let ready = self.placed.len();
                if std::mem::replace(&mut self.ready, ready) != ready {
                    log::info!(
                        event = "list_changed", revision = list.revision, ready = ready;
                        "the list at revision {}: {ready} caches may get shots", list.revision
                    );
                }
                self.balancer.on_endpoints_update(now, &listings, list.complete);
            }
            Heard::Lost => self.balancer.on_endpoints_watch_failed(now),
        }
    }

    /// Tells the server side where the caches are, and puts them in the module's words.
    fn listings(&mut self, sides: &mut Sides<'_>, now: Time, list: &Listings) -> Vec<EndpointUpdate> {
        let Sides { transport, exchanges, servers, .. } = sides;
        let told: Vec<_> = list.entries.iter().map(|entry| (entry.endpoint, self.listing(entry))).collect();
        let mut listings = Vec::with_capacity(told.len());
        for (endpoint, listing) in &told {
            // One that takes over an address ends whoever had it: its shots would go to a cache that is not meant.
            let takes_over =
                |id: &EndpointId, at: SocketAddr| listing.ready && at == *endpoint && *id != listing.cache;
            for (_, (_, gone)) in self.placed.extract_if(.., |id, (at, _)| takes_over(id, *at)) {
                // Its place is another's: whatever the list is worth, nothing may go there for it.
                listings.push(EndpointUpdate { ready: false, draining: true, ..gone });
            }
            let keeps = self.only_draining_binds && !listing.draining;
            let before = match listing.ready {
                true => self.placed.insert(listing.cache, (*endpoint, *listing)),
                false if keeps => None,
                false => self.placed.remove(&listing.cache),
            };
            if before.is_some() != listing.ready {
                let event = if listing.ready { "cache_ready" } else { "cache_left" };
                let cache = format!("{:016x}", listing.cache.0);
                log::debug!(event = event, cache = cache, endpoint:% = endpoint; "cache at {endpoint}: {event}");
            }
            listings.push(*listing);
        }
        // A cache that was replaced under its name is named twice, with its end and its start: the last word holds.
        let named = |id: &EndpointId| told.iter().rfind(|(_, l)| l.cache == *id).map(|(_, l)| l.ready);
        for id in self.placed.keys() {
            match named(id) {
                Some(true) => drop(self.dropped.remove(id)),
                None if !list.complete => {}
                _ => drop(self.dropped.entry(*id).or_insert(now)),
            }
        }
        let keeps = if self.only_draining_binds { REMEMBERED } else { Span::ZERO };
        let over = |id: &EndpointId| self.dropped.get(id).is_some_and(|at| now - *at >= keeps);
        self.placed.retain(|id, _| !over(id));
        self.dropped.retain(|id, _| self.placed.contains_key(id));
        servers.place_all(transport, exchanges, now, &self.placed);
        if let Some(witness) = &mut self.witness {
            witness.listed(now, &self.placed);
        }
        listings
    }

    /// An entry in the module's words.
    fn listing(&self, entry: &Entry) -> EndpointUpdate {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        // Under one number zones that the settings don't name would count as one, and a call that may be repeated within
        // a zone alone would run again in another. Where none is told, nothing is known to be in the same.
        let apart = |name: &str| 1 << 31 | stable_hash(name.as_bytes()) as u32;
        let zone = match place(&self.names.zones, &entry.zone) {
            Some(place) => place as u32,
            None if entry.zone.is_empty() => apart(&entry.uid),
            None => apart(&entry.zone),
        };
        EndpointUpdate {
            cache: EndpointId(stable_hash(entry.uid.as_bytes())),
            kind: KindId(place(&self.names.kinds, &entry.kind).unwrap_or(usize::MAX) as u16),
            size: entry.size,
            zone: ZoneId(zone),
            cell: CellId(entry.cell.map_or_else(|| apart(&entry.uid), u32::from)),
            ready: entry.state == State::Active,
            draining: entry.state == State::Leaving,
            started: (entry.boot_ms != 0).then_some(Time(entry.boot_ms.saturating_mul(1000))),
        }
    }

    /// Tells what has happened and carries out what is decided, until nothing is left of either.
    pub fn settle(&mut self, sides: &mut Sides<'_>, now: Time) {
        if let Some(advice) = self.witness.as_mut().and_then(|w| w.begin_turn(now)) {
            self.balancer.on_control_plane_update(now, &advice);
        }
        loop {
            let told = self.tell(sides, now);
            let done = self.carry_out(sides, now);
            if !told && !done {
                break;
            }
        }
        if let Some(witness) = &mut self.witness {
            witness.end_turn();
        }
    }

    fn tell(&mut self, sides: &mut Sides<'_>, now: Time) -> bool {
        let exchanges = &mut *sides.exchanges;
        let mut told = false;
        while let Some(FinishedAttempt { call, end, bytes, report }) = exchanges.next_ended() {
            if let Some(report) = report {
                self.balancer.on_load_report(now, end.cache, &report);
            }
            self.balancer.on_attempt_finished(now, call, &end);
            if let Some(witness) = &mut self.witness {
                witness.ended(now, call, &end, bytes);
            }
            told = true;
        }
        while let Some((id, call)) = exchanges.next_arrived() {
            self.balancer.on_request(now, id, call);
            told = true;
        }
        while let Some(id) = exchanges.next_left() {
            self.balancer.on_client_disconnect(now, id);
            told = true;
        }
        told
    }

    fn carry_out(&mut self, sides: &mut Sides<'_>, now: Time) -> bool {
        let Sides { transport, exchanges, clients, servers, watch } = sides;
        let mut done = false;
        while let Some(shot) = self.balancer.poll_attempt(now) {
            if let Some(number) = exchanges.shoot(shot.request) {
                if let Some(witness) = &mut self.witness {
                    witness.sent(now, &self.balancer, exchanges, &shot, number);
                }
                servers.send(transport, exchanges, now, &shot, number);
            }
            done = true;
        }
        while let Some((id, answer)) = self.balancer.poll_response(now) {
            if let Some(witness) = &mut self.witness {
                witness.answered(now, exchanges, id, &answer);
            }
            exchanges.settle(id, FinalAnswer::Own(answer));
            done = true;
        }
        // After the shots and answers: asking for these is what has the decisions look at the time, and call shots off by it.
        // One that was left until something else happens would be called off too late where little does.
        while let Some((id, number)) = self.balancer.poll_cancellation() {
            servers.recall(transport, exchanges, now, id, number);
            done = true;
        }
        while let Some((call, client, answer)) = exchanges.poll_response() {
            clients.answer(transport, exchanges, now, (call, client), &answer);
            done = true;
        }
        if self.balancer.poll_watch_request(now)
            && let Some(heard) = watch.ask(transport, now)
        {
            let mut sides = Sides { transport, exchanges, clients, servers, watch };
            self.on_message(&mut sides, now, &heard);
            done = true;
        }
        done
    }

    /// The node ends: nothing is sent any more.
    pub fn close(&mut self) {
        if let Some(witness) = self.witness.take() {
            witness.close();
        }
    }

    /// When to settle again if nothing happens before.
    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        self.balancer.poll_timeout(now)
    }
}
