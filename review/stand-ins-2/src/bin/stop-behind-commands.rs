//! A planned restart while clients have sent many commands at once.
//!
//! Each round: the node runs, clients send their commands in one go, 150 ms later the node gets SIGTERM. A
//! client whose connection ends with commands unanswered sends each of them once more on a new connection,
//! one at a time, as the protocol page allows. What has no answer after that is lost.

use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand_ins_2::client::{self, Client, End};
use stand_ins_2::discovery::{Discovery, Entry};
use stand_ins_2::http;
use stand_ins_2::process;
use stand_ins_2::record::{Record, Verdict};
use stand_ins_2::{has_trouble, server};

const ROUNDS: usize = 6;
const CLIENTS: usize = 4;
const COMMANDS: usize = 16;
const TIMEOUT_MS: u64 = 1200;
/// The node is told to end this long after the commands were sent.
const SENT_BEFORE: Duration = Duration::from_millis(150);
/// The time that a command takes at a cache server.
const WORK: Duration = Duration::from_millis(50);

/// What became of one command.
#[derive(Clone)]
struct Fate {
    id: String,
    status: Option<u16>,
    /// How the repeat on a new connection ended, if there was one.
    repeat: Option<String>,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Record::create(&folder);
    let temporary = process::temporary_folder("stop");
    let mut entries: Vec<Entry> = (0..4).map(|cache| entry(&format!("s-{cache}"), "std-1", cache_server(&record, cache))).collect();
    entries.push(entry("origin", "origin", cache_server(&record, 99)));
    let discovery = Discovery::start(entries);
    let listen = process::free_address();
    let config = temporary.join("n0.json");
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{}","seed":"29","limits":{{"sockets":1024,"memory_mb":192}},
"settings":{{"Discovery":"push","Siblings":4,"Zones":["a"],"Shapes":["std-1","origin"],
"Specifics":{{"Mode":"aside","OriginKind":1}},
"Products":[{{"Name":"balance-read","Effect":"read_like","LatencySloUs":600000,"ClientTimeoutUs":{}}},
{{"Name":"repayment","Effect":"non_idempotent","LatencySloUs":600000,"ClientTimeoutUs":1500000}}],
"Bounds":{{"MostShots":4,"MayCancel":true,"ConnectTimeoutUs":250000,"KeepaliveUs":10000000,"SecondCopies":false,"StreamsPerConn":1,"RetryAfter":true,"MaxRetryAfterUs":1500000}},
"Rules":{{"AnswerSlackUs":20000,"StopSendingWithinUs":300000,"MustAskInUs":10000000,"ColdFrom":0.2,"WarmAfterUs":24000000,"FallMultiple":3,"FallUs":2000000}}}}}}"#,
        discovery.address,
        TIMEOUT_MS * 1000
    );
    fs::write(&config, text).expect("a temporary file");
    let (mut commands, mut at_once, mut lost) = (0, 0, 0);
    for round in 0..ROUNDS {
        let node = process::start_node(&config, &temporary.join("n0.log"), "");
        if !client::wait_until_ready(listen, Duration::from_secs(10)) {
            record.end(Verdict::NotRun);
        }
        std::thread::sleep(Duration::from_millis(500));
        let fates: Arc<Mutex<Vec<Fate>>> = Arc::default();
        let threads: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (record, fates) = (record.clone(), fates.clone());
                std::thread::spawn(move || {
                    let played = play(&record, listen, round, number);
                    fates.lock().unwrap().extend(played);
                })
            })
            .collect();
        std::thread::sleep(SENT_BEFORE);
        if has_trouble() {
            record.line(&format!("round {round}: SIGTERM to the node"));
            process::signal(node, process::SIGTERM);
        }
        for thread in threads {
            let _ = thread.join();
        }
        let until = Instant::now() + Duration::from_millis(2500);
        while has_trouble() && process::ended(node).is_none() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(10));
        }
        record.line(&format!("round {round}: the node's end: {:?}", process::ended(node)));
        process::end(node);
        for fate in fates.lock().unwrap().iter() {
            commands += 1;
            at_once += usize::from(fate.repeat.is_some());
            if fate.status.is_none() {
                lost += 1;
                record.line(&format!("LOST: {} had no answer; its repeat: {:?}", fate.id, fate.repeat));
            }
        }
    }
    record.say(&format!(
        "{commands} commands were sent {SENT_BEFORE:?} before the stop signal; the connection of {at_once} ended without \
         their answer; {lost} of these had none on a new connection either"
    ));
    let _ = fs::remove_dir_all(&temporary);
    record.end(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// A client that sends its commands in one go and reads the answers.
fn play(record: &Record, node: SocketAddr, round: usize, number: usize) -> Vec<Fate> {
    let ids: Vec<String> = (0..COMMANDS).map(|command| format!("r{round}c{number}n{command:02}")).collect();
    let text = |command: usize, id: &str| {
        let key = format!("{:016x}", 0x51u64 * (1 + number as u64 * 100 + command as u64));
        client::get("balance-read", &key, id, TIMEOUT_MS)
    };
    let mut fates: Vec<Fate> =
        ids.iter().map(|id| Fate { id: id.clone(), status: None, repeat: None }).collect();
    let Ok(mut stream) = TcpStream::connect(node) else { return fates };
    let _ = stream.set_nodelay(true);
    let all: Vec<u8> = ids.iter().enumerate().flat_map(|(command, id)| text(command, id)).collect();
    record.line(&format!("client {number} sends {COMMANDS} commands at once, {} bytes", all.len()));
    let sent = stream.write_all(&all);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS + 550)));
    let mut reader = BufReader::new(stream);
    let mut answered = 0;
    while sent.is_ok() && answered < COMMANDS {
        match http::read(&mut reader) {
            Ok(Some(answer)) => {
                record.line(&format!("client {number} has {} {} close {}", ids[answered], answer.status(), answer.says_close()));
                fates[answered].status = Some(answer.status());
                answered += 1;
            }
            Ok(None) => {
                record.line(&format!("client {number}: its connection ended after {answered} answers"));
                break;
            }
            Err(error) => {
                record.line(&format!("client {number}: {error} after {answered} answers"));
                break;
            }
        }
    }
    for command in answered..COMMANDS {
        let id = &ids[command];
        let end = Client::new(node).call(&text(command, id), Duration::from_millis(TIMEOUT_MS + 550));
        let repeat = match &end {
            End::Answer(answer) => {
                fates[command].status = Some(answer.status());
                answer.status().to_string()
            }
            other => format!("{other:?}"),
        };
        record.line(&format!("client {number} sends {id} once more on a new connection: {repeat}"));
        fates[command].repeat = Some(repeat);
    }
    fates
}

fn cache_server(record: &Record, number: usize) -> SocketAddr {
    let record = record.clone();
    server::start(move |request, writer, _| {
        record.line(&format!("server {number} got {} {}", request.id(), request.key()));
        std::thread::sleep(WORK);
        record.line(&format!("server {number} answers {}", request.id()));
        writer.write(&http::response(200, &[], &format!("balance of {}", request.key())))
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
