//! Cache servers and the origin behind them. They run every request that reached them whole, once each, and
//! keep what they made for it.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{response, Message, Reader};
use crate::random::Random;
use crate::record::Record;

/// What the servers did with one request.
#[derive(Clone, Debug, Default)]
pub struct Done {
    /// The bodies of 200 answers that were made for the request.
    pub bodies: Vec<Vec<u8>>,
    /// How often the request ran as a write, by the server's name and the time.
    pub writes: Vec<(String, f64)>,
    /// How many attempts came whole.
    pub attempts: usize,
}

/// What all servers share.
pub struct World {
    pub record: Record,
    versions: Mutex<HashMap<String, u64>>,
    stores: Mutex<Vec<HashMap<String, u64>>>,
    missed_at: Mutex<HashMap<String, Vec<usize>>>,
    pub done: Mutex<HashMap<String, Done>>,
}

impl World {
    pub fn new(record: Record, caches: usize) -> Arc<World> {
        Arc::new(World {
            record,
            versions: Mutex::default(),
            stores: Mutex::new(vec![HashMap::new(); caches]),
            missed_at: Mutex::default(),
            done: Mutex::default(),
        })
    }

    /// All cache servers are empty.
    pub fn forget_stores(&self) {
        self.stores.lock().unwrap().iter_mut().for_each(HashMap::clear);
    }

    pub fn done(&self, id: &str) -> Done {
        self.done.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
}

/// A second answer some milliseconds after an answer, for a share of the answers with status 200.
#[derive(Clone, Copy)]
pub struct SecondAnswers {
    pub share: f64,
    pub delay_ms: (f64, f64),
}

#[derive(Clone)]
pub struct Settings {
    pub name: String,
    /// The place among the caches; `None` for the origin.
    pub cache: Option<usize>,
    /// How long a request runs, in milliseconds.
    pub work_ms: (f64, f64),
    /// How many requests run at a time.
    pub slots: usize,
    /// How many may wait.
    pub queue: usize,
    pub second_answers: Option<SecondAnswers>,
    /// How long it takes to turn a request away, in milliseconds.
    pub refusal_ms: (f64, f64),
}

struct Server {
    settings: Settings,
    world: Arc<World>,
    /// When each slot is free.
    free_at: Mutex<Vec<Instant>>,
    held: Mutex<usize>,
    random: Mutex<Random>,
    is_hanging: Mutex<bool>,
}

/// A running server, to hang it.
#[derive(Clone)]
pub struct Handle {
    pub address: SocketAddr,
    server: Arc<Server>,
}

impl Handle {
    /// A hanging server takes requests and answers none; those that came meanwhile are never answered.
    pub fn set_hanging(&self, is_hanging: bool) {
        *self.server.is_hanging.lock().unwrap() = is_hanging;
    }
}

pub fn start(settings: Settings, world: &Arc<World>, seed: u64) -> Handle {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = Arc::new(Server {
        free_at: Mutex::new(vec![Instant::now(); settings.slots]),
        settings,
        world: world.clone(),
        held: Mutex::new(0),
        random: Mutex::new(Random::new(seed)),
        is_hanging: Mutex::new(false),
    });
    let served = server.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let served = served.clone();
            thread::spawn(move || served.serve(stream));
        }
    });
    Handle { address, server }
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            let Some(answer) = self.answer(&request) else {
                // A hanging server keeps the connection and says nothing more on it.
                let _ = reader.message();
                return;
            };
            let sent = writer.lock().unwrap().write_all(&answer.bytes);
            if sent.is_err() {
                return;
            }
            if let Some(delay) = self.second_answer_delay(&answer) {
                self.send_again(&request, answer.bytes, delay, &writer);
            }
        }
    }

    fn second_answer_delay(&self, answer: &Answer) -> Option<Duration> {
        let second = self.settings.second_answers?;
        let mut random = self.random.lock().unwrap();
        let is_chosen = answer.status == 200 && random.unit() < second.share;
        let delay_ms = random.between(second.delay_ms.0, second.delay_ms.1);
        is_chosen.then(|| Duration::from_micros((delay_ms * 1000.0) as u64))
    }

    fn send_again(&self, request: &Message, bytes: Vec<u8>, delay: Duration, writer: &Arc<Mutex<TcpStream>>) {
        let id = request.header("x-request-id").unwrap_or_default().to_string();
        let (name, writer, world) = (self.settings.name.clone(), writer.clone(), self.world.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            let sent = writer.lock().unwrap().write_all(&bytes);
            let outcome = if sent.is_ok() { "written" } else { "connection gone" };
            world.record.line(&format!("{name} second-answer id={id} after={:.1}ms {outcome}", delay.as_secs_f64() * 1e3));
        });
    }

    /// Runs a request. `None` if the server hangs.
    fn answer(&self, request: &Message) -> Option<Answer> {
        let id = request.header("x-request-id").unwrap_or_default().to_string();
        let (class, key) = request.class_and_key();
        let (class, key) = (class.to_string(), key.to_string());
        let name = &self.settings.name;
        let record = &self.world.record;
        let timeout = request.header("x-timeout-ms").unwrap_or("-");
        record.line(&format!("{name} got id={id} {} {class} {key} timeout={timeout}", request.method()));
        self.world.done.lock().unwrap().entry(id.clone()).or_default().attempts += 1;
        if *self.is_hanging.lock().unwrap() {
            return None;
        }
        let is_write = request.method() == "PUT";
        if let Some(cache) = self.settings.cache {
            if !is_write && !self.world.stores.lock().unwrap()[cache].contains_key(&key) {
                self.world.missed_at.lock().unwrap().entry(id.clone()).or_default().push(cache);
                record.line(&format!("{name} miss id={id}"));
                return Some(Answer { status: 404, bytes: response(404, &[("Date", &date())], b"miss\n") });
            }
        }
        if !self.run() {
            let (low, high) = self.settings.refusal_ms;
            let refusal_ms = self.random.lock().unwrap().between(low, high);
            thread::sleep(Duration::from_micros((refusal_ms * 1000.0) as u64));
            record.line(&format!("{name} turned-away id={id}"));
            let headers = [("Date", &date()[..]), ("X-Not-Processed", "1")];
            return Some(Answer { status: 503, bytes: response(503, &headers, b"queue full\n") });
        }
        if *self.is_hanging.lock().unwrap() {
            return None;
        }
        let version = self.version(&id, &key, is_write);
        let body = format!(
            "{{\"class\":\"{class}\",\"account\":\"{key}\",\"version\":{version},\"balance\":{}}}\n",
            (version + 1) * 1_000 + key.len() as u64
        )
        .into_bytes();
        let mut done = self.world.done.lock().unwrap();
        let entry = done.entry(id.clone()).or_default();
        entry.bodies.push(body.clone());
        if is_write {
            entry.writes.push((name.clone(), record.seconds()));
        }
        drop(done);
        record.line(&format!("{name} ran id={id} {} account={key} version={version}", request.method()));
        let bytes = response(200, &[("Date", &date()), ("Content-Type", "application/json")], &body);
        Some(Answer { status: 200, bytes })
    }

    /// Waits for a slot and runs for the request's time. Returns false if the queue is full.
    fn run(&self) -> bool {
        let (low, high) = self.settings.work_ms;
        let work = Duration::from_micros((self.random.lock().unwrap().between(low, high) * 1000.0) as u64);
        let mut held = self.held.lock().unwrap();
        if *held >= self.settings.slots + self.settings.queue {
            return false;
        }
        *held += 1;
        drop(held);
        let now = Instant::now();
        let ends_at = {
            let mut free_at = self.free_at.lock().unwrap();
            let slot = free_at.iter_mut().min().unwrap();
            *slot = (*slot).max(now) + work;
            *slot
        };
        thread::sleep(ends_at.saturating_duration_since(Instant::now()));
        *self.held.lock().unwrap() -= 1;
        true
    }

    /// The version of a key that is answered. A write makes a new one and drops the copies; a read at the
    /// origin stores the value where the request missed.
    fn version(&self, id: &str, key: &str, is_write: bool) -> u64 {
        let mut versions = self.world.versions.lock().unwrap();
        let current = versions.entry(key.to_string()).or_insert(1);
        if is_write {
            *current += 1;
            for store in self.world.stores.lock().unwrap().iter_mut() {
                store.remove(key);
            }
        }
        let version = *current;
        match self.settings.cache {
            Some(cache) => self.world.stores.lock().unwrap()[cache].get(key).copied().unwrap_or(version),
            None => {
                let missed = self.world.missed_at.lock().unwrap().remove(id).unwrap_or_default();
                if !is_write {
                    let mut stores = self.world.stores.lock().unwrap();
                    for cache in missed {
                        stores[cache].insert(key.to_string(), version);
                    }
                }
                version
            }
        }
    }
}

struct Answer {
    status: u16,
    bytes: Vec<u8>,
}

/// The value of a Date header.
fn date() -> String {
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    let weekday = ["Thu", "Fri", "Sat", "Sun", "Mon", "Tue", "Wed"][(days % 7) as usize];
    // Days to a civil date, with years that begin in March.
    let z = days + 719_468;
    let era = z / 146_097;
    let day_of_era = z % 146_097;
    let year_of_era = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let names = ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
    format!(
        "{weekday}, {day:02} {} {year} {:02}:{:02}:{:02} GMT",
        names[(month - 1) as usize],
        rest / 3600,
        rest / 60 % 60,
        rest % 60
    )
}
