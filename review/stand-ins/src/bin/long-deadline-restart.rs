//! Case: a planned restart while four of nine cache servers hang, where a class has a deadline of 6 s.
//!
//! Three nodes with the settings of `north-crop-loans`. Clients read balances (2.5 s) and statements (6 s). The
//! nodes are restarted one after the other: four of nine cache servers hang, SIGTERM, SIGKILL 3.75 s later (3 s
//! and 0.75 s), a new start; the cache servers work again. The check: each request that a node had taken has a
//! whole answer within its time, and is not ended by SIGKILL before.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::discovery::{Discovery, Entry};
use review_stand_ins::http::Reader;
use review_stand_ins::program::{self, free_address, has_trouble, Node};
use review_stand_ins::random::{Random, Zipf};
use review_stand_ins::record::Record;
use review_stand_ins::servers::{self, Settings, World};

const NODES: usize = 3;
const CLIENTS: usize = 30;
const CACHES: usize = 9;
const HANGING: usize = 4;
const KEYS: usize = 400;
const KILL_AFTER: Duration = Duration::from_millis(3750);
const RESTARTS: usize = 5;

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    lost: AtomicU64,
    late: AtomicU64,
    crossed: AtomicU64,
}

struct Place {
    listen: SocketAddr,
    takes_connections: AtomicBool,
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    let world = World::new(record, CACHES);
    let mut caches = Vec::new();
    let mut entries = Vec::new();
    for index in 0..CACHES {
        let settings = Settings {
            name: format!("cache-{index}"),
            // These caches fetch what they lack themselves: no miss is told.
            cache: None,
            work_ms: (40.0, 200.0),
            slots: 4,
            queue: 20,
            second_answers: None,
            refusal_ms: (0.0, 0.0),
        };
        let cache = servers::start(settings, &world, 100 + index as u64);
        entries.push(Entry {
            uid: format!("s-{index}"),
            address: cache.address,
            zone: ["goodlands", "triolet", "pamplemousses"][index % 3].into(),
            kind: "twin-core".into(),
            cell: (index / 5) as u16,
            state: "active".into(),
            size: 2.0,
            boot_ms: 0,
        });
        caches.push(cache);
    }
    let discovery = Discovery::start(entries);
    let mut nodes = Vec::new();
    let mut places = Vec::new();
    for number in 0..NODES {
        let listen = free_address();
        nodes.push(Node::start(&format!("n{number}"), listen, &config(number, 0, listen, &discovery)));
        places.push(Arc::new(Place { listen, takes_connections: AtomicBool::new(true) }));
    }
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let zipf = Arc::new(Zipf::new(KEYS, 1.0, 3.0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (world, counts, zipf, stop) = (world.clone(), counts.clone(), zipf.clone(), stop.clone());
            let places = places.clone();
            thread::spawn(move || run_client(client, &places, &stop, &world, &counts, &zipf))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    for restart in 0..RESTARTS {
        let number = restart % NODES;
        let place = &places[number];
        if has_trouble() {
            for cache in caches.iter().skip(restart % CACHES).take(HANGING) {
                cache.set_hanging(true);
            }
            world.record.line("platform four of nine cache servers hang");
            thread::sleep(Duration::from_millis(100));
        }
        world.record.line(&format!("platform SIGTERM to n{number}"));
        nodes[number].signal("TERM");
        let until = Instant::now() + KILL_AFTER;
        thread::sleep(Duration::from_millis(300));
        place.takes_connections.store(false, Ordering::Relaxed);
        let mut has_ended = false;
        while Instant::now() < until && !has_ended {
            has_ended = nodes[number].ended().is_some();
            thread::sleep(Duration::from_millis(10));
        }
        if !has_ended {
            world.record.line(&format!("platform SIGKILL to n{number}"));
            nodes[number].signal("KILL");
        }
        for cache in &caches {
            cache.set_hanging(false);
        }
        thread::sleep(Duration::from_millis(500));
        world.record.line(&format!("platform starts n{number} again"));
        nodes[number] = Node::start(&format!("n{number}"), place.listen, &config(number, restart + 1, place.listen, &discovery));
        place.takes_connections.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(6));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let summary = format!(
        "summary trouble={} answered={} lost={} late={} crossed-a-close={}",
        has_trouble(),
        get(&counts.answered),
        get(&counts.lost),
        get(&counts.late),
        get(&counts.crossed)
    );
    world.record.line(&summary);
    world.record.flush();
    println!("{summary}");
    if get(&counts.answered) < 300 {
        program::cannot_run("fewer than 300 requests were answered");
    }
    std::process::exit(i32::from(get(&counts.lost) > 0));
}

fn run_client(
    client: usize,
    places: &[Arc<Place>],
    stop: &AtomicBool,
    world: &World,
    counts: &Counts,
    zipf: &Zipf,
) {
    let mut random = Random::new(57 + client as u64);
    let mut connection: Option<Reader> = None;
    let mut number = 0u64;
    while !stop.load(Ordering::Relaxed) {
        if connection.is_none() {
            let alive: Vec<_> =
                places.iter().filter(|place| place.takes_connections.load(Ordering::Relaxed)).collect();
            let place = alive.get(client % alive.len().max(1));
            connection = place.and_then(|place| TcpStream::connect(place.listen).ok()).map(Reader::new);
        }
        let Some(reader) = &mut connection else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        number += 1;
        let id = format!("{:016x}", ((client as u64 + 1) << 40) | number);
        let (class, deadline_ms) = if random.unit() < 0.43 { ("statement", 6000.0) } else { ("balance", 2500.0) };
        let timeout_ms = (deadline_ms * random.between(0.48, 0.8)) as u64;
        let account = format!("{:06}", zipf.draw(&mut random));
        let request = format!(
            "GET /{class}/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
        );
        world.record.line(&format!("client-{client} sends id={id} GET {class} {account} timeout={timeout_ms}"));
        if reader.stream.write_all(request.as_bytes()).is_err() {
            connection = None;
            continue;
        }
        let sent_at = Instant::now();
        let _ = reader.stream.set_read_timeout(Some(Duration::from_millis(timeout_ms + 550)));
        let outcome = reader.message();
        let after_ms = sent_at.elapsed().as_millis() as u64;
        match outcome {
            Ok(Some(answer)) => {
                world.record.line(&format!("client-{client} answered id={id} status={} took={after_ms}ms", answer.status()));
                counts.answered.fetch_add(1, Ordering::Relaxed);
                if after_ms > timeout_ms + 550 {
                    counts.late.fetch_add(1, Ordering::Relaxed);
                }
                if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    connection = None;
                }
            }
            ended => {
                let how = match ended {
                    Ok(_) => "ended in order".to_string(),
                    Err(error) => error.to_string(),
                };
                let attempts = world.done(&id).attempts;
                connection = None;
                if attempts == 0 && after_ms < 50 {
                    // The node closed the connection between two requests, and that crossed this one.
                    world.record.line(&format!("client-{client} crossed id={id} ({how})"));
                    counts.crossed.fetch_add(1, Ordering::Relaxed);
                } else {
                    world.record.line(&format!(
                        "client-{client} BROKEN id={id} {class} lost: connection {how} after {after_ms} of {timeout_ms} ms; attempts at servers: {attempts}"
                    ));
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        thread::sleep(Duration::from_millis(random.between(10.0, 150.0) as u64));
    }
}

/// The configuration of a node, with settings like those of `north-crop-loans` and free addresses.
fn config(number: usize, starts: usize, listen: SocketAddr, discovery: &Discovery) -> String {
    format!(
        r#"{{"name":"n{number}","listen":"{listen}","discovery":"{}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{},
 "settings":{{"BilledValuePer":"work","Discovery":"push","Siblings":{NODES},"MyNumber":{number},"MyZone":{number},
  "Zones":["goodlands","triolet","pamplemousses"],"Shapes":["twin-core","single-core"],"WeightKind":"nominal",
  "Specifics":{{"Mode":"through","OriginKind":-1}},
  "LoadInfo":{{"Columns":[],"How":"silent"}},
  "Bounds":{{"ConnectTimeoutUs":250000,"KeepaliveUs":30000000,"MaxRetryAfterUs":2000000,"MayCancel":true,"MayProbe":true,"MostShots":4,"Peers":true,"RetryAfter":true,"SecondCopies":true}},
  "Products":[
   {{"Name":"balance","Effect":"read_like","DedupScope":"all","LatencySloUs":1200000,"ClientTimeoutUs":2500000,"BilledValue":2.0,"TardyBilledValue":0.0,"WindowUs":5000000}},
   {{"Name":"statement","Effect":"read_like","DedupScope":"all","LatencySloUs":1500000,"ClientTimeoutUs":6000000,"BilledValue":1.0,"TardyBilledValue":0.0,"WindowUs":5000000}}],
  "Rules":{{"AnswerSlackUs":20000,"ColdFrom":0.13,"WarmAfterUs":22000000,"FallMultiple":2.5,"FallUs":3000000,"MustAskInUs":0,"StopSendingWithinUs":500000}}}}}}"#,
        discovery.address,
        0x5eed_0000 + (starts * 16 + number) as u64,
        discovery.known(),
    )
}
