//! A trial: all open watches fall silent, a quarter of the cache servers begin to drain, and the first call of
//! each node for the list is refused after a wait.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::http::{exchange, Reader, Seen};
use review_stand_ins::program::{free_address, has_trouble, Node};
use review_stand_ins::random::{Random, Zipf};
use review_stand_ins::record::Record;
use review_stand_ins::servers::World;
use review_stand_ins::{mu_loans_config, mu_loans_servers};

const NODES: usize = 4;
const DRAINING: usize = 3;

fn env(name: &str, default: f64) -> f64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or("record.txt".into());
    let world = World::new(Record::create(&path), 9);
    let (_, discovery) = mu_loans_servers(&world, 9, None);
    let nodes: Vec<Node> = (0..NODES)
        .map(|n| {
            let listen = free_address();
            Node::start(&format!("n{n}"), listen, &mu_loans_config(n, NODES, env("SEED", 70.0) as u64 + n as u64, listen, &discovery))
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(22);
    let zipf = Arc::new(Zipf::new(800, 1.1, 2.0));
    let answered = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..NODES * 3)
        .map(|client| {
            let (world, zipf, answered) = (world.clone(), zipf.clone(), answered.clone());
            let listen = nodes[client % NODES].listen;
            thread::spawn(move || run_client(client, listen, until, &world, &zipf, &answered))
        })
        .collect();
    thread::sleep(Duration::from_secs_f64(8.15 - world.record.seconds()));
    let silent_at = world.record.seconds();
    if has_trouble() {
        discovery.silence_watches(
            env("REFUSED", 4.0) as usize,
            Duration::from_millis(env("REFUSED_MS", 1000.0) as u64),
            Duration::from_millis(env("ANSWERED_MS", 900.0) as u64),
        );
    }
    world.record.line("platform the open watches fall silent");
    thread::sleep(Duration::from_millis(500));
    for index in 0..DRAINING {
        discovery.set_state(&format!("s-{index}"), "leaving");
    }
    let drain_at = world.record.seconds();
    world.record.line("platform three of nine cache servers begin to drain");
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    world.record.flush();
    let bound = if has_trouble() { silent_at + 6.0 } else { drain_at } + 0.35;
    let text = std::fs::read_to_string(&path).unwrap();
    let mut late = Vec::new();
    for line in text.lines().filter(|line| line.contains(" got ")) {
        let mut words = line.split_whitespace();
        let at: f64 = words.next().unwrap().parse().unwrap();
        let server = words.next().unwrap();
        if at > bound && (0..DRAINING).any(|index| server == format!("cache-{index}")) {
            late.push(at - silent_at);
        }
    }
    let last = late.last().copied().unwrap_or(0.0);
    println!("answered {} late sends to draining servers {} (last {last:.2} s after the silence)", answered.load(Ordering::Relaxed), late.len());
    std::process::exit(i32::from(!late.is_empty()));
}

fn run_client(client: usize, listen: SocketAddr, until: Instant, world: &World, zipf: &Zipf, answered: &AtomicU64) {
    let mut random = Random::new(11 + client as u64);
    let mut reader = Reader::new(TcpStream::connect(listen).unwrap());
    let mut number = 0u64;
    while Instant::now() < until {
        number += 1;
        let id = format!("{:016x}", ((client as u64 + 1) << 40) | number);
        let account = format!("{:06}", zipf.draw(&mut random));
        let request = format!(
            "GET /balance-read/{account} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: balance-read\r\nX-Timeout-Ms: 1000\r\n\r\n"
        );
        world.record.line(&format!("client-{client} sent id={id} to=n{}", client % NODES));
        match exchange(&mut reader, request.as_bytes(), Duration::from_millis(1550)) {
            Seen::Answer(_) => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            _ => reader = Reader::new(TcpStream::connect(listen).unwrap()),
        }
    }
}
