//! A trial: clients send much at once and go.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::program::{free_address, has_trouble, Node};
use review_stand_ins::record::Record;
use review_stand_ins::servers::World;
use review_stand_ins::{mu_loans_config, mu_loans_servers};

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    let world = World::new(record, 9);
    let (_, discovery) = mu_loans_servers(&world, 9, None);
    let listen = free_address();
    let node = Node::start("n0", listen, &mu_loans_config(0, 1, 77, listen, &discovery));
    let value_bytes: usize = std::env::var("VALUE").ok().and_then(|v| v.parse().ok()).unwrap_or(6144);
    let count: usize = std::env::var("COUNT").ok().and_then(|v| v.parse().ok()).unwrap_or(60);
    let mut closed = Vec::new();
    for round in 0..10 {
        let mut stream = TcpStream::connect(listen).unwrap();
        let mut bytes = String::new();
        let mut ids = Vec::new();
        for n in 0..count {
            let id = format!("{round:08x}{n:08x}");
            let value = "x".repeat(value_bytes);
            bytes.push_str(&format!(
                "PUT /repayment-post/{n:06} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: repayment-post\r\nX-Timeout-Ms: 1500\r\nIdempotency-Key: k-{id}\r\nContent-Length: {}\r\n\r\n{value}",
                value.len()
            ));
            ids.push(id);
        }
        let began = Instant::now();
        let sent = stream.write_all(bytes.as_bytes());
        let took = began.elapsed();
        if !has_trouble() {
            thread::sleep(Duration::from_secs(3));
        }
        drop(stream);
        let closed_at = world.record.seconds();
        world.record.line(&format!("client {round} sent {} bytes {sent:?} in {took:?} and closed", bytes.len()));
        closed.push((closed_at, ids));
        thread::sleep(Duration::from_secs(2));
    }
    drop(node);
    world.record.flush();
    let text = std::fs::read_to_string(std::env::args().nth(1).unwrap()).unwrap();
    let mut late = 0;
    for (closed_at, ids) in &closed {
        for line in text.lines().filter(|line| line.contains(" got ")) {
            let at: f64 = line.split_whitespace().next().unwrap().parse().unwrap();
            if ids.iter().any(|id| line.contains(id)) && at > closed_at + 0.15 {
                late += 1;
                println!("closed {closed_at:.3}: {line}");
            }
        }
    }
    println!("late attempts {late}");
}
