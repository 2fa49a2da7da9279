//! Clients that send many payments at once and go.
//!
//! Each of them writes more than the node and its system read ahead, and closes its connection. Other clients
//! go on as usual. Servers note when each attempt begins.

use std::collections::HashMap;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stand_ins_2::client::{self, Client, End};
use stand_ins_2::discovery::{Discovery, Entry};
use stand_ins_2::http;
use stand_ins_2::process;
use stand_ins_2::record::{Record, Verdict};
use stand_ins_2::{has_trouble, server};

const ROUNDS: usize = 10;
const GONE_PER_ROUND: usize = 3;
/// Payments that one of them sends, and the length of each.
const PAYMENTS: usize = 120;
const PAYMENT_BYTES: usize = 4 * 1024;
/// How many are posted one by one where clients don't go.
const POSTED_ONE_BY_ONE: usize = 4;
/// How long a payment takes at the origin.
const WORK: Duration = Duration::from_millis(300);
/// An attempt may begin this long after the close: 0.1 s, and 50 ms that each limit is longer on sockets.
const ALLOWED_MS: f64 = 150.0;
const TIMEOUT_MS: u64 = 1500;

/// What servers and clients note, with times of the one clock of the run.
#[derive(Default)]
struct Book {
    /// When the last byte of each attempt had come, by its request.
    attempts: Vec<(String, f64)>,
    /// When the client of a request had closed its connection.
    closed: HashMap<String, f64>,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Record::create(&folder);
    let book: Arc<Mutex<Book>> = Arc::default();
    let temporary = process::temporary_folder("gone");
    let mut entries: Vec<Entry> =
        (0..4).map(|cache| entry(&format!("s-{cache}"), "std-1", start_server(&record, &book, 30))).collect();
    entries.push(entry("origin", "origin", start_server(&record, &book, WORK.as_millis() as u64)));
    let discovery = Discovery::start(entries);
    let listen = process::free_address();
    let config = temporary.join("n0.json");
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{}","seed":"29","limits":{{"sockets":1024,"memory_mb":192}},
"settings":{{"Discovery":"push","Siblings":1,"Zones":["a"],"Shapes":["std-1","origin"],
"Specifics":{{"Mode":"aside","OriginKind":1}},
"Products":[{{"Name":"balance-read","Effect":"read_like","LatencySloUs":600000,"ClientTimeoutUs":1200000}},
{{"Name":"repayment-post","Effect":"non_idempotent","LatencySloUs":1200000,"ClientTimeoutUs":{TIMEOUT_MS}000}}],
"Bounds":{{"MostShots":4,"MayCancel":true,"ConnectTimeoutUs":250000,"KeepaliveUs":10000000,"SecondCopies":false,"StreamsPerConn":1,"RetryAfter":true,"MaxRetryAfterUs":1500000}},
"Rules":{{"AnswerSlackUs":20000,"StopSendingWithinUs":300000,"MustAskInUs":10000000,"ColdFrom":0.2,"WarmAfterUs":24000000,"FallMultiple":3,"FallUs":2000000}}}}}}"#,
        discovery.address,
    );
    fs::write(&config, text).expect("a temporary file");
    process::start_node(&config, &temporary.join("n0.log"), "");
    if !client::wait_until_ready(listen, Duration::from_secs(10)) {
        record.end(Verdict::NotRun);
    }
    std::thread::sleep(Duration::from_millis(500));
    for round in 0..ROUNDS {
        let mut threads = Vec::new();
        for number in 0..GONE_PER_ROUND {
            let (record, book) = (record.clone(), book.clone());
            threads.push(std::thread::spawn(move || send_and_go(&record, &book, listen, &format!("g{round}c{number}"))));
        }
        let record = record.clone();
        threads.push(std::thread::spawn(move || read_as_usual(&record, listen, round)));
        for thread in threads {
            let _ = thread.join();
        }
        std::thread::sleep(Duration::from_millis(1000));
    }
    let _ = fs::remove_dir_all(&temporary);
    let book = book.lock().unwrap();
    let mut late = 0;
    for (id, at) in &book.attempts {
        if let Some(closed) = book.closed.get(id)
            && at - closed > ALLOWED_MS
        {
            late += 1;
            record.say(&format!("GONE: an attempt of {id} began {:.0} ms after its client had gone", at - closed));
        }
    }
    record.say(&format!(
        "{} clients sent {} payments each; {} attempts in all, {late} began more than {ALLOWED_MS} ms after their \
         client had gone",
        ROUNDS * GONE_PER_ROUND,
        if has_trouble() { PAYMENTS } else { POSTED_ONE_BY_ONE },
        book.attempts.len()
    ));
    record.end(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends payments in one go and closes the connection. Without the disruption, some of them are posted one
/// after another, each when the one before is answered.
fn send_and_go(record: &Record, book: &Mutex<Book>, node: SocketAddr, name: &str) {
    let ids: Vec<String> = (0..PAYMENTS).map(|payment| format!("{name}p{payment:03}")).collect();
    let value = "7".repeat(PAYMENT_BYTES);
    let text = |id: &str| client::put("repayment-post", &format!("a{name}"), id, TIMEOUT_MS, None, &value);
    if has_trouble() {
        let all: Vec<u8> = ids.iter().flat_map(|id| text(id)).collect();
        let Ok(mut stream) = TcpStream::connect(node) else { return };
        record.line(&format!("client {name} sends {PAYMENTS} payments, {} bytes", all.len()));
        let sent = stream.write_all(&all);
        drop(stream);
        record.line(&format!("client {name} has closed its connection ({sent:?})"));
    } else {
        let mut client = Client::new(node);
        for id in &ids[..POSTED_ONE_BY_ONE] {
            let end = client.call(&text(id), Duration::from_millis(TIMEOUT_MS + 550));
            record.line(&format!("client {name} has {id} {end:?}"));
        }
        drop(client);
        record.line(&format!("client {name} has closed its connection"));
    }
    let at = record.ms();
    book.lock().unwrap().closed.extend(ids.into_iter().map(|id| (id, at)));
}

fn read_as_usual(record: &Record, node: SocketAddr, round: usize) {
    let mut client = Client::new(node);
    for number in 0..20 {
        let id = format!("u{round}n{number:02}");
        let text = client::get("balance-read", &format!("k{number}"), &id, 1200);
        if let End::Answer(answer) = client.call(&text, Duration::from_millis(1750)) {
            record.line(&format!("usual client has {id} {}", answer.status()));
        }
    }
}

fn start_server(record: &Record, book: &Arc<Mutex<Book>>, work_ms: u64) -> SocketAddr {
    let (record, book) = (record.clone(), book.clone());
    server::start(move |request, writer, connection| {
        let id = request.id().to_string();
        book.lock().unwrap().attempts.push((id.clone(), record.ms()));
        record.line(&format!("server, connection {connection}, got {} {id} of {} bytes", request.method(), request.body.len()));
        std::thread::sleep(Duration::from_millis(work_ms));
        record.line(&format!("server, connection {connection}, ran {id}"));
        writer.write(&http::response(200, &[], &format!("done {id}")))
    })
}

fn entry(uid: &str, model: &str, endpoint: SocketAddr) -> Entry {
    Entry {
        uid: uid.into(),
        endpoint,
        zone: "a".into(),
        model: model.into(),
        group: 1,
        state: "active".into(),
        boot_ms: 0,
    }
}
