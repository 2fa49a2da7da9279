//! The clients of the nodes: open-loop load that starts each scheduled request at its time, whether or not
//! earlier requests have a response. Each client retries its own request as the schedule says and records
//! every attempt in the event log.

mod connection_pool;
mod disconnect;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::wire::ValueBody;
use crate::event_log::{ClientAttempt, ClientAttemptEnd, Event, EventLogWriter, NodeId, RequestId, Version};
use crate::experiment::RequestEffect::{Deduplicated, NonIdempotent};
use crate::experiment::{Experiment, RequestClass};
use crate::schedule::{Schedule, ScheduledRequest};
use crate::shard_workload;
use connection_pool::{ConnectionPool, RequestSender};

pub use disconnect::MassDisconnect;

/// Time after the client timeout during which a client still waits, so that the event log tells a late
/// response from a missing one.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(150);
/// Time before a request is due from which the timer thread spins in place of sleeping.
const SPIN_DURATION: Duration = Duration::from_micros(300);
/// The longest response body that a client reads, in bytes.
const MAX_RESPONSE_BODY: usize = 1 << 20;
/// `Retry-After` values of this many seconds or more are ignored.
const MAX_RETRY_AFTER_S: f64 = 1e4;

/// The clients of a run.
pub struct Clients {
    experiment: Arc<Experiment>,
    schedule: Arc<Schedule>,
    event_log: EventLogWriter,
    pools: Vec<ConnectionPool>,
    mass_disconnect: watch::Receiver<MassDisconnect>,
}

/// The contents of the request that a client's attempt sends.
struct AttemptRequest<'a> {
    /// ID of the attempt.
    id: &'a str,
    idempotency_key: Option<&'a str>,
    scheduled: &'a ScheduledRequest,
    request_class: &'a RequestClass,
    /// Number of the attempt: 0 is the first one, higher numbers are the client's retries.
    number: u8,
}

impl Clients {
    /// Creates the clients of a run. `nodes` holds the address of each node.
    pub fn new(
        experiment: Arc<Experiment>,
        schedule: Arc<Schedule>,
        event_log: EventLogWriter,
        nodes: &[SocketAddr],
        mass_disconnect: watch::Receiver<MassDisconnect>,
    ) -> Arc<Clients> {
        let pools = nodes.iter().map(|address| ConnectionPool::new(*address)).collect();
        Arc::new(Clients { experiment, schedule, event_log, pools, mass_disconnect })
    }

    /// Starts each scheduled request at its time and returns when all requests have ended.
    pub async fn run(self: &Arc<Self>) {
        let (due, mut arrivals) = mpsc::unbounded_channel();
        let clients = self.clone();
        // The runtime's timers have a resolution of a millisecond, so a separate thread waits for the due
        // times.
        let timer = std::thread::spawn(move || clients.announce_due_requests(&due));
        let mut requests = tokio::task::JoinSet::new();
        while let Some(id) = arrivals.recv().await {
            let now = self.event_log.now();
            let lateness_us = (now.0 - self.schedule.request(id).at_us).max(0) as u64;
            self.event_log.write(|log| log.lateness_us.push(lateness_us));
            requests.spawn(self.clone().run_request(id));
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
        let _ = timer.join();
    }

    /// Sends the ID of each request when it is due.
    fn announce_due_requests(&self, due: &mpsc::UnboundedSender<RequestId>) {
        for (number, scheduled) in self.schedule.requests.iter().enumerate() {
            sleep_until(self.event_log.instant(scheduled.due()));
            if due.send(RequestId(number)).is_err() {
                return;
            }
        }
    }

    /// Runs the attempts of a request: the first one and its client's retries.
    async fn run_request(self: Arc<Self>, id: RequestId) {
        let scheduled = self.schedule.request(id);
        let request_class = &self.experiment.request_classes[scheduled.class];
        for number in 0u8.. {
            let end = self.run_attempt(id, number).await;
            if !may_retry(&end, request_class) {
                return;
            }
            let Some(mut backoff) = scheduled.retry_delay(number) else { return };
            if let ClientAttemptEnd::RateLimited { retry_after: Some(retry_after) } = end
                && scheduled.honors_retry_after
            {
                backoff = backoff.max(retry_after);
            }
            tokio::time::sleep(backoff).await;
        }
    }

    /// Runs one attempt, records it in the event log and returns how it ended.
    async fn run_attempt(&self, id: RequestId, number: u8) -> ClientAttemptEnd {
        let scheduled = self.schedule.request(id);
        let request_class = &self.experiment.request_classes[scheduled.class];
        let timeout = Duration::from_millis(request_class.timeout_ms);
        let attempt_id = scheduled.attempt_id(number);
        let is_deduplicated = request_class.effect == Deduplicated;
        let idempotency_key = is_deduplicated.then(|| scheduled.idempotency_key());
        let sent = self.event_log.now();
        let request = AttemptRequest {
            id: &attempt_id,
            idempotency_key: idempotency_key.as_deref(),
            scheduled,
            request_class,
            number,
        };
        let response = tokio::time::timeout(timeout + LATE_RESPONSE_GRACE, self.send(&request));
        let clients = &self.experiment.load.clients;
        let disconnects = self.mass_disconnect.clone();
        let end = tokio::select! {
            end = response => end.unwrap_or(ClientAttemptEnd::TimedOut),
            () = disconnect::wait_for_disconnect(&attempt_id, scheduled.node, clients, disconnects) => {
                ClientAttemptEnd::Cancelled
            }
        };
        let record = ClientAttempt {
            request: id,
            number,
            id: attempt_id,
            idempotency_key,
            node: scheduled.node_id(),
            request_class: scheduled.class,
            key: scheduled.key,
            due: scheduled.due(),
            sent,
            ended: self.event_log.now(),
            end: end.clone(),
        };
        self.event_log.write(|log| log.client_attempts.push(record));
        end
    }

    /// Sends an attempt's request over an idle connection or a new one, and returns how the attempt ended.
    async fn send(&self, request: &AttemptRequest<'_>) -> ClientAttemptEnd {
        let scheduled = request.scheduled;
        let pool = &self.pools[scheduled.node];
        let pooled = if scheduled.single_use_connection { None } else { pool.take() };
        if let Some(mut sender) = pooled {
            match sender.send_request(self.http_request(request)).await {
                Ok(response) => return self.read_response(response, sender, scheduled).await,
                Err(error) if error.is_canceled() || error.is_closed() => {}
                // The node closed the connection, probably before it read the request. The client sends the
                // request again on a new connection unless a second execution would do harm.
                Err(error)
                    if error.is_incomplete_message() && request.request_class.effect != NonIdempotent => {}
                Err(_) => return ClientAttemptEnd::ConnectionLost { reused: true },
            }
        }
        let Ok(mut sender) = self.connect(pool.address, scheduled.node_id()).await else {
            return ClientAttemptEnd::ConnectFailed;
        };
        match sender.send_request(self.http_request(request)).await {
            Ok(response) => self.read_response(response, sender, scheduled).await,
            Err(_) => ClientAttemptEnd::ConnectionLost { reused: false },
        }
    }

    fn http_request(&self, request: &AttemptRequest<'_>) -> Request<Full<Bytes>> {
        let request_class = request.request_class;
        let scheduled = request.scheduled;
        let is_write = request_class.writes();
        let mut builder = Request::builder()
            .method(if is_write { "PUT" } else { "GET" })
            .uri(format!("/{}/{:016x}", request_class.name, scheduled.key))
            .header("Host", "service.internal")
            .header("X-Request-ID", request.id)
            .header("X-Priority-Class", &request_class.name)
            .header("X-Timeout-Ms", request_class.timeout_ms);
        if let Some(key) = request.idempotency_key {
            builder = builder.header("Idempotency-Key", key);
        }
        if let Some(tenant) = scheduled.tenant {
            builder = builder.header("X-Tenant-Id", &self.experiment.load.tenants[tenant]);
        }
        if request.number > 0 && self.experiment.load.clients.mark_retries {
            builder = builder.header("X-Retried", "1");
        }
        let body = if is_write { shard_workload::write_body(scheduled.key) } else { Bytes::new() };
        builder.body(Full::new(body)).expect("names of the experiment are valid header values")
    }

    /// Opens a connection to a node. Bytes on the connection that belong to no response are recorded in the
    /// event log.
    async fn connect(&self, address: SocketAddr, node: NodeId) -> std::io::Result<RequestSender> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        let event_log = self.event_log.clone();
        tokio::spawn(async move {
            if let Err(error) = connection.await
                && error.to_string().contains("unexpected message")
            {
                event_log.event(Event::UnexpectedBytes { node });
            }
        });
        Ok(sender)
    }

    /// Reads a response, returns its connection to the pool, and tells how the attempt ended.
    async fn read_response(
        &self,
        response: Response<Incoming>,
        sender: RequestSender,
        scheduled: &ScheduledRequest,
    ) -> ClientAttemptEnd {
        let (head, body) = response.into_parts();
        let Ok(body) = Limited::new(body, MAX_RESPONSE_BODY).collect().await else {
            return ClientAttemptEnd::ConnectionLost { reused: false };
        };
        if !scheduled.single_use_connection {
            self.pools[scheduled.node].put_back(sender);
        }
        match head.status {
            StatusCode::OK => match serde_json::from_slice::<ValueBody>(&body.to_bytes()) {
                Ok(value) => ClientAttemptEnd::Fulfilled {
                    made_for: value.made_for,
                    version: Some(Version(value.version)),
                },
                Err(_) => ClientAttemptEnd::Fulfilled { made_for: String::new(), version: None },
            },
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                ClientAttemptEnd::RateLimited { retry_after: retry_after(&head.headers) }
            }
            status => ClientAttemptEnd::Errored { status: status.as_u16() },
        }
    }
}

/// Whether a client may retry after an attempt. Clients don't repeat a non-idempotent request that may have
/// been executed.
fn may_retry(end: &ClientAttemptEnd, request_class: &RequestClass) -> bool {
    match end {
        ClientAttemptEnd::Fulfilled { .. } => false,
        ClientAttemptEnd::RateLimited { .. } | ClientAttemptEnd::ConnectFailed => true,
        _ => request_class.effect != NonIdempotent,
    }
}

/// The delay that a `Retry-After` header asks for, or none if the header is missing or invalid.
fn retry_after(headers: &hyper::HeaderMap) -> Option<Duration> {
    let text = headers.get("retry-after")?.to_str().ok()?;
    let seconds = text.parse::<f64>().ok()?;
    if (0.0..MAX_RETRY_AFTER_S).contains(&seconds) { Some(Duration::from_secs_f64(seconds)) } else { None }
}

/// Blocks the thread until a time: sleeps until [`SPIN_DURATION`] before it, then spins.
fn sleep_until(due: Instant) {
    let Some(wait) = due.checked_duration_since(Instant::now()) else { return };
    if wait > SPIN_DURATION {
        std::thread::sleep(wait - SPIN_DURATION);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}
