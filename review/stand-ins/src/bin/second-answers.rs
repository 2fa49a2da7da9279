//! Case 1, first part: a second answer comes some milliseconds after a cache server's answer.
//!
//! Six nodes as in `mu-loans-east`, each beside a client process that reads accounts one after another and
//! posts a repayment now and then. The check: each 200 that a client gets holds a body that a cache server or
//! the origin made for that request.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::http::{exchange, Reader, Seen};
use review_stand_ins::program::{self, free_address, has_trouble, Node};
use review_stand_ins::random::{Random, Zipf};
use review_stand_ins::record::Record;
use review_stand_ins::servers::{SecondAnswers, World};
use review_stand_ins::{mu_loans_config, mu_loans_servers};

const NODES: usize = 6;
const CACHES: usize = 9;
const KEYS: usize = 800;
const SECONDS: u64 = 40;

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
    foreign: AtomicU64,
    foreign_to_writes: AtomicU64,
    unrun_writes: AtomicU64,
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    let world = World::new(record, CACHES);
    let second_answers =
        has_trouble().then_some(SecondAnswers { share: 0.05, delay_ms: (2.0, 12.0) });
    let (_, discovery) = mu_loans_servers(&world, CACHES, second_answers);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|number| {
            let listen = free_address();
            Node::start(&format!("n{number}"), listen, &mu_loans_config(number, NODES, 0x5eed_0000 + number as u64, listen, &discovery))
        })
        .collect();
    let counts = Arc::new(Counts::default());
    let zipf = Arc::new(Zipf::new(KEYS, 1.2, 1.0));
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let clients: Vec<_> = (0..NODES)
        .map(|client| {
            let (world, counts, zipf) = (world.clone(), counts.clone(), zipf.clone());
            let node = &nodes[client];
            let (name, listen) = (node.name.clone(), node.listen);
            thread::spawn(move || run_client(client, &name, listen, until, &world, &counts, &zipf))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let crashed = nodes.iter_mut().filter_map(|node| node.ended().map(|status| format!("{} {status}", node.name)));
    let crashed: Vec<String> = crashed.collect();
    drop(nodes);
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let summary = format!(
        "summary trouble={} answered={} refused={} failed={} unanswered={} foreign={} (to writes {}, of them not run then {}) crashed={crashed:?}",
        has_trouble(), get(&counts.answered), get(&counts.refused), get(&counts.failed), get(&counts.unanswered),
        get(&counts.foreign), get(&counts.foreign_to_writes), get(&counts.unrun_writes)
    );
    world.record.line(&summary);
    world.record.flush();
    println!("{summary}");
    if get(&counts.answered) < 500 {
        program::cannot_run("fewer than 500 requests were answered");
    }
    std::process::exit(i32::from(get(&counts.foreign) > 0));
}

/// A client process beside a node: it sends one request after another on a kept connection.
fn run_client(
    client: usize,
    node: &str,
    listen: std::net::SocketAddr,
    until: Instant,
    world: &World,
    counts: &Counts,
    zipf: &Zipf,
) {
    let mut random = Random::new(7 + client as u64);
    let mut connection: Option<Reader> = None;
    let mut last_account = String::new();
    let mut number = 0u64;
    while Instant::now() < until {
        number += 1;
        let id = format!("{:016x}", ((client as u64 + 1) << 40) | number);
        let is_write = !last_account.is_empty() && random.unit() < 0.08;
        let account = if is_write { last_account.clone() } else { format!("{:06}", zipf.draw(&mut random)) };
        let (deadline, class) = if is_write { (1500.0, "repayment-post") } else { (1200.0, "balance-read") };
        let timeout_ms = (deadline * random.between(0.5, 1.0)) as u64;
        let request = if is_write {
            let body = format!("{{\"pay\":{number}}}");
            format!(
                "PUT /{class}/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Timeout-Ms: {timeout_ms}\r\nIdempotency-Key: k-{id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        } else {
            format!(
                "GET /{class}/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
            )
        };
        last_account = account.clone();
        if connection.is_none() {
            connection = TcpStream::connect(listen).ok().map(Reader::new);
        }
        let Some(reader) = &mut connection else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let sent_at = world.record.seconds();
        let method = if is_write { "PUT" } else { "GET" };
        world.record.line(&format!("client-{client} sent to={node} id={id} {method} {class} {account} timeout={timeout_ms}"));
        match exchange(reader, request.as_bytes(), Duration::from_millis(timeout_ms + 550)) {
            Seen::Answer(answer) => {
                let status = answer.status();
                let body = String::from_utf8_lossy(&answer.body).trim().to_string();
                let took_ms = (world.record.seconds() - sent_at) * 1e3;
                world.record.line(&format!("client-{client} answered id={id} status={status} took={took_ms:.0}ms body={body}"));
                match status {
                    200 => check(client, &id, is_write, &answer.body, world, counts),
                    429 | 503 => counts.refused.fetch_add(1, Ordering::Relaxed),
                    _ => counts.failed.fetch_add(1, Ordering::Relaxed),
                };
                if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    connection = None;
                }
                if status != 200 {
                    thread::sleep(Duration::from_millis(random.between(18.0, 140.0) as u64));
                }
            }
            Seen::Closed(how) => {
                world.record.line(&format!("client-{client} closed id={id} {how}"));
                counts.unanswered.fetch_add(1, Ordering::Relaxed);
                connection = None;
            }
            Seen::TimedOut => {
                world.record.line(&format!("client-{client} gave-up id={id}"));
                counts.unanswered.fetch_add(1, Ordering::Relaxed);
                connection = None;
            }
        }
    }
    if let Some(mut reader) = connection {
        let _ = reader.stream.flush();
    }
}

/// The rule: a 200 holds the body of the 200 answer that was given for this request.
fn check(client: usize, id: &str, is_write: bool, body: &[u8], world: &World, counts: &Counts) -> u64 {
    let done = world.done(id);
    if !done.bodies.iter().any(|made| made == body) {
        let text = String::from_utf8_lossy(body).trim().to_string();
        let made: Vec<_> = done.bodies.iter().map(|made| String::from_utf8_lossy(made).trim().to_string()).collect();
        let has_run = if is_write { format!(" has-run={}", !done.writes.is_empty()) } else { String::new() };
        world.record.line(&format!("client-{client} BROKEN id={id} got={text} made-for-it-by-now={made:?}{has_run}"));
        counts.foreign.fetch_add(1, Ordering::Relaxed);
        if is_write {
            counts.foreign_to_writes.fetch_add(1, Ordering::Relaxed);
            if done.writes.is_empty() {
                counts.unrun_writes.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    counts.answered.fetch_add(1, Ordering::Relaxed)
}
