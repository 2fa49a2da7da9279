//! Reads among cache servers that miss, while a share of their misses is answered a second time some
//! milliseconds later. Answers with a value come once.

use std::collections::{HashMap, HashSet};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand_ins_2::client::{self, Client, End};
use stand_ins_2::discovery::{Discovery, Entry};
use stand_ins_2::http::{self, Message};
use stand_ins_2::process;
use stand_ins_2::record::{Record, Verdict};
use stand_ins_2::server::{self, Writer};
use stand_ins_2::{Random, has_trouble, hash_share};

const SEED: u64 = 51;
const DAYS: usize = 6;
const DAY: Duration = Duration::from_secs(14);
const NODES: usize = 24;
const CLIENTS_PER_NODE: usize = 4;
const CACHES: usize = 3;
const ACCOUNTS: u64 = 400;
/// The share of the cache servers' misses that is answered a second time.
const SECOND_SHARE: f64 = 0.2;
/// How late the second answer is, in milliseconds: at least this, and up to twice as much.
const SECOND_LATE_MS: f64 = 4.0;
/// The mean work of a hit, and the time of a fetch from the origin, in milliseconds.
const WORK_MS: f64 = 15.0;
const FETCH_MS: u64 = 80;
/// The mean time from an answer to the next request, in milliseconds.
const THINK_MS: f64 = 20.0;

/// What the servers know together.
#[derive(Default)]
struct World {
    /// The keys that each cache server holds, and until when.
    held: Vec<HashMap<String, Instant>>,
    /// The cache servers that missed for a request.
    missed: HashMap<String, Vec<usize>>,
    /// The bodies of the 200 answers that servers made for a request.
    made: HashMap<String, HashSet<String>>,
}

#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    fulfilled: AtomicU64,
    second: AtomicU64,
    foreign: AtomicU64,
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
    let temporary = process::temporary_folder("copied-misses");
    let mut entries: Vec<Entry> =
        (0..CACHES).map(|cache| entry(&format!("s-{cache:04}"), "std-1", cache_server(&run, cache))).collect();
    entries.push(entry("origin", "origin", origin(&run)));
    let discovery = Discovery::start(entries);
    for day in 0..DAYS {
        play_day(&run, day, &temporary, discovery.address);
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let foreign = count(&run.counts.foreign);
    run.record.say(&format!(
        "{} requests, {} fulfilled, {} without an answer; {} second answers to misses; {foreign} clients were \
         given another account's balance",
        count(&run.counts.requests),
        count(&run.counts.fulfilled),
        count(&run.counts.unanswered),
        count(&run.counts.second),
    ));
    let _ = fs::remove_dir_all(&temporary);
    run.record.end(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
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
            let number = (day * NODES + number) * CLIENTS_PER_NODE + client;
            clients.push(std::thread::spawn(move || work(&run, number, node, until)));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    for (pid, _) in nodes {
        process::end(pid);
    }
}

/// The value of an account: no two accounts have the same.
fn balance(key: &str) -> String {
    format!("balance of {key}")
}

fn cache_server(run: &Run, cache: usize) -> SocketAddr {
    let run = run.clone();
    let core = Mutex::new(());
    server::start(move |request, writer, connection| answer_as_cache(&run, cache, &core, request, writer, connection))
}

fn answer_as_cache(
    run: &Run,
    cache: usize,
    core: &Mutex<()>,
    request: &Message,
    writer: &Writer,
    connection: u64,
) -> bool {
    let (id, key) = (request.id().to_string(), request.key().to_string());
    let name = format!("cache {cache} connection {connection}");
    run.record.line(&format!("{name} got {id} {key}"));
    let is_hit = {
        let mut world = run.world.lock().unwrap();
        let is_hit = world.held[cache].get(&key).is_some_and(|until| *until > Instant::now());
        if !is_hit {
            world.missed.entry(id.clone()).or_default().push(cache);
        }
        is_hit
    };
    let factor = (-(1.0 - hash_share(&id, cache as u64)).ln()).min(4.0);
    let work_ms = if is_hit { WORK_MS * factor } else { 2.0 };
    {
        let _core = core.lock().unwrap();
        std::thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
    }
    let (status, body) = if is_hit { (200, balance(&key)) } else { (404, String::new()) };
    if is_hit {
        run.world.lock().unwrap().made.entry(id.clone()).or_default().insert(body.clone());
    }
    let answer = http::response(status, &[], &body);
    run.record.line(&format!("{name} answers {id} {status} {body}"));
    let is_written = writer.write(&answer);
    if has_trouble() && !is_hit && hash_share(&id, SEED + cache as u64) < SECOND_SHARE {
        let late_ms = SECOND_LATE_MS * (1.0 + hash_share(&id, 7));
        run.counts.second.fetch_add(1, Ordering::Relaxed);
        run.record.line(&format!("{name} answers {id} a second time in {late_ms:.1} ms"));
        writer.write_later(answer, Duration::from_secs_f64(late_ms / 1000.0));
    }
    is_written
}

fn origin(run: &Run) -> SocketAddr {
    let run = run.clone();
    server::start(move |request, writer, connection| {
        let (id, key) = (request.id().to_string(), request.key().to_string());
        run.record.line(&format!("origin connection {connection} got {id} {key}"));
        std::thread::sleep(Duration::from_millis(FETCH_MS));
        let body = balance(&key);
        {
            let mut world = run.world.lock().unwrap();
            world.made.entry(id.clone()).or_default().insert(body.clone());
            let until = Instant::now() + Duration::from_secs_f64(6.0 + 5.0 * hash_share(&id, 3));
            for cache in world.missed.get(&id).cloned().unwrap_or_default() {
                world.held[cache].insert(key.clone(), until);
            }
        }
        run.record.line(&format!("origin connection {connection} answers {id} 200 {body}"));
        writer.write(&http::response(200, &[], &body))
    })
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
"settings":{{"Discovery":"push","Siblings":{NODES},"Zones":["a"],"Shapes":["std-1","origin"],
"Specifics":{{"Mode":"aside","OriginKind":1,"OriginFallMultiple":2.5,"OriginFallUs":3000000}},
"Products":[{{"Name":"balance-read","Effect":"read_like","LatencySloUs":600000,"ClientTimeoutUs":1200000}}],
"Bounds":{{"MostShots":4,"MayCancel":true,"ConnectTimeoutUs":250000,"KeepaliveUs":10000000,"MaxOpen":1000,"SecondCopies":false,"StreamsPerConn":1}},
"Rules":{{"AnswerSlackUs":20000,"StopSendingWithinUs":300000,"MustAskInUs":10000000,"ColdFrom":0.2,"WarmAfterUs":24000000,"FallMultiple":3,"FallUs":2000000}}}}}}"#,
        SEED + (day * NODES + number) as u64
    );
    fs::write(&config, text).expect("a temporary file");
    let pid = process::start_node(&config, &temporary.join(format!("n{number}.log")), "");
    (pid, listen)
}

/// A client process beside its node.
fn work(run: &Run, number: usize, node: SocketAddr, until: Instant) {
    let mut random = Random::new(SEED * 1000 + number as u64);
    let mut client = Client::new(node);
    let mut count = 0;
    while Instant::now() < until {
        let think_ms = -(1.0 - random.unit()).ln() * THINK_MS;
        std::thread::sleep(Duration::from_secs_f64(think_ms / 1000.0));
        // A few accounts are far more popular than the rest.
        let rank = ((ACCOUNTS as f64 + 3.0) / 3.0).powf(random.unit()) * 3.0 - 3.0;
        let key = format!("{:016x}", 0x7f3a_9c21 * (rank as u64 + 1));
        count += 1;
        read(run, &mut client, &format!("{number:03}{count:06}"), &key);
    }
}

fn read(run: &Run, client: &mut Client, id: &str, key: &str) {
    run.record.line(&format!("client asks {id} {key}"));
    run.counts.requests.fetch_add(1, Ordering::Relaxed);
    match client.call(&client::get("balance-read", key, id, 1200), Duration::from_millis(1750)) {
        End::Answer(answer) if answer.status() == 200 => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            run.counts.fulfilled.fetch_add(1, Ordering::Relaxed);
            run.record.line(&format!("client has {id} 200 {body}"));
            let made = run.world.lock().unwrap().made.get(id).cloned().unwrap_or_default();
            // An equal balance that was made for another request of the same account does no harm, and is
            // not counted.
            if !made.contains(&body) && body != balance(key) {
                run.counts.foreign.fetch_add(1, Ordering::Relaxed);
                run.record.say(&format!("FOREIGN: {id} asked for {key} and was given \"{body}\""));
            }
        }
        End::Answer(answer) => run.record.line(&format!("client has {id} {}", answer.status())),
        end => {
            run.counts.unanswered.fetch_add(1, Ordering::Relaxed);
            run.record.line(&format!("client has no answer to {id}: {end:?}"));
        }
    }
}
