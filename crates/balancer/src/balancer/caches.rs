//! A cache as it starts, and the limits on what is in flight.

use super::*;

impl Limit {
    pub(super) fn new(nodes: f64, now: Time) -> Limit {
        Limit { in_flight: 0.0, most: (FIRST_LIMIT / nodes).max(1.0), last_cut: now, rest_until: now }
    }

    pub(super) fn has_room(&self, now: Time) -> bool {
        now >= self.rest_until && self.in_flight < self.most.max(1.0)
    }

    /// A shot ended after `latency`, having met a crowd, none, or neither. `rest` is how long one takes, give
    /// or take by chance; `grows` what share a low limit gains at most.
    pub(super) fn learn(&mut self, now: Time, latency: Span, crowded: Option<bool>, rest: Span, grows: f64) {
        let filled = self.in_flight >= self.most * 0.5;
        self.in_flight -= 1.0;
        match crowded {
            // One cut for one crowd: only shots sent after the last cut tell of the limit it set.
            Some(true) if now - self.last_cut >= latency => {
                (self.most, self.last_cut) = ((self.most * LIMIT_CUT).max(MIN_LIMIT), now);
            }
            Some(false) if filled => self.most += (self.most * grows).min(1.0 / self.most),
            _ => {}
        }
        if self.most < 1.0 {
            self.rest_until = now + rest.scaled(1.0 / self.most - 1.0);
        }
    }
}

impl Cache {
    /// Whether it stands in the slot table.
    pub(super) fn serves(&self) -> bool {
        self.listing.ready && !self.is_origin
    }

    pub(super) fn new(
        listing: EndpointUpdate,
        settings: &Settings,
        draw: f64,
        held: f64,
        now: Time,
    ) -> Cache {
        let is_origin = Some(listing.kind) == settings.origin;
        Cache {
            listing,
            is_origin,
            outcomes: ALL_GOOD,
            trial: None,
            limit: Limit { in_flight: held, ..Limit::new(settings.nodes, now) },
            usage: FadingLevel::at(held, USAGE_MEMORY, now),
            saved: (0.0, now),
            lease: None,
            draw,
            push: 0.0,
            quickest: Span(1 << 40),
            overtook: now,
            heard: now,
            told: None,
            dropped: None,
        }
    }
}
