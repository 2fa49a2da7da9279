//! A trial: a hot key in a burst while cache servers are cold, with a hundred nodes.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_stand_ins::discovery::{Discovery, Entry};
use review_stand_ins::http::{exchange, Reader, Seen};
use review_stand_ins::mu_loans_config;
use review_stand_ins::program::{free_address, Node};
use review_stand_ins::random::{Random, Zipf};
use review_stand_ins::record::Record;
use review_stand_ins::servers::{self, Settings, World};

fn env(name: &str, default: f64) -> f64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or("record.txt".into());
    let nodes_count = env("NODES", 100.0) as usize;
    let caches = 12usize;
    let cold = env("COLD", 6.0) as usize;
    let world = World::new(Record::create(&path), caches);
    let mut entries = Vec::new();
    for index in 0..caches {
        let settings = Settings { name: format!("cache-{index}"), cache: None, work_ms: (60.0, 60.0), slots: 1, queue: 3, second_answers: None, refusal_ms: (0.0, 0.0) };
        let server = servers::start(settings, &world, index as u64);
        entries.push(Entry { uid: format!("s-{index}"), address: server.address, zone: "ebene".into(), kind: "std-1".into(), cell: 0, state: "active".into(), size: 1.0, boot_ms: 0 });
    }
    let discovery = Discovery::start(entries);
    let seed = env("SEED", 1.0) as u64;
    let nodes: Vec<Node> = (0..nodes_count).map(|n| {
        let listen = free_address();
        Node::start(&format!("n{n}"), listen, &mu_loans_config(n, nodes_count, seed * 1000 + n as u64, listen, &discovery))
    }).collect();
    println!("nodes ready at {:.1}", world.record.seconds());
    let is_burst = Arc::new(AtomicBool::new(false));
    let stop = Arc::new(AtomicBool::new(false));
    let hot = Arc::new(AtomicU64::new(u64::MAX));
    let zipf = Arc::new(Zipf::new(400, 1.0, 3.0));
    let base = env("LOAD", 0.56) * caches as f64 / 0.06 / nodes_count as f64;
    let clients: Vec<_> = nodes.iter().enumerate().map(|(n, node)| {
        let (is_burst, stop, hot, zipf, listen) = (is_burst.clone(), stop.clone(), hot.clone(), zipf.clone(), node.listen);
        thread::spawn(move || {
            let mut random = Random::new(seed * 7919 + n as u64);
            let mut reader = Reader::new(TcpStream::connect(listen).unwrap());
            let mut number = 0u64;
            while !stop.load(Ordering::Relaxed) {
                let rate = base * if is_burst.load(Ordering::Relaxed) { env("BURST", 2.0) } else { 1.0 };
                thread::sleep(Duration::from_secs_f64(-(1.0 - random.unit()).ln() / rate));
                number += 1;
                let hot_key = hot.load(Ordering::Relaxed);
                let key = if hot_key != u64::MAX && random.unit() < env("HOT", 0.2) { hot_key } else { zipf.draw(&mut random) as u64 };
                let id = format!("{:016x}", ((n as u64 + 1) << 40) | number);
                let request = format!("GET /balance-read/{key:06} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: balance-read\r\nX-Timeout-Ms: 1000\r\nX-Cost: 60000\r\n\r\n");
                if !matches!(exchange(&mut reader, request.as_bytes(), Duration::from_millis(1550)), Seen::Answer(_)) {
                    reader = Reader::new(TcpStream::connect(listen).unwrap());
                }
            }
        })
    }).collect();
    thread::sleep(Duration::from_secs(12));
    let started = world.record.seconds();
    for index in 0..cold { discovery.restart(&format!("s-{index}")); }
    let mid = env("MID", 12.0);
    thread::sleep(Duration::from_secs_f64(mid));
    is_burst.store(true, Ordering::Relaxed);
    // A key that a cold server got lately.
    world.record.flush();
    let text = std::fs::read_to_string(&path).unwrap();
    let key = text.lines().rev().filter(|line| line.contains(" got ")).find_map(|line| {
        let words: Vec<_> = line.split_whitespace().collect();
        let is_cold = (0..cold).any(|index| words[1] == format!("cache-{index}"));
        is_cold.then(|| words[6].parse::<u64>().unwrap())
    });
    hot.store(key.unwrap_or(0), Ordering::Relaxed);
    world.record.line(&format!("platform burst, hot key {key:?}"));
    thread::sleep(Duration::from_secs_f64(24.5 - mid));
    stop.store(true, Ordering::Relaxed);
    for client in clients { let _ = client.join(); }
    drop(nodes);
    world.record.flush();
    let text = std::fs::read_to_string(&path).unwrap();
    let mut fullest: f64 = 0.0;
    for index in 0..cold {
        let mut window: VecDeque<f64> = VecDeque::new();
        for line in text.lines().filter(|line| line.contains(&format!(" cache-{index} got "))) {
            let at: f64 = line.split_whitespace().next().unwrap().parse().unwrap();
            if at < started || at > started + 24.0 { continue; }
            window.push_back(at);
            while window.front().is_some_and(|first| at - first > 2.0) { window.pop_front(); }
            let n = 3.0 * (0.2 + 0.8 * (at - started) / 24.0) / 0.06 * 2.0;
            let bound = if n < 30.0 { n + 3.0 * (n + 3.0).sqrt() } else { n + 2.0 * n.sqrt() + 2.0 };
            fullest = fullest.max(window.len() as f64 / bound);
        }
    }
    println!("arrivals {} fullest window {fullest:.2}", text.lines().filter(|line| line.contains(" got ")).count());
}
