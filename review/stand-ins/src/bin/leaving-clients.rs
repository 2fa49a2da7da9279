//! A trial: clients leave while a further attempt of their requests waits for room at a crowded origin.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::discovery::{Discovery, Entry};
use review_stand_ins::mu_loans_config;
use review_stand_ins::program::{free_address, Node};
use review_stand_ins::random::Random;
use review_stand_ins::record::Record;
use review_stand_ins::servers::{self, Settings, World};

fn main() {
    let path = std::env::args().nth(1).unwrap_or("record.txt".into());
    let world = World::new(Record::create(&path), 4);
    let mut entries = Vec::new();
    for index in 0..5 {
        let is_origin = index == 4;
        let settings = Settings {
            name: if is_origin { "origin".into() } else { format!("cache-{index}") },
            cache: (!is_origin).then_some(index),
            work_ms: if is_origin { (84.0, 240.0) } else { (25.0, 75.0) },
            slots: 1,
            queue: 3,
            second_answers: None,
            refusal_ms: (0.0, 0.0),
        };
        let server = servers::start(settings, &world, index as u64);
        let kind = if is_origin { "origin" } else { "std-1" };
        entries.push(Entry { uid: format!("s-{index}"), address: server.address, zone: "ebene".into(), kind: kind.into(), cell: 0, state: "active".into(), size: 1.0, boot_ms: 0 });
    }
    let discovery = Discovery::start(entries);
    let listen = free_address();
    let node = Node::start("n0", listen, &mu_loans_config(0, 1, 5, listen, &discovery));
    let until = Instant::now() + Duration::from_secs(30);
    let closed = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..16).map(|client| {
        let (world, closed) = (world.clone(), closed.clone());
        thread::spawn(move || {
            let mut random = Random::new(3 + client);
            let mut number = 0u64;
            while Instant::now() < until {
                number += 1;
                let id = format!("{:016x}", ((client + 1) << 40) | number);
                let mut stream = TcpStream::connect(listen).unwrap();
                let request = format!("GET /balance-read/{client}-{number} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: balance-read\r\nX-Timeout-Ms: 1200\r\n\r\n");
                let _ = stream.write_all(request.as_bytes());
                thread::sleep(Duration::from_millis(random.between(20.0, 450.0) as u64));
                drop(stream);
                closed.lock().unwrap().push((world.record.seconds(), id));
            }
        })
    }).collect();
    for client in clients { let _ = client.join(); }
    thread::sleep(Duration::from_secs(2));
    drop(node);
    world.record.flush();
    let text = std::fs::read_to_string(&path).unwrap();
    let closed: std::collections::HashMap<String, f64> = closed.lock().unwrap().drain(..).map(|(at, id)| (id, at)).collect();
    let (mut attempts, mut late) = (0, 0);
    for line in text.lines().filter(|line| line.contains(" got ")) {
        attempts += 1;
        let words: Vec<_> = line.split_whitespace().collect();
        let at: f64 = words[0].parse().unwrap();
        let id = words[3].trim_start_matches("id=");
        if closed.get(id).is_some_and(|closed_at| at > closed_at + 0.15) {
            late += 1;
            println!("{line}");
        }
    }
    println!("requests {} attempts {attempts} begun over 0.15 s after the close {late}", closed.len());
}
