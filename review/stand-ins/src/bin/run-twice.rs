//! Second answers some milliseconds late, at a site whose writes must not run twice and whose origin turns
//! requests away when it is full.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::discovery::{Discovery, Entry};
use review_stand_ins::http::{exchange, Reader, Seen};
use review_stand_ins::mu_loans_config;
use review_stand_ins::program::{free_address, has_trouble, Node};
use review_stand_ins::random::{Random, Zipf};
use review_stand_ins::record::Record;
use review_stand_ins::servers::{self, SecondAnswers, Settings, World};

fn env(name: &str, default: f64) -> f64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or("record.txt".into());
    let nodes_count = env("NODES", 4.0) as usize;
    let world = World::new(Record::create(&path), 9);
    let second = has_trouble().then_some(SecondAnswers { share: env("SHARE", 0.05), delay_ms: (2.0, 12.0) });
    let mut entries = Vec::new();
    for index in 0..10 {
        let is_origin = index == 9;
        let settings = Settings {
            name: if is_origin { "origin".into() } else { format!("cache-{index}") },
            cache: (!is_origin).then_some(index),
            work_ms: if is_origin { (84.0, 160.0) } else { (25.0, 75.0) },
            slots: if is_origin { env("SLOTS", 4.0) as usize } else { 1 },
            queue: if is_origin { env("QUEUE", 1.0) as usize } else { 3 },
            second_answers: second,
            refusal_ms: (0.5, 3.0),
        };
        let server = servers::start(settings, &world, 40 + index as u64);
        let kind = if is_origin { "origin" } else { "std-1" };
        entries.push(Entry { uid: format!("s-{index}"), address: server.address, zone: "ebene".into(), kind: kind.into(), cell: 0, state: "active".into(), size: 1.0, boot_ms: 0 });
    }
    let discovery = Discovery::start(entries);
    let nodes: Vec<Node> = (0..nodes_count).map(|n| {
        let listen = free_address();
        let config = mu_loans_config(n, nodes_count, 7000 + n as u64, listen, &discovery);
        Node::start(&format!("n{n}"), listen, &config.replace("idempotency_key", "non_idempotent"))
    }).collect();
    let until = Instant::now() + Duration::from_secs(env("SECONDS", 60.0) as u64);
    let zipf = Arc::new(Zipf::new(800, 1.2, 1.0));
    let answered = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..nodes_count * env("CPN", 3.0) as usize).map(|client| {
        let (world, zipf, answered) = (world.clone(), zipf.clone(), answered.clone());
        let listen = nodes[client % nodes_count].listen;
        thread::spawn(move || run_client(client, listen, until, &world, &zipf, &answered))
    }).collect();
    for client in clients { let _ = client.join(); }
    thread::sleep(Duration::from_secs(1));
    drop(nodes);
    let mut twice = 0;
    for (id, done) in world.done.lock().unwrap().iter() {
        if done.writes.len() > 1 {
            twice += 1;
            world.record.line(&format!("BROKEN id={id} ran {} times: {:?}", done.writes.len(), done.writes));
        }
    }
    world.record.flush();
    let text = std::fs::read_to_string(&path).unwrap();
    println!("answered {} turned away {} second answers {} writes run twice {twice} refused though run {}", answered.load(Ordering::Relaxed), text.matches("turned-away").count(), text.matches("second-answer").count(), text.matches("REFUSED-THOUGH-RUN").count());
}

fn run_client(client: usize, listen: SocketAddr, until: Instant, world: &World, zipf: &Zipf, answered: &AtomicU64) {
    let mut random = Random::new(500 + client as u64);
    let mut reader = Reader::new(TcpStream::connect(listen).unwrap());
    let mut number = 0u64;
    while Instant::now() < until {
        number += 1;
        let id = format!("{:016x}", ((client as u64 + 1) << 40) | number);
        let is_write = random.unit() < env("WRITES", 0.3);
        let account = format!("{:06}", zipf.draw(&mut random));
        let request = if is_write {
            format!("PUT /repayment-post/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: repayment-post\r\nX-Timeout-Ms: 1500\r\nContent-Length: 3\r\n\r\npay")
        } else {
            format!("GET /balance-read/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: balance-read\r\nX-Timeout-Ms: 1200\r\n\r\n")
        };
        world.record.line(&format!("client-{client} sent id={id}"));
        match exchange(&mut reader, request.as_bytes(), Duration::from_millis(2050)) {
            Seen::Answer(answer) => {
                answered.fetch_add(1, Ordering::Relaxed);
                let status = answer.status();
                let has_run = !world.done(&id).writes.is_empty();
                let word = if is_write && has_run && (status == 429 || status == 503) { " REFUSED-THOUGH-RUN" } else { "" };
                world.record.line(&format!("client-{client} answered id={id} status={status}{word}"));
                if answer.header("connection").is_some_and(|value| value == "close") {
                    reader = Reader::new(TcpStream::connect(listen).unwrap());
                }
                if status != 200 { thread::sleep(Duration::from_millis(random.between(18.0, 140.0) as u64)); }
            }
            _ => reader = Reader::new(TcpStream::connect(listen).unwrap()),
        }
    }
}
