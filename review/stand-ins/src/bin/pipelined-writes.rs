//! A case: clients send several writes at once, some kilobytes each.
//!
//! Two nodes with the settings of `mu-loans-east`. Each client posts twelve repayments of 6 KiB at once on its
//! connection (with TROUBLE=0 one after the other), and reads the answers. The check: each request has its
//! answer within its time, counted from its last byte, and 0.55 s.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::http::Reader;
use review_stand_ins::program::{self, free_address, has_trouble, Node};
use review_stand_ins::random::Random;
use review_stand_ins::record::Record;
use review_stand_ins::servers::World;
use review_stand_ins::{mu_loans_config, mu_loans_servers};

const NODES: usize = 2;
const CLIENTS_PER_NODE: usize = 2;
const AT_ONCE: usize = 12;
const VALUE_BYTES: usize = 6 * 1024;
const CACHES: usize = 9;
const SECONDS: u64 = 40;
const SLACK_MS: f64 = 550.0;

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    lost: AtomicU64,
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    let world = World::new(record, CACHES);
    let (_, discovery) = mu_loans_servers(&world, CACHES, None);
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| {
            let listen = free_address();
            let config = mu_loans_config(number, NODES, 0x5eed_0000 + number as u64, listen, &discovery);
            Node::start(&format!("n{number}"), listen, &config)
        })
        .collect();
    let counts = Arc::new(Counts::default());
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let clients: Vec<_> = (0..NODES * CLIENTS_PER_NODE)
        .map(|client| {
            let (world, counts) = (world.clone(), counts.clone());
            let listen = nodes[client % NODES].listen;
            thread::spawn(move || run_client(client, listen, until, &world, &counts))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let summary =
        format!("summary trouble={} answered={} lost={}", has_trouble(), get(&counts.answered), get(&counts.lost));
    world.record.line(&summary);
    world.record.flush();
    println!("{summary}");
    if get(&counts.answered) < 200 {
        program::cannot_run("fewer than 200 requests were answered");
    }
    std::process::exit(i32::from(get(&counts.lost) > 0));
}

fn run_client(client: usize, listen: SocketAddr, until: Instant, world: &World, counts: &Counts) {
    let mut random = Random::new(91 + client as u64);
    let mut connection: Option<Reader> = None;
    let mut number = 0u64;
    while Instant::now() < until {
        if connection.is_none() {
            connection = TcpStream::connect(listen).ok().map(Reader::new);
        }
        let Some(reader) = &mut connection else { continue };
        let at_once = if has_trouble() { AT_ONCE } else { 1 };
        let mut bytes = String::new();
        let mut sent = Vec::new();
        for _ in 0..at_once {
            number += 1;
            let id = format!("{:016x}", ((client as u64 + 1) << 40) | number);
            let account = format!("{:06}", random.next() % 800);
            let timeout_ms = random.between(750.0, 1500.0) as u64;
            let value = format!("{{\"pay\":{number},\"note\":\"{}\"}}", "x".repeat(VALUE_BYTES));
            world.record.line(&format!("client-{client} sends id={id} PUT repayment-post {account} timeout={timeout_ms}"));
            bytes.push_str(&format!(
                "PUT /repayment-post/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: repayment-post\r\nX-Timeout-Ms: {timeout_ms}\r\nIdempotency-Key: k-{id}\r\nContent-Length: {}\r\n\r\n{value}",
                value.len()
            ));
            sent.push((id, timeout_ms));
        }
        if reader.stream.write_all(bytes.as_bytes()).is_err() {
            connection = None;
            continue;
        }
        let written_at = world.record.seconds();
        let _ = reader.stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut has_ended = false;
        for (id, timeout_ms) in &sent {
            let outcome = reader.message();
            let took_ms = (world.record.seconds() - written_at) * 1e3;
            match outcome {
                Ok(Some(answer)) => {
                    counts.answered.fetch_add(1, Ordering::Relaxed);
                    let is_lost = took_ms > *timeout_ms as f64 + SLACK_MS;
                    let word = if is_lost { "BROKEN" } else { "answered" };
                    world.record.line(&format!(
                        "client-{client} {word} id={id} status={} took={took_ms:.0}ms of {timeout_ms}ms",
                        answer.status()
                    ));
                    if is_lost {
                        counts.lost.fetch_add(1, Ordering::Relaxed);
                    }
                    has_ended |= answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                }
                ended => {
                    world.record.line(&format!("client-{client} BROKEN id={id} no answer: {ended:?}"));
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                    has_ended = true;
                    break;
                }
            }
        }
        if has_ended {
            connection = None;
        }
        thread::sleep(Duration::from_millis(random.between(50.0, 300.0) as u64));
    }
}
