//! Hosts the instances: decodes each event into a call, then pulls and encodes what is decided.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::calls::{AttemptOutcome, AttemptResult, EndpointUpdate, LocalReply, Request};
use granitelb_balancer::ids::{AttemptNumber, CellId, Key, KindId, RequestClassId, RequestId, ZoneId};
use granitelb_balancer::time::{Span, Time};
use granitelb_settings::Column;

use crate::frame::{Batch, Malformed, Record, Reply, cache_bytes, span_bytes};

const ENTRY_BYTES: usize = 25;

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    /// Lists by number; the wire sends each once for all instances.
    sheets: BTreeMap<u32, Vec<EndpointUpdate>>,
}

struct Instance {
    balancer: Balancer,
    columns: Vec<Column>,
    /// When the timer that is set comes due.
    wake: Option<Time>,
}

impl Host {
    /// Takes a batch in and returns the reply to it.
    pub fn answer(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Malformed> {
        let batch = Batch::split(bytes)?;
        let now = Time(batch.clock);
        let mut touched = BTreeSet::new();
        for record in batch.records() {
            if let Some(node) = self.take(&batch, record, now)? {
                touched.insert(node);
            }
        }
        let mut reply = Reply::default();
        for node in touched {
            if let Some(instance) = self.instances.get_mut(&node) {
                instance.decide(node, now, &mut reply);
            }
        }
        Ok(reply.encode())
    }

    /// Decodes one event, and names the instance that it was for.
    fn take(&mut self, batch: &Batch<'_>, record: Record<'_>, now: Time) -> Result<Option<u16>, Malformed> {
        let code = record.u16(0);
        if code == 7 {
            let rows = batch.tail(record, 6, ENTRY_BYTES)?;
            let listings =
                rows.chunks_exact(ENTRY_BYTES).map(|bytes| listing(Record { bytes, at: record.at }));
            self.sheets.insert(record.u32(2), listings.collect());
            return Ok(None);
        }
        let node = record.u16(2);
        if code == 10 {
            let params = batch.tail(record, 12, 1)?;
            let decoded = granitelb_settings::decode(params)
                .map_err(|e| Malformed(format!("record {}: unreadable settings: {e}", record.at)))?;
            let (settings, columns) = (decoded.decisions, decoded.columns);
            let balancer = Balancer::new(settings, record.u64(4), now);
            self.instances.insert(node, Instance { balancer, columns, wake: None });
            return Ok(Some(node));
        }
        if code == 11 {
            self.instances.remove(&node);
            return Ok(None);
        }
        let Some(instance) = self.instances.get_mut(&node) else {
            return Ok(None);
        };
        let balancer = &mut instance.balancer;
        match code {
            // One timer is meant at a time; others are ones that no longer matter.
            1 if instance.wake.is_some_and(|w| w.0 == record.u64(4)) => instance.wake = None,
            2 => {
                let scope = record.u8(4);
                if scope == 3 {
                    balancer.on_endpoints_watch_failed(now);
                    return Ok(Some(node));
                }
                let sheet = record.u32(9);
                let Some(listings) = self.sheets.get(&sheet) else {
                    return Err(Malformed(format!(
                        "record {} names list {sheet}, which was never sent",
                        record.at
                    )));
                };
                match scope {
                    2 => balancer.on_endpoints_restored(now, listings),
                    _ => balancer.on_endpoints_update(now, listings, scope == 1),
                }
            }
            5 => balancer.on_client_disconnect(now, RequestId(record.u64(4))),
            6 => {
                let Some(outcome) = outcome(record.u8(19)) else {
                    return Err(Malformed(format!(
                        "record {}: unknown outcome {}",
                        record.at,
                        record.u8(19)
                    )));
                };
                let end = AttemptResult {
                    number: AttemptNumber(record.u8(12)),
                    cache: record.cache(13),
                    outcome,
                    latency: Span(u64::from(record.u32(20))),
                    answered: record.u8(24) != 0,
                };
                let told = usize::from(record.u8(26).min(4));
                if told > 0 {
                    let figures = (0..told).map(|n| f64::from(record.f32(27 + 4 * n)));
                    let report = granitelb_settings::report(instance.columns.iter().copied().zip(figures));
                    balancer.on_load_report(now, end.cache, &report);
                }
                balancer.on_attempt_finished(now, RequestId(record.u64(4)), &end);
            }
            9 => {
                let flags = record.u8(38);
                let call = Request {
                    request_class: RequestClassId(record.u16(12)),
                    key: Key(record.u64(18)),
                    budget: Span(u64::from(record.u32(26))),
                    work: (flags & 1 != 0).then(|| Span(u64::from(record.u32(30)))),
                    write: flags & 4 != 0,
                };
                balancer.on_request(now, RequestId(record.u64(4)), call);
            }
            _ => {}
        }
        Ok(Some(node))
    }
}

impl Instance {
    fn decide(&mut self, node: u16, now: Time, reply: &mut Reply) {
        let balancer = &mut self.balancer;
        recall(balancer, node, reply);
        while let Some(shot) = balancer.poll_attempt(now) {
            let id = shot.request.0.to_be_bytes();
            reply.push(2, node, &[&id, &cache_bytes(shot.cache), &span_bytes(shot.give_up_after)]);
        }
        while let Some((id, answer)) = balancer.poll_response(now) {
            match answer {
                LocalReply::RateLimited { retry_after } => {
                    reply.push(7, node, &[&id.0.to_be_bytes(), &span_bytes(retry_after)]);
                }
                LocalReply::Errored => reply.push(10, node, &[&id.0.to_be_bytes()]),
            }
        }
        // What the answers left behind.
        recall(balancer, node, reply);
        if balancer.poll_watch_request(now) {
            reply.push(12, node, &[&[1]]);
        }
        if let Some(at) =
            balancer.poll_timeout(now).filter(|at| self.wake.is_none_or(|w| *at < w || w <= now))
        {
            self.wake = Some(at);
            reply.push(3, node, &[&at.0.to_be_bytes(), &at.0.to_be_bytes()]);
        }
    }
}

fn recall(balancer: &mut Balancer, node: u16, reply: &mut Reply) {
    while let Some((id, number)) = balancer.poll_cancellation() {
        reply.push(11, node, &[&id.0.to_be_bytes(), &[number.0]]);
    }
}

fn listing(entry: Record<'_>) -> EndpointUpdate {
    let started = entry.u64(15);
    EndpointUpdate {
        cache: entry.cache(9),
        kind: KindId(entry.u16(0)),
        size: f64::from(entry.f32(2)),
        zone: ZoneId(u32::from(entry.u16(6))),
        cell: CellId(u32::from(entry.u16(23))),
        ready: entry.u8(8) == 1,
        draining: entry.u8(8) == 2,
        started: (started != 0).then_some(Time(started)),
    }
}

fn outcome(code: u8) -> Option<AttemptOutcome> {
    Some(match code {
        0 => AttemptOutcome::Fulfilled,
        1 => AttemptOutcome::Cancelled,
        4 => AttemptOutcome::TimedOut,
        5 => AttemptOutcome::CacheMiss,
        8 => AttemptOutcome::Rejected,
        9 => AttemptOutcome::NotSent,
        10 => AttemptOutcome::Reset,
        13 => AttemptOutcome::Errored,
        14 => AttemptOutcome::Unreachable,
        _ => return None,
    })
}
