//! A stand-in node that breaks one rule on purpose: the auditor is tested against it. It takes the place of the
//! real program, with the same configuration, and is no example of how to write one.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// What it does wrong, to every so many calls that give it the chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedViolation {
    /// Nothing: the control.
    None,
    /// Leaves calls without an answer.
    Mute,
    /// Ends connections in place of an answer.
    Close,
    /// Answers after the client timeout.
    Late,
    /// Answers twice.
    SecondAnswer,
    /// Sends a shot for a call that has its answer.
    ShotAfter,
    /// Sends a write that has run once more.
    Resend,
    /// Says that it rate-limits a write that has run.
    RateLimitRan,
    /// Sends a read to two caches at once.
    SecondCopy,
    /// Goes on sending to whatever was ever listed.
    Undrained,
    /// Sends all to whoever was listed last.
    ColdRush,
    /// Answers with what it has kept, as if made for the call.
    Stale,
    /// Answers with what was made for another call.
    Another,
    /// Has the origin asked for all reads.
    Stampede,
    /// Sends each call on half a second after it came, whether or not its client has left.
    Unheeding,
    /// Rate-limits all calls, unless it is the first node.
    Favour,
}

impl std::str::FromStr for InjectedViolation {
    type Err = serde::de::value::Error;

    fn from_str(word: &str) -> Result<InjectedViolation, serde::de::value::Error> {
        InjectedViolation::deserialize(word.into_deserializer())
    }
}

/// How many calls pass between two that are wronged.
const EVERY: usize = 9;

struct Node {
    vice: InjectedViolation,
    name: String,
    listen: SocketAddr,
    /// Ready caches by name, in the order they were listed in; and the origin.
    caches: Mutex<Vec<(String, SocketAddr)>>,
    origin: Mutex<Option<SocketAddr>>,
    calls: AtomicUsize,
    kept: Mutex<HashMap<String, (String, String)>>,
    effects: BTreeMap<String, String>,
}

/// A message's first line, its lower-case headers and its body.
struct Message {
    start: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

async fn read(from: &mut (impl AsyncBufReadExt + Unpin)) -> Option<Message> {
    let mut start = String::new();
    from.read_line(&mut start).await.ok().filter(|n| *n > 0)?;
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).await.ok().filter(|n| *n > 0)?;
        match line.trim().split_once(':') {
            Some((name, value)) => headers.insert(name.to_ascii_lowercase(), value.trim().to_string()),
            None => break,
        };
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0usize).min(1 << 20);
    let mut body = vec![0; length];
    from.read_exact(&mut body).await.ok()?;
    Some(Message { start: start.trim().into(), headers, body })
}

/// Serves by a configuration until it is killed.
///
/// # Errors
/// What kept it from serving.
pub fn serve(vice: InjectedViolation, config: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(config).map_err(|e| e.to_string())?;
    let config: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let address = |key: &str| -> Result<SocketAddr, String> {
        config[key].as_str().and_then(|a| a.parse().ok()).ok_or(format!("no address {key}"))
    };
    let products = config["settings"]["Products"].as_array().cloned().unwrap_or_default();
    let word = |p: &Value, key: &str| p[key].as_str().unwrap_or_default().to_string();
    let node = Arc::new(Node {
        vice,
        name: word(&config, "name"),
        listen: address("listen")?,
        caches: Mutex::default(),
        origin: Mutex::default(),
        calls: AtomicUsize::new(0),
        kept: Mutex::default(),
        effects: products.iter().map(|p| (word(p, "Name"), word(p, "Effect"))).collect(),
    });
    let discovery = address("discovery")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async move {
        tokio::spawn(watch(node.clone(), discovery));
        let listener = TcpListener::bind(node.listen).await.map_err(|e| e.to_string())?;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(attend(node.clone(), stream));
        }
        Ok(())
    })
}

async fn watch(node: Arc<Node>, discovery: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(discovery).await.ok()?;
    stream.write_all(b"GET /registry/instances?watch=1 HTTP/1.1\r\nHost: d\r\n\r\n").await.ok()?;
    let mut lines = BufReader::new(stream).lines();
    while let Some(line) = lines.next_line().await.ok()? {
        // Chunk sizes and heads are no JSON objects.
        let Ok(Value::Object(list)) = serde_json::from_str(&line) else { continue };
        for target in list["targets"].as_array().into_iter().flatten() {
            let text = |key: &str| target[key].as_str().unwrap_or_default().to_string();
            let Ok(at) = text("endpoint").parse() else { continue };
            if text("model") == "origin" {
                *node.origin.lock().ok()? = Some(at);
                continue;
            }
            let mut caches = node.caches.lock().ok()?;
            let name = text("uid");
            if node.vice != InjectedViolation::Undrained {
                caches.retain(|(n, _)| *n != name);
            }
            if text("state") == "active" {
                caches.push((name, at));
            }
        }
    }
    None
}

async fn attend(node: Arc<Node>, stream: TcpStream) -> Option<()> {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    while let Some(call) = read(&mut from).await {
        if call.start.starts_with("GET /health/ready") {
            to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.ok()?;
            continue;
        }
        let answer = node.answer(&call).await?;
        to.write_all(answer.as_bytes()).await.ok()?;
    }
    Some(())
}

fn whole(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} Told\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl Node {
    /// What is written to the client; nothing where the connection is to end.
    async fn answer(&self, call: &Message) -> Option<String> {
        let path = call.start.split(' ').nth(1)?.to_string();
        let mut parts = path.trim_start_matches('/').split('/');
        let (product, key) = (parts.next()?.to_string(), parts.next()?.to_string());
        let id = call.headers.get("x-request-id")?.clone();
        let write = call.start.starts_with("PUT");
        let once = self.effects.get(&product).is_some_and(|e| e == "non_idempotent");
        // The vices of writes come to each of them, since there are few.
        let turn = self.calls.fetch_add(1, Ordering::Relaxed) % EVERY == EVERY - 1;
        let origin = (*self.origin.lock().ok()?)?;
        match self.vice {
            InjectedViolation::Mute if turn => std::future::pending().await,
            InjectedViolation::Close if turn => return None,
            InjectedViolation::Favour if self.name != "node-0" => return Some(whole(429, "")),
            InjectedViolation::Unheeding => tokio::time::sleep(Duration::from_millis(550)).await,
            InjectedViolation::Late if turn => tokio::time::sleep(Duration::from_millis(1070)).await,
            _ => {}
        }
        let cache = self.cache(&key);
        if self.vice == InjectedViolation::SecondCopy
            && !write
            && turn
            && let Some((first, second)) = cache.zip(self.cache(&format!("{key}x")))
        {
            let (answer, _) = tokio::join!(shoot(first, call), shoot(second, call));
            return answer.map(|(status, body)| whole(status, &body));
        }
        let mut answer = match cache.filter(|_| !write && self.vice != InjectedViolation::Stampede) {
            Some(cache) => shoot(cache, call).await.filter(|(status, _)| *status == 200),
            None => None,
        };
        if answer.is_none() {
            answer = shoot(origin, call).await;
        }
        let (status, body) = answer.unwrap_or((502, String::new()));
        let answer = whole(status, &body);
        match self.vice {
            InjectedViolation::Resend if write && once => {
                shoot(origin, call).await;
            }
            InjectedViolation::RateLimitRan if write && once && turn => return Some(whole(429, "")),
            InjectedViolation::SecondAnswer if turn => return Some(format!("{answer}{answer}")),
            InjectedViolation::ShotAfter if turn && !write => {
                let (at, call) = (cache.unwrap_or(origin), Message { body: Vec::new(), ..call.copy() });
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                    shoot(at, &call).await;
                });
            }
            InjectedViolation::Stale | InjectedViolation::Another if !write => {
                let mut kept = self.kept.lock().ok()?;
                let (from, body) = kept.entry(key).or_insert((id.clone(), body));
                let said = if self.vice == InjectedViolation::Stale {
                    body.replace(from.as_str(), &id)
                } else {
                    body.clone()
                };
                return Some(whole(200, &said));
            }
            _ => {}
        }
        Some(answer)
    }

    fn cache(&self, key: &str) -> Option<SocketAddr> {
        let caches = self.caches.lock().ok()?;
        let number = key.bytes().fold(7usize, |n, b| n.wrapping_mul(31).wrapping_add(usize::from(b)));
        match self.vice {
            InjectedViolation::ColdRush => caches.last().map(|c| c.1),
            _ if caches.is_empty() => None,
            _ => Some(caches[number % caches.len()].1),
        }
    }
}

impl Message {
    fn copy(&self) -> Message {
        Message { start: self.start.clone(), headers: self.headers.clone(), body: self.body.clone() }
    }
}

/// Sends a call as it came, on a connection of its own; the status and the body of what comes back.
async fn shoot(to: SocketAddr, call: &Message) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let mut text = format!("{}\r\nConnection: close\r\n", call.start);
    for (name, value) in call.headers.iter().filter(|(n, _)| *n != "connection") {
        text += &format!("{name}: {value}\r\n");
    }
    stream.write_all((text + "\r\n").as_bytes()).await.ok()?;
    stream.write_all(&call.body).await.ok()?;
    let answer = read(&mut BufReader::new(stream)).await?;
    let status = answer.start.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&answer.body).into_owned()))
}
