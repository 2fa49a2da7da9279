//! Case 1, second part: second answers some milliseconds late, and writes at an origin that turns requests away
//! when it is full.
//!
//! Short days, one after another: thirty nodes start, with caches that are empty. Each node has one client, which
//! reads an account and posts a repayment on it, one request after another. The checks: each 200 that a client
//! gets holds a body that was made for that request, and each write that was answered with 200 ran. Besides, no
//! write ran more than once.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::discovery::{Discovery, Entry};
use review_stand_ins::http::{exchange, Reader, Seen};
use review_stand_ins::mu_loans_config;
use review_stand_ins::program::{self, free_address, has_trouble, Node};
use review_stand_ins::random::{Random, Zipf};
use review_stand_ins::record::Record;
use review_stand_ins::servers::{self, SecondAnswers, Settings, World};

const NODES: usize = 30;
const CACHES: usize = 12;
const DAYS: usize = 10;
const DAY: Duration = Duration::from_millis(4500);

fn main() {
    let world = World::new(Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into())), CACHES);
    let answered = Arc::new(AtomicU64::new(0));
    let foreign = Arc::new(AtomicU64::new(0));
    let confirmed = Arc::new(Mutex::new(Vec::new()));
    for day in 0..DAYS {
        world.record.line(&format!("platform day {day} begins"));
        play_day(day, &world, &answered, &foreign, &confirmed);
        if world.record.seconds() > 58.0 {
            break;
        }
    }
    let mut twice = 0;
    for (id, done) in world.done.lock().unwrap().iter() {
        if done.writes.len() > 1 {
            twice += 1;
            world.record.line(&format!("BROKEN id={id} ran {} times: {:?}", done.writes.len(), done.writes));
        }
    }
    let mut never = 0;
    for id in confirmed.lock().unwrap().iter() {
        if world.done(id).writes.is_empty() {
            never += 1;
            world.record.line(&format!("BROKEN id={id} was confirmed by a 200 and ran nowhere"));
        }
    }
    let answered = answered.load(Ordering::Relaxed);
    let foreign = foreign.load(Ordering::Relaxed);
    let summary = format!(
        "summary trouble={} answered={answered} foreign={foreign} writes-run-twice={twice} writes-confirmed-that-never-ran={never}",
        has_trouble()
    );
    world.record.line(&summary);
    world.record.flush();
    println!("{summary}");
    if answered < 1000 {
        program::cannot_run("fewer than 1,000 requests were answered");
    }
    std::process::exit(i32::from(foreign > 0 || twice + never > 0));
}

fn play_day(
    day: usize,
    world: &Arc<World>,
    answered: &Arc<AtomicU64>,
    foreign: &Arc<AtomicU64>,
    confirmed: &Arc<Mutex<Vec<String>>>,
) {
    world.forget_stores();
    let second = has_trouble().then_some(SecondAnswers { share: 0.3, delay_ms: (2.0, 12.0) });
    let mut entries = Vec::new();
    for index in 0..=CACHES {
        let is_origin = index == CACHES;
        let settings = Settings {
            name: if is_origin { "origin".into() } else { format!("cache-{index}") },
            cache: (!is_origin).then_some(index),
            work_ms: if is_origin { (84.0, 160.0) } else { (25.0, 75.0) },
            slots: if is_origin { 8 } else { 1 },
            queue: if is_origin { 4 } else { 3 },
            second_answers: second,
            refusal_ms: (0.5, 3.0),
        };
        let server = servers::start(settings, world, (day * 100 + index) as u64);
        entries.push(Entry {
            uid: format!("s-{index}"),
            address: server.address,
            zone: "ebene".into(),
            kind: if is_origin { "origin" } else { "std-1" }.into(),
            cell: 0,
            state: "active".into(),
            size: 1.0,
            boot_ms: 0,
        });
    }
    let discovery = Discovery::start(entries);
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| {
            let listen = free_address();
            let seed = (day * 1000 + number) as u64;
            let config = mu_loans_config(number, NODES, seed, listen, &discovery);
            Node::start(&format!("n{number}"), listen, &config.replace("idempotency_key", "non_idempotent"))
        })
        .collect();
    let until = Instant::now() + DAY;
    let zipf = Arc::new(Zipf::new(800, 1.2, 1.0));
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(client, node)| {
            let (world, zipf, answered, listen) = (world.clone(), zipf.clone(), answered.clone(), node.listen);
            let (foreign, confirmed) = (foreign.clone(), confirmed.clone());
            thread::spawn(move || run_client(day, client, listen, until, &world, &zipf, &answered, &foreign, &confirmed))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
}

fn run_client(
    day: usize,
    client: usize,
    listen: SocketAddr,
    until: Instant,
    world: &World,
    zipf: &Zipf,
    answered: &AtomicU64,
    foreign: &AtomicU64,
    confirmed: &Mutex<Vec<String>>,
) {
    let mut random = Random::new((day * 1000 + client) as u64 + 17);
    let mut connection: Option<Reader> = None;
    let mut number = 0u64;
    let mut account = String::new();
    while Instant::now() < until {
        number += 1;
        let id = format!("{day:04x}{client:04x}{number:08x}");
        // A counter reads an account and then posts a repayment on it.
        let is_write = number % 2 == 0;
        if !is_write {
            account = format!("{:06}", zipf.draw(&mut random));
        }
        let request = if is_write {
            format!("PUT /repayment-post/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: repayment-post\r\nX-Timeout-Ms: 1500\r\nContent-Length: 3\r\n\r\npay")
        } else {
            format!("GET /balance-read/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: balance-read\r\nX-Timeout-Ms: 1200\r\n\r\n")
        };
        if connection.is_none() {
            connection = TcpStream::connect(listen).ok().map(Reader::new);
        }
        let Some(reader) = &mut connection else { continue };
        let method = if is_write { "PUT" } else { "GET" };
        world.record.line(&format!("client-{client} sent id={id} {method} {account}"));
        match exchange(reader, request.as_bytes(), Duration::from_millis(2050)) {
            Seen::Answer(answer) => {
                answered.fetch_add(1, Ordering::Relaxed);
                let status = answer.status();
                if status == 200 && !world.done(&id).bodies.contains(&answer.body) {
                    world.record.line(&format!(
                        "client-{client} BROKEN id={id} {method} got={}",
                        String::from_utf8_lossy(&answer.body).trim()
                    ));
                    foreign.fetch_add(1, Ordering::Relaxed);
                }
                if is_write && status == 200 {
                    confirmed.lock().unwrap().push(id.clone());
                }
                world.record.line(&format!("client-{client} answered id={id} status={status}"));
                if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    connection = None;
                }
                if status != 200 {
                    thread::sleep(Duration::from_millis(random.between(18.0, 140.0) as u64));
                }
            }
            seen => {
                world.record.line(&format!("client-{client} no-answer id={id} {seen:?}"));
                connection = None;
            }
        }
    }
}
