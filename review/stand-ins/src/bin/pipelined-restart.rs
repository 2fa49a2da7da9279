//! Case 2: a planned restart while clients have sent several requests at once.
//!
//! Two nodes with the settings of `mu-loans-east`. Each client sends four reads at once on its connection and
//! reads the four answers. The nodes are restarted one after the other: SIGTERM, then SIGKILL after the longest
//! deadline and 0.75 s, then a new start. The check: of the requests that were sent at once and of which the
//! node answered the first, each has a whole answer before its connection ends.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::discovery::Discovery;
use review_stand_ins::http::Reader;
use review_stand_ins::program::{self, free_address, has_trouble, Node};
use review_stand_ins::random::{Random, Zipf};
use review_stand_ins::record::Record;
use review_stand_ins::servers::World;
use review_stand_ins::{mu_loans_config, mu_loans_servers};

const NODES: usize = 2;
const CLIENTS_PER_NODE: usize = 3;
const AT_ONCE: usize = 4;
const CACHES: usize = 9;
const KEYS: usize = 800;
/// The longest deadline of the site is 1.5 s; SIGKILL comes no sooner than that and 0.7 s more.
const KILL_AFTER: Duration = Duration::from_millis(2250);
const RESTARTS: usize = 4;

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    lost: AtomicU64,
    crossed: AtomicU64,
}

/// A node's place, which the front leaves out while the node is being replaced.
struct Place {
    listen: SocketAddr,
    takes_connections: AtomicBool,
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    let world = World::new(record, CACHES);
    let (_, discovery) = mu_loans_servers(&world, CACHES, None);
    let mut nodes = Vec::new();
    let mut places = Vec::new();
    for number in 0..NODES {
        let listen = free_address();
        nodes.push(start(number, 0, listen, &discovery));
        places.push(Arc::new(Place { listen, takes_connections: AtomicBool::new(true) }));
    }
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let zipf = Arc::new(Zipf::new(KEYS, 1.1, 2.0));
    let clients: Vec<_> = (0..NODES * CLIENTS_PER_NODE)
        .map(|client| {
            let (world, counts, zipf, stop) = (world.clone(), counts.clone(), zipf.clone(), stop.clone());
            let places = places.clone();
            thread::spawn(move || run_client(client, &places, &stop, &world, &counts, &zipf))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    for restart in 0..RESTARTS {
        let number = restart % NODES;
        if has_trouble() {
            let place = &places[number];
            world.record.line(&format!("platform SIGTERM to n{number}"));
            nodes[number].signal("TERM");
            let until = Instant::now() + KILL_AFTER;
            // New connections go on coming for a while.
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
            thread::sleep(Duration::from_millis(300));
            world.record.line(&format!("platform starts n{number} again"));
            nodes[number] = start(number, restart + 1, place.listen, &discovery);
            place.takes_connections.store(true, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_secs(4));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let crashed: Vec<String> =
        nodes.iter_mut().filter_map(|node| node.ended().map(|status| format!("{} {status}", node.name))).collect();
    drop(nodes);
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let summary = format!(
        "summary trouble={} answered={} lost={} crossed-a-close-and-sent-again={} crashed={crashed:?}",
        has_trouble(),
        get(&counts.answered),
        get(&counts.lost),
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

fn start(number: usize, starts: usize, listen: SocketAddr, discovery: &Discovery) -> Node {
    let seed = 0x5eed_0000 + (starts * 16 + number) as u64;
    Node::start(&format!("n{number}"), listen, &mu_loans_config(number, NODES, seed, listen, discovery))
}

fn run_client(
    client: usize,
    places: &[Arc<Place>],
    stop: &AtomicBool,
    world: &World,
    counts: &Counts,
    zipf: &Zipf,
) {
    let mut random = Random::new(31 + client as u64);
    let mut connection: Option<Reader> = None;
    let mut number = 0u64;
    while !stop.load(Ordering::Relaxed) {
        if connection.is_none() {
            // The front deals connections out to the nodes that it takes to be alive.
            let alive: Vec<_> =
                places.iter().filter(|place| place.takes_connections.load(Ordering::Relaxed)).collect();
            let place = alive.get(client % alive.len().max(1));
            connection = place.and_then(|place| TcpStream::connect(place.listen).ok()).map(Reader::new);
        }
        let Some(reader) = &mut connection else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut bytes = String::new();
        let mut ids = Vec::new();
        let timeout_ms = 1200;
        for _ in 0..AT_ONCE {
            number += 1;
            let id = format!("{:016x}", ((client as u64 + 1) << 40) | number);
            let account = format!("{:06}", zipf.draw(&mut random));
            world.record.line(&format!("client-{client} sends id={id} GET balance-read {account} timeout={timeout_ms}"));
            bytes.push_str(&format!(
                "GET /balance-read/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: balance-read\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
            ));
            ids.push(id);
        }
        if reader.stream.write_all(bytes.as_bytes()).is_err() {
            counts.crossed.fetch_add(AT_ONCE as u64, Ordering::Relaxed);
            connection = None;
            continue;
        }
        let written_at = world.record.seconds();
        let has_ended = read_answers(client, &ids, written_at, reader, world, counts);
        if has_ended {
            connection = None;
        }
        thread::sleep(Duration::from_millis(random.between(5.0, 60.0) as u64));
    }
}

/// Reads an answer for each request, and returns whether the connection has ended.
fn read_answers(
    client: usize,
    ids: &[String],
    written_at: f64,
    reader: &mut Reader,
    world: &World,
    counts: &Counts,
) -> bool {
    let _ = reader.stream.set_read_timeout(Some(Duration::from_millis(1750)));
    let mut says_close = false;
    for (place, id) in ids.iter().enumerate() {
        match reader.message() {
            Ok(Some(answer)) => {
                let now = world.record.seconds();
                says_close |= answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                world.record.line(&format!(
                    "client-{client} answered id={id} status={} took={:.0}ms close={says_close}",
                    answer.status(),
                    (now - written_at) * 1e3
                ));
                counts.answered.fetch_add(1, Ordering::Relaxed);
            }
            ended => {
                let how = match ended {
                    Ok(_) => "ended in order".to_string(),
                    Err(error) => error.to_string(),
                };
                let after_ms = (world.record.seconds() - written_at) * 1e3;
                for id in &ids[place..] {
                    if place == 0 {
                        // The node closed the connection between two requests, and that may have crossed these.
                        world.record.line(&format!("client-{client} crossed id={id} ({how})"));
                        counts.crossed.fetch_add(1, Ordering::Relaxed);
                    } else {
                        let attempts = world.done(id).attempts;
                        world.record.line(&format!(
                            "client-{client} BROKEN id={id} lost: connection {how}, {after_ms:.0} ms after its last byte was written; attempts at servers: {attempts}"
                        ));
                        counts.lost.fetch_add(1, Ordering::Relaxed);
                    }
                }
                return true;
            }
        }
    }
    says_close
}
