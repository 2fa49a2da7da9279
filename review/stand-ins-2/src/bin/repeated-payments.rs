//! Payments that must not run twice, while a share of the servers' answers comes a second time some
//! milliseconds later, and the origin is asked for more than it can do.
//!
//! Short days, each with fresh nodes. A client reads accounts and posts payments. A payment that was refused
//! (429 or 503) is posted again, up to twice, as the pages let clients do: a refusal says that trying again is
//! harmless. The origin keeps a book of which payment ran, and under which request.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use stand_ins_2::client::{self, Client, End};
use stand_ins_2::discovery::{Discovery, Entry};
use stand_ins_2::http::{self, Message};
use stand_ins_2::process;
use stand_ins_2::record::{Record, Verdict};
use stand_ins_2::server::{self, Writer};
use stand_ins_2::{Random, has_trouble, hash_share};

const SEED: u64 = 510;
const DAYS: usize = 8;
const DAY: Duration = Duration::from_secs(10);
const NODES: usize = 24;
const CLIENTS_PER_NODE: usize = 3;
const CACHES: usize = 6;
const ACCOUNTS: u64 = 400;
/// The share of the answers of cache servers and origin that comes a second time.
const SECOND_SHARE: f64 = 0.1;
/// How late the second answer is, in milliseconds: at least this, and up to twice as much.
const SECOND_LATE_MS: f64 = 4.0;
const CACHE_WORK_MS: f64 = 15.0;
/// What the origin does at once, and the mean time of each, in milliseconds.
const ORIGIN_SLOTS: usize = 8;
const ORIGIN_WORK_MS: f64 = 150.0;
/// How long a cache server keeps a value, in seconds: at least this, and up to twice as much.
const KEPT_S: f64 = 3.0;
const READ_TIMEOUT_MS: u64 = 500;
const PAYMENT_TIMEOUT_MS: u64 = 2800;
const PAYMENTS: f64 = 0.15;
const THINK_MS: f64 = 30.0;

#[derive(Default)]
struct World {
    /// The keys that each cache server holds, and until when.
    held: Vec<HashMap<String, Instant>>,
    /// The cache servers that missed for a request.
    missed: HashMap<String, Vec<usize>>,
    /// Each payment that ran, with the requests under which it did.
    ran: HashMap<String, Vec<String>>,
    /// The payments' requests that were refused, each with its payment.
    refused: HashMap<String, String>,
}

#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    fulfilled: AtomicU64,
    second: AtomicU64,
    unanswered: AtomicU64,
}

/// What all threads of the run share.
#[derive(Clone)]
struct Run {
    record: Record,
    world: Arc<Mutex<World>>,
    counts: Arc<Counts>,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let world = World { held: vec![HashMap::new(); CACHES], ..World::default() };
    let run = Run {
        record: Record::create(&folder),
        world: Arc::new(Mutex::new(world)),
        counts: Arc::default(),
    };
    let temporary = process::temporary_folder("repeated-payments");
    let mut entries: Vec<Entry> =
        (0..CACHES).map(|cache| entry(&format!("s-{cache:04}"), "std-1", cache_server(&run, cache))).collect();
    entries.push(entry("origin", "origin", origin(&run)));
    let discovery = Discovery::start(entries);
    for day in 0..DAYS {
        play_day(&run, day, &temporary, discovery.address);
    }
    // What is still at the origin may run yet.
    std::thread::sleep(Duration::from_secs(2));
    let _ = fs::remove_dir_all(&temporary);
    judge(&run)
}

fn play_day(run: &Run, day: usize, temporary: &Path, discovery: SocketAddr) {
    for held in &mut run.world.lock().unwrap().held {
        held.clear();
    }
    let nodes: Vec<(i32, SocketAddr)> =
        (0..NODES).map(|number| start_node(temporary, discovery, day, number)).collect();
    for (_, node) in &nodes {
        if !client::wait_until_ready(*node, Duration::from_secs(10)) {
            run.record.end(Verdict::NotRun);
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    let until = Instant::now() + DAY;
    let mut clients = Vec::new();
    for (number, (_, node)) in nodes.iter().enumerate() {
        for client in 0..CLIENTS_PER_NODE {
            let (run, node) = (run.clone(), *node);
            let name = format!("d{day}n{number:02}c{client}");
            clients.push(std::thread::spawn(move || work(&run, &name, node, until)));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    for (pid, _) in nodes {
        process::end(pid);
    }
}

fn judge(run: &Run) -> ! {
    let world = run.world.lock().unwrap();
    let mut twice = 0;
    for (payment, requests) in &world.ran {
        if requests.len() > 1 {
            twice += 1;
            run.record.say(&format!("TWICE: {payment} ran as {}", requests.join(" and as ")));
        }
    }
    let has_run = |id: &String, payment: &String| world.ran.get(payment).is_some_and(|ran| ran.contains(id));
    let refused_and_run = world.refused.iter().filter(|(id, payment)| has_run(id, payment)).count();
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    run.record.say(&format!(
        "{} requests, {} fulfilled, {} without an answer; {} second answers; {} payments ran, {refused_and_run} were \
         refused and ran under the refused request, {twice} ran twice",
        count(&run.counts.requests),
        count(&run.counts.fulfilled),
        count(&run.counts.unanswered),
        count(&run.counts.second),
        world.ran.len(),
    ));
    run.record.end(if twice > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Writes an answer and, where it is drawn, the same once more some milliseconds later.
fn answer(run: &Run, name: &str, id: &str, bytes: Vec<u8>, writer: &Writer, salt: u64) -> bool {
    let is_written = writer.write(&bytes);
    if has_trouble() && hash_share(id, SEED + salt) < SECOND_SHARE {
        let late_ms = SECOND_LATE_MS * (1.0 + hash_share(id, 7));
        run.counts.second.fetch_add(1, Ordering::Relaxed);
        run.record.line(&format!("{name} answers {id} a second time in {late_ms:.1} ms"));
        writer.write_later(bytes, Duration::from_secs_f64(late_ms / 1000.0));
    }
    is_written
}

fn cache_server(run: &Run, cache: usize) -> SocketAddr {
    let run = run.clone();
    let core = Mutex::new(());
    server::start(move |request, writer, connection| {
        let (id, key) = (request.id().to_string(), request.key().to_string());
        let is_hit = {
            let mut world = run.world.lock().unwrap();
            let is_hit = world.held[cache].get(&key).is_some_and(|until| *until > Instant::now());
            if !is_hit {
                world.missed.entry(id.clone()).or_default().push(cache);
            }
            is_hit
        };
        let factor = (-(1.0 - hash_share(&id, cache as u64)).ln()).min(4.0);
        let work_ms = if is_hit { CACHE_WORK_MS * factor } else { 2.0 };
        {
            let _core = core.lock().unwrap();
            std::thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
        }
        let bytes = match is_hit {
            true => http::response(200, &[], &format!("balance of {key}")),
            false => http::response(404, &[], ""),
        };
        answer(&run, &format!("cache {cache} connection {connection}"), &id, bytes, writer, cache as u64)
    })
}

fn origin(run: &Run) -> SocketAddr {
    let run = run.clone();
    let free = (Mutex::new(ORIGIN_SLOTS), Condvar::new());
    server::start(move |request, writer, connection| {
        let came = Instant::now();
        let id = request.id().to_string();
        let told_ms = request.header("X-Timeout-Ms").and_then(|text| text.parse().ok()).unwrap_or(u64::MAX);
        let name = format!("origin connection {connection}");
        run.record.line(&format!("{name} got {} {id} told {told_ms} ms", request.method()));
        {
            let mut slots = free.1.wait_while(free.0.lock().unwrap(), |slots| *slots == 0).unwrap();
            *slots -= 1;
        }
        // A request that is already over is turned away.
        let is_over = came.elapsed() > Duration::from_millis(told_ms);
        let bytes = match is_over {
            true => {
                run.record.line(&format!("{name} turns {id} away with 504, not processed: its time is over"));
                http::response(504, &[("X-Not-Processed", "1")], "")
            }
            false => run_at_origin(&run, &name, request),
        };
        *free.0.lock().unwrap() += 1;
        free.1.notify_one();
        answer(&run, &name, &id, bytes, writer, 99)
    })
}

fn run_at_origin(run: &Run, name: &str, request: &Message) -> Vec<u8> {
    let (id, key) = (request.id(), request.key());
    let work_ms = ORIGIN_WORK_MS * (0.5 + hash_share(id, 9));
    std::thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
    let mut world = run.world.lock().unwrap();
    let body = if request.method() == "PUT" {
        let payment = String::from_utf8_lossy(&request.body).into_owned();
        for held in &mut world.held {
            held.remove(key);
        }
        run.record.line(&format!("{name} runs payment {payment} as {id}"));
        world.ran.entry(payment).or_default().push(id.to_string());
        format!("receipt for {id}")
    } else {
        let until = Instant::now() + Duration::from_secs_f64(KEPT_S * (1.0 + hash_share(id, 3)));
        for cache in world.missed.get(id).cloned().unwrap_or_default() {
            world.held[cache].insert(key.to_string(), until);
        }
        format!("balance of {key}")
    };
    run.record.line(&format!("{name} answers {id} 200 {body}"));
    http::response(200, &[], &body)
}

fn entry(uid: &str, model: &str, endpoint: SocketAddr) -> Entry {
    Entry {
        uid: uid.into(),
        endpoint,
        zone: "a".into(),
        model: model.into(),
        group: 1,
        state: "active".into(),
        boot_ms: 0,
    }
}

fn start_node(temporary: &Path, discovery: SocketAddr, day: usize, number: usize) -> (i32, SocketAddr) {
    let listen = process::free_address();
    let config = temporary.join(format!("d{day}n{number}.json"));
    let text = format!(
        r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{:x}","limits":{{"sockets":1024,"memory_mb":192}},
"settings":{{"BilledValuePer":"work","Discovery":"push","Siblings":{NODES},"Zones":["a"],"Shapes":["std-1","origin"],
"Specifics":{{"Mode":"aside","OriginKind":1,"OriginFallMultiple":2.5,"OriginFallUs":3000000}},
"Products":[{{"Name":"balance-read","Effect":"read_like","BilledValue":1.0,"LatencySloUs":{READ_TIMEOUT_MS}000,"ClientTimeoutUs":{READ_TIMEOUT_MS}000}},
{{"Name":"repayment-post","Effect":"non_idempotent","BilledValue":2.0,"LatencySloUs":1200000,"ClientTimeoutUs":{PAYMENT_TIMEOUT_MS}000}}],
"Bounds":{{"MostShots":4,"MayCancel":true,"ConnectTimeoutUs":250000,"KeepaliveUs":10000000,"MaxOpen":1000,"SecondCopies":false,"StreamsPerConn":1,"RetryAfter":true,"MaxRetryAfterUs":1500000}},
"Rules":{{"AnswerSlackUs":20000,"StopSendingWithinUs":300000,"MustAskInUs":10000000,"ColdFrom":0.2,"WarmAfterUs":24000000,"FallMultiple":3,"FallUs":2000000}}}}}}"#,
        SEED + (day * NODES + number) as u64
    );
    fs::write(&config, text).expect("a temporary file");
    let pid = process::start_node(&config, &temporary.join(format!("n{number}.log")), "");
    (pid, listen)
}

/// A client process: it reads accounts, some of them twice in a row, and posts payments.
fn work(run: &Run, name: &str, node: SocketAddr, until: Instant) {
    let mut random = Random::new(SEED + name.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte)));
    let mut client = Client::new(node);
    let mut count = 0;
    let mut again: Option<String> = None;
    while Instant::now() < until {
        let think_ms = -(1.0 - random.unit()).ln() * THINK_MS;
        std::thread::sleep(Duration::from_secs_f64(think_ms / 1000.0));
        let key = match again.take() {
            Some(key) => key,
            None => {
                // A few accounts are far more popular than the rest.
                let rank = ((ACCOUNTS as f64 + 3.0) / 3.0).powf(random.unit()) * 3.0 - 3.0;
                let key = format!("{:016x}", 0x7f3a_9c21 * (rank as u64 + 1));
                again = (random.unit() < 0.5).then(|| key.clone());
                key
            }
        };
        count += 1;
        let id = format!("{name}r{count:04}");
        if random.unit() >= PAYMENTS {
            let text = client::get("balance-read", &key, &id, READ_TIMEOUT_MS);
            call(run, &mut client, &id, &text, READ_TIMEOUT_MS);
            continue;
        }
        let payment = format!("payment {id}");
        for retry in 0..3 {
            let id = format!("{id}t{retry}");
            let text = client::put("repayment-post", &key, &id, PAYMENT_TIMEOUT_MS, None, &payment);
            // Only a refusal lets a client post a payment again: it says that this is harmless.
            if !matches!(call(run, &mut client, &id, &text, PAYMENT_TIMEOUT_MS), Some(429 | 503)) {
                break;
            }
            run.world.lock().unwrap().refused.insert(id, payment.clone());
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Sends a request and returns the status of its answer.
fn call(run: &Run, client: &mut Client, id: &str, text: &[u8], timeout_ms: u64) -> Option<u16> {
    run.record.line(&format!("client asks {id}"));
    run.counts.requests.fetch_add(1, Ordering::Relaxed);
    match client.call(text, Duration::from_millis(timeout_ms + 550)) {
        End::Answer(answer) => {
            let body = String::from_utf8_lossy(&answer.body).trim().to_string();
            run.record.line(&format!("client has {id} {} {body}", answer.status()));
            run.counts.fulfilled.fetch_add(u64::from(answer.status() == 200), Ordering::Relaxed);
            Some(answer.status())
        }
        end => {
            run.counts.unanswered.fetch_add(1, Ordering::Relaxed);
            run.record.line(&format!("client has no answer to {id}: {end:?}"));
            None
        }
    }
}
