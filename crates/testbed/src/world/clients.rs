//! Clients: an open loop that never waits for answers before it asks again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::wire::{self, Value};
use crate::event_log::{ClientAttempt, ClientAttemptEnd, Event, EventLogWriter, NodeId, RequestId, Version};
use crate::experiment::Experiment;
use crate::experiment::ProductEffect::{Deduplicated, NonIdempotent};
use crate::schedule::{Planned, Schedule};
use crate::shard_workload;

/// An answer is waited for so much past the client's timeout, so that a late one can be told from none.
const LATE: Duration = Duration::from_millis(150);
/// Idle connections that are kept to a node.
const KEPT: usize = 512;
/// How close before a call is due its thread stops sleeping and spins.
const SPIN: Duration = Duration::from_micros(300);

type Sender = SendRequest<Full<Bytes>>;

struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

pub struct Clients {
    experiment: Arc<Experiment>,
    schedule: Arc<Schedule>,
    event_log: EventLogWriter,
    pools: Vec<Pool>,
    leave: watch::Receiver<Leave>,
}

/// The last time that clients were told to leave, by a count of all: which share of those that wait at these nodes.
#[derive(Clone, Debug, Default)]
pub struct Leave {
    pub count: u64,
    pub share: f64,
    pub nodes: Vec<usize>,
}

impl Clients {
    pub fn new(
        experiment: Arc<Experiment>,
        schedule: Arc<Schedule>,
        event_log: EventLogWriter,
        nodes: &[SocketAddr],
        leave: watch::Receiver<Leave>,
    ) -> Arc<Clients> {
        let pools = nodes.iter().map(|a| Pool { address: *a, idle: Mutex::default() }).collect();
        Arc::new(Clients { experiment, schedule, event_log, pools, leave })
    }

    /// Asks every call of the schedule at its time, and returns when all have ended.
    pub async fn run(self: &Arc<Self>) {
        let (due, mut arrivals) = mpsc::unbounded_channel();
        let clients = self.clone();
        // A thread of its own: the runtime's timers go by the millisecond.
        let clock = std::thread::spawn(move || {
            for (n, call) in clients.schedule.calls.iter().enumerate() {
                sleep_until(clients.event_log.instant(call.due()));
                if due.send(RequestId(n)).is_err() {
                    return;
                }
            }
        });
        let mut calls = tokio::task::JoinSet::new();
        while let Some(id) = arrivals.recv().await {
            let now = self.event_log.now();
            let late = (now.0 - self.schedule.call(id).at_us).max(0) as u64;
            self.event_log.write(|b| b.lateness_us.push(late));
            calls.spawn(self.clone().call(id));
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
        let _ = clock.join();
    }

    /// One call with its client's own repeats.
    async fn call(self: Arc<Self>, id: RequestId) {
        let planned = self.schedule.call(id);
        for nth in 0u8.. {
            let end = self.one_try(id, nth).await;
            let product = &self.experiment.product[planned.product];
            let again = match &end {
                ClientAttemptEnd::Fulfilled { .. } => return,
                ClientAttemptEnd::RateLimited { .. } | ClientAttemptEnd::ConnectFailed => true,
                // Nobody repeats what may have run unless that does no harm.
                _ => product.effect != NonIdempotent,
            };
            let Some(mut wait) = planned.wait(nth).filter(|_| again) else { return };
            if let ClientAttemptEnd::RateLimited { retry_after: Some(advised) } = end
                && planned.heeds
            {
                wait = wait.max(advised);
            }
            tokio::time::sleep(wait).await;
        }
    }

    async fn one_try(&self, id: RequestId, nth: u8) -> ClientAttemptEnd {
        let planned = self.schedule.call(id);
        let product = &self.experiment.product[planned.product];
        let timeout = Duration::from_millis(product.timeout_ms);
        let name = planned.name(nth);
        let write = product.writes();
        let deduplicated = product.effect == Deduplicated;
        let idempotency_key = deduplicated.then(|| planned.idempotency_key());
        let sent = self.event_log.now();
        let asked = self.ask(&name, idempotency_key.as_deref(), planned, nth, write);
        let end = tokio::select! {
            end = tokio::time::timeout(timeout + LATE, asked) => end.unwrap_or(ClientAttemptEnd::TimedOut),
            () = self.leaves(&name, planned.node) => ClientAttemptEnd::Cancelled,
        };
        let record = ClientAttempt {
            request: id,
            number: nth,
            id: name,
            idempotency_key,
            node: planned.node(),
            request_class: planned.product,
            key: planned.key,
            due: planned.due(),
            sent,
            ended: self.event_log.now(),
            end: end.clone(),
        };
        self.event_log.write(|b| b.client_attempts.push(record));
        end
    }

    /// Comes when the client of a try gives up.
    async fn leaves(&self, name: &str, node: usize) {
        let clients = &self.experiment.load.clients;
        let early = async {
            if wire::chance_of(name, 17) < clients.leave {
                let ms = clients.leave_ms * wire::chance_of(name, 19);
                tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
            } else {
                std::future::pending().await
            }
        };
        let told = async {
            let mut told = self.leave.clone();
            told.borrow_and_update();
            while told.changed().await.is_ok() {
                let leave = told.borrow_and_update().clone();
                if leave.nodes.contains(&node) && wire::chance_of(name, leave.count + 23) < leave.share {
                    return;
                }
            }
            std::future::pending().await
        };
        tokio::select! {
            () = early => {}
            () = told => {}
        }
    }

    async fn ask(
        &self,
        name: &str,
        idempotency_key: Option<&str>,
        planned: &Planned,
        nth: u8,
        write: bool,
    ) -> ClientAttemptEnd {
        let product = &self.experiment.product[planned.product];
        let pool = &self.pools[planned.node];
        let call = || {
            let method = if write { "PUT" } else { "GET" };
            let mut call = Request::builder()
                .method(method)
                .uri(format!("/{}/{:016x}", product.name, planned.key))
                .header("Host", "service.internal")
                .header("X-Request-ID", name)
                .header("X-Priority-Class", &product.name)
                .header("X-Timeout-Ms", product.timeout_ms);
            if let Some(key) = idempotency_key {
                call = call.header("Idempotency-Key", key);
            }
            if let Some(tenant) = planned.tenant {
                call = call.header("X-Tenant-Id", &self.experiment.load.tenants[tenant]);
            }
            if nth > 0 && self.experiment.load.clients.marks {
                call = call.header("X-Retried", "1");
            }
            let body = if write { shard_workload::write_body(planned.key) } else { Bytes::new() };
            call.body(Full::new(body)).expect("a call is well formed")
        };
        let kept = if planned.once { None } else { pool.take() };
        if let Some(mut sender) = kept {
            match sender.send_request(call()).await {
                Ok(answer) => return self.read(answer, sender, planned).await,
                Err(fault) if fault.is_canceled() || fault.is_closed() => {}
                // The node closed it before it read this: the client asks once more on a new one, where that is
                // harmless if it was read after all.
                Err(fault) if fault.is_incomplete_message() && product.effect != NonIdempotent => {}
                Err(_) => return ClientAttemptEnd::ConnectionLost { reused: true },
            }
        }
        let Ok(mut sender) = self.connect(pool.address, planned.node()).await else {
            return ClientAttemptEnd::ConnectFailed;
        };
        match sender.send_request(call()).await {
            Ok(answer) => self.read(answer, sender, planned).await,
            Err(_) => ClientAttemptEnd::ConnectionLost { reused: false },
        }
    }

    async fn connect(&self, address: SocketAddr, node: NodeId) -> Result<Sender, ()> {
        let stream = TcpStream::connect(address).await.map_err(|_| ())?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|_| ())?;
        let event_log = self.event_log.clone();
        tokio::spawn(async move {
            if let Err(fault) = connection.await
                && fault.to_string().contains("unexpected message")
            {
                event_log.event(Event::UnexpectedBytes { node });
            }
        });
        Ok(sender)
    }

    async fn read(&self, answer: Response<Incoming>, sender: Sender, planned: &Planned) -> ClientAttemptEnd {
        let (head, body) = answer.into_parts();
        let Ok(body) = Limited::new(body, 1 << 20).collect().await else {
            return ClientAttemptEnd::ConnectionLost { reused: false };
        };
        if !planned.once {
            self.pools[planned.node].keep(sender);
        }
        match head.status.as_u16() {
            200 => match serde_json::from_slice::<Value>(&body.to_bytes()) {
                Ok(value) => ClientAttemptEnd::Fulfilled {
                    made_for: value.made_for,
                    version: Some(Version(value.version)),
                },
                Err(_) => ClientAttemptEnd::Fulfilled { made_for: String::new(), version: None },
            },
            429 | 503 => {
                let advised = head.headers.get("retry-after").and_then(|v| v.to_str().ok());
                let seconds = advised.and_then(|v| v.parse::<f64>().ok()).filter(|s| (0.0..1e4).contains(s));
                ClientAttemptEnd::RateLimited { retry_after: seconds.map(Duration::from_secs_f64) }
            }
            status => ClientAttemptEnd::Errored { status },
        }
    }
}

impl Pool {
    fn take(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("no holder panics");
        idle.retain(|sender| !sender.is_closed());
        let free = idle.iter().rposition(Sender::is_ready)?;
        Some(idle.remove(free))
    }

    fn keep(&self, sender: Sender) {
        let mut idle = self.idle.lock().expect("no holder panics");
        if idle.len() < KEPT {
            idle.push(sender);
        }
    }
}

fn sleep_until(due: Instant) {
    if let Some(wait) = due.checked_duration_since(Instant::now()) {
        if wait > SPIN {
            std::thread::sleep(wait - SPIN);
        }
        while Instant::now() < due {
            std::hint::spin_loop();
        }
    }
}
