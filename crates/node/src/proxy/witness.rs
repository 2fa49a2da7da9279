//! What the loop tells of itself where it is one of a fleet that decides together: which servers may get shots, each
//! shot that is sent and what came of it. Nodes without an operator's file have none, and nothing here costs them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::balancer::Brain;
use granitelb_balancer::calls::{Advice, Answer, Listing, Shot, ShotEnd};
use granitelb_balancer::ids::{ApiCallId, CacheId, ShotNumber};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_control_plane::agent::{Desk, Note, Sent, call_of};
use granitelb_coordination::counterfactual::is_sampled;
use granitelb_coordination::observation::Server;

use super::exchange::Exchanges;

pub struct Witness {
    desk: Desk,
    settings: Settings,
}

impl Witness {
    pub fn new(desk: Desk, settings: Settings) -> Witness {
        Witness { desk, settings }
    }

    pub fn move_to(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// These may get shots from now on, and no others.
    pub fn listed(&mut self, now: Time, placed: &BTreeMap<CacheId, (SocketAddr, Listing)>) {
        let server = |listing: &Listing| Server {
            cache: listing.cache,
            is_origin: Some(listing.kind) == self.settings.origin,
            // For an estimate alone, in which two unnamed zones may be mixed up.
            zone: listing.zone.0 as u16,
            size: listing.size,
            started: listing.started,
            warm_after: self.settings.warm_after,
        };
        let servers = placed.values().map(|(_, listing)| server(listing)).collect();
        self.desk.note(now, Note::Listed(servers));
    }

    /// A shot goes out.
    pub fn sent(&mut self, now: Time, brain: &Brain, exchanges: &Exchanges, shot: &Shot, number: ShotNumber) {
        let Some((name, asked, message)) = exchanges.asked(shot.api_call) else { return };
        let call = call_of(name);
        let mut ranked = if is_sampled(call) { brain.ranked(asked.key) } else { Vec::new() }.into_iter();
        let sent = Sent {
            api_call: shot.api_call,
            number,
            cache: shot.cache,
            call,
            asked: *asked,
            bytes: u32::try_from(message.body.len()).unwrap_or(u32::MAX),
            slo: self.settings.products.get(usize::from(asked.product.0)).map_or(Span::ZERO, |p| p.slo),
            candidates: [ranked.next(), ranked.next(), ranked.next()],
        };
        self.desk.note(now, Note::Sent(sent));
    }

    /// A shot has ended; `bytes` is the length of the answer's body.
    pub fn ended(&mut self, now: Time, api_call: ApiCallId, end: &ShotEnd, bytes: u32) {
        self.desk.note(now, Note::Ended { api_call, end: *end, bytes });
    }

    /// The node answers a call by itself.
    pub fn answered(&mut self, now: Time, exchanges: &Exchanges, call: ApiCallId, answer: &Answer) {
        if matches!(answer, Answer::RateLimited { .. }) && exchanges.lacked(call) {
            self.desk.note(now, Note::Denied);
        }
    }

    /// A turn begins: what planners say, where there is news.
    pub fn begin_turn(&mut self, now: Time) -> Option<Advice> {
        self.desk.begin_turn(now)
    }

    pub fn end_turn(&mut self) {
        self.desk.end_turn();
    }

    /// Nothing is sent any more.
    pub fn close(self) {
        self.desk.close();
    }
}
