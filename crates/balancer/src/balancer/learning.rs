//! The mechanism: the slot table, and weights that are pulled and pushed.

use super::*;

impl Balancer {
    /// One learning step: the push on every stored weight, by its cache's usage against the mean.
    pub(super) fn learn(&mut self, now: Time) {
        self.settle_list(now);
        let warm_size = |c: &Cache| self.size_of(&c.listing) * self.warmth(now, c);
        let size: f64 = self.caches.values().filter(|c| c.serves()).map(warm_size).sum();
        // With no cache left nothing is carried; by next to no size it would grant cold caches any work.
        (size > 0.0).then(|| self.carried.add(now, self.sent.read(now) / size));
        self.warm_size = size;
        let own = |c: &Cache| c.usage.read(now) / self.size_of(&c.listing);
        let serving = self.caches.values().filter(|c| c.serves());
        // What was reported, by size, and how much that still counts: old reports fade to the mean of all.
        let told = |c: &Cache, figure: fn(&LoadReport) -> Option<f64>| {
            let (at, report) = c.told?;
            let counts = (-(now - at).as_secs_f64() / USAGE_MEMORY.as_secs_f64()).exp();
            Some((figure(&report)? / self.size_of(&c.listing), counts))
        };
        let held = |c: &Cache| told(c, |r| r.held);
        let sums = serving.clone().filter_map(held).fold((0.0, 0.0), |s, (h, n)| (s.0 + h * n, s.1 + n));
        let usage = |c: &Cache| match held(c) {
            Some((held, counts)) => sums.0 / sums.1 * (1.0 - counts) + held * counts,
            None if sums.1 > 0.0 => sums.0 / sums.1,
            // Who only waits is no load in flight: this node's part of it adds to its own.
            None => own(c) + told(c, |r| r.waiting).map_or(0.0, |(w, n)| w * n / self.settings.nodes),
        };
        let usages: Vec<_> = serving.map(|c| (c.listing.cache, usage(c))).collect();
        let mean = usages.iter().map(|u| u.1).sum::<f64>() / usages.len().max(1) as f64;
        for (id, usage) in usages {
            let cache = self.caches.get_mut(&id).expect("listed above");
            cache.push = PUSH * (1.0 - if mean > 0.0 { usage / mean } else { 1.0 }) + PUSH_KEPT * cache.push;
        }
        let psi = |b: f64| (1.0 - (-PUSH_STEEPNESS * b).exp()) / (1.0 + (-PUSH_STEEPNESS * b).exp());
        let pushes: BTreeMap<EndpointId, f64> =
            self.caches.iter().map(|(id, c)| (*id, psi(c.push))).collect();
        for (id, w) in self.keys.values_mut().flat_map(|k| k.slots.iter_mut().flatten()) {
            let push = pushes.get(id).copied().unwrap_or(0.0);
            *w += push * if push >= 0.0 { PUSH_TARGET - *w } else { *w };
        }
    }

    /// Stores a key's weights and pulls them towards the candidates that rank high.
    pub(super) fn note_asked(&mut self, now: Time, call: &Request) {
        self.asked.add(now, 1.0);
        if call.write && self.settings.is_cache_aside() {
            return;
        }
        self.wanted.add(now, self.work_of(now, call));
        let total = self.asked.read(now).max(1.0);
        let asked = self.keys.get(&call.key).map_or(0.0, |k| k.asked.read(now)) + 1.0;
        let slot = self.slot_of(call.key, (asked - SURE * asked.sqrt()) / total);
        self.table.use_slot(slot);
        let fresh = self.start_weights(call.key, slot);
        let asked = FadingSum::new(RATE_MEMORY, now);
        let new = KeyWeights { table: self.table.version(), slot, slots: fresh, asked };
        let weights = self.keys.entry(call.key).or_insert(new);
        if (weights.table, weights.slot) != (self.table.version(), slot) {
            let old = weights.slots;
            // Where another cache is first all nodes start anew: keys clinging to others would leave it idle.
            let same_first = fresh[0].map(|f| f.0) == old[0].map(|f| f.0);
            let kept = |c: EndpointId| old.iter().flatten().find(|o| same_first && o.0 == c).map(|o| o.1);
            weights.slots = fresh.map(|slot| slot.map(|(c, w)| (c, kept(c).unwrap_or(w))));
            (weights.table, weights.slot) = (self.table.version(), slot);
        }
        weights.asked.add(now, 1.0);
        let width = WIDTH_SHARE * (-weights.asked.read(now) / total).exp() + WIDTH_BASE;
        let before = weights.slots;
        for (id, w) in weights.slots.iter_mut().flatten() {
            let rank = before.iter().flatten().filter(|o| o.1 > *w || o.1 == *w && o.0 < *id).count() as f64;
            *w += PULL * (-rank * rank / (2.0 * width * width)).exp() * (1.0 - *w);
        }
        if self.keys.len() > MAX_KEYS {
            let mut asked: Vec<f64> = self.keys.values().map(|k| k.asked.read(now)).collect();
            let middle = *asked.select_nth_unstable_by(MAX_KEYS / 2, f64::total_cmp).1;
            self.keys.retain(|_, k| k.asked.read(now) > middle);
        }
    }

    /// The slot of a key with this share of the calls: at every node the same, unless the key is heavier than
    /// one cache's part. Then nodes are split evenly over so many slots that each has about such a part.
    pub(super) fn slot_of(&self, key: Key, share: f64) -> u64 {
        let parts = (share * self.table.len() as f64).min(self.settings.nodes).max(1.0);
        let part = hash_of((key, self.seed)) % (parts as u64).next_power_of_two();
        self.table.slot(if part == 0 { hash_of(key) } else { hash_of((key, part)) })
    }

    pub(super) fn start_weights(&self, key: Key, slot: u64) -> [Option<(EndpointId, f64)>; CANDIDATES] {
        let ranked = self.table.ranks(slot);
        std::array::from_fn(|place| {
            ranked[place].map(|cache| (cache, START[place] + START_SPREAD * unit(hash_of((key, place)))))
        })
    }

    /// A cold cache has its part of the slots in step with its warm-up: few keys have none but cold ones.
    pub(super) fn renew_table(&mut self) {
        let part = |c: &Cache| (self.warmth(self.now, c) * WARM_STEPS).ceil() / WARM_STEPS;
        let serving = self.caches.values().filter(|c| c.serves());
        let serving = serving.map(|c| (c.listing.cache, self.size_of(&c.listing) * part(c)));
        self.table.renew(serving.collect());
    }
}
