//! A node on a loopback address of its own, with the clients, caches and the discovery that the lines speak for.
//!
//! A verb is an arm of the `play_...` in the file of its concern.

mod caches;
mod clients;
mod discovery;
mod program;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::connection::{Conn, PATIENCE, free};
use crate::in_process;
use caches::Cache;

pub struct Stage {
    address: String,
    config: Value,
    child: Option<Child>,
    node: SocketAddr,
    discovery: TcpListener,
    deaf: bool,
    fillers: Vec<TcpStream>,
    asked: Vec<Conn>,
    watch: Option<Conn>,
    /// When something was told on a watch last.
    told: Instant,
    former: Option<Conn>,
    revision: u64,
    caches: BTreeMap<String, Cache>,
    bound: BTreeMap<String, String>,
    clients: BTreeMap<String, Conn>,
    /// Shots that arrived and were not named yet, and the connections that carry the others.
    arrived: Vec<(String, String, Vec<u8>, Conn)>,
    carriers: BTreeMap<String, (String, Conn)>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Stage {
    pub fn new() -> Stage {
        static LAST: AtomicU8 = AtomicU8::new(1);
        let address = format!("127.83.{}.1", LAST.fetch_add(1, Ordering::Relaxed));
        let discovery = free(&address);
        let request_class = |name: &str, effect: &str| {
            json!({"Name": name, "Effect": effect, "DedupScope": "all", "WindowUs": 3_000_000,
                "LatencySloUs": 600_000, "ClientTimeoutUs": 1_200_000, "BilledValue": 1.0})
        };
        let settings = json!({
            "Bounds": {"ConnectTimeoutUs": 250_000, "KeepaliveUs": 10_000_000, "MayCancel": true, "MostShots": 4,
                "RetryAfter": true, "MaxRetryAfterUs": 1_500_000, "SecondCopies": false},
            "Discovery": "ask",
            "Products": [request_class("read", "read_like"), request_class("post", "idempotency_key"),
                request_class("once", "non_idempotent")],
            "Rules": {"MustAskInUs": 10_000_000, "FallMultiple": 3.0, "FallUs": 2_000_000, "ColdFrom": 0.2,
                "WarmAfterUs": 20_000_000},
            "Shapes": ["plain", "origin"], "Siblings": 1, "Zones": ["z"],
            "Specifics": {"Mode": "aside", "OriginKind": 1},
        });
        // Chosen without a socket, under the ports that the system gives out: a child that another test forks while one
        // holds the port would keep it until its exec, and the node would find its address in use.
        let port = 16_384 + (std::process::id() % 16_384) as u16;
        let node = SocketAddr::new(address.parse().expect("an address"), port);
        let config = json!({"name": "n", "listen": node.to_string(), "seed": "1f",
            "discovery": discovery.local_addr().expect("an address").to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": settings});
        Stage {
            address,
            config,
            child: None,
            node,
            discovery,
            deaf: false,
            fillers: Vec::new(),
            asked: Vec::new(),
            watch: None,
            told: Instant::now(),
            former: None,
            revision: 7,
            caches: BTreeMap::new(),
            bound: BTreeMap::new(),
            clients: BTreeMap::new(),
            arrived: Vec::new(),
            carriers: BTreeMap::new(),
        }
    }

    fn poll(&mut self) {
        while let Some((stream, _)) =
            Some(&self.discovery).filter(|_| !self.deaf).and_then(|d| d.accept().ok())
        {
            self.asked.push(Conn::new(stream));
        }
        self.asked.iter_mut().chain(&mut self.watch).chain(&mut self.former).for_each(Conn::poll);
        self.clients.values_mut().for_each(Conn::poll);
        self.carriers.values_mut().for_each(|(_, c)| c.poll());
        for (name, cache) in &mut self.caches {
            while let Some((stream, _)) =
                cache.listener.as_ref().filter(|_| !cache.deaf).and_then(|l| l.accept().ok())
            {
                cache.opened += 1;
                cache.conns.push(Some(Conn::new(stream)));
            }
            for slot in &mut cache.conns {
                let Some(conn) = slot else { continue };
                conn.poll();
                if let Some((head, body)) = conn.message() {
                    self.arrived.push((name.clone(), head, body, slot.take().expect("just seen")));
                }
            }
            cache.conns.retain(|c| c.as_ref().is_some_and(|c| !c.ended));
        }
    }

    /// Polls until there is something to show for it.
    fn until<T>(&mut self, what: &str, mut look: impl FnMut(&mut Stage) -> Option<T>) -> T {
        let end = Instant::now() + PATIENCE;
        loop {
            self.poll();
            if let Some(found) = look(self) {
                return found;
            }
            assert!(Instant::now() < end, "waited in vain: {what}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn play(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let played = self.play_time(line, &words)
            || self.play_discovery(line, &words)
            || self.play_caches(line, &words)
            || self.play_clients(line, &words)
            || self.play_program(line, &words)
            || in_process::run(line, &words);
        assert!(played, "no step {line}");
    }

    /// Plays the verbs that let time pass; whether the line is one of these.
    fn play_time(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["quiet", ms] => {
                let before = self.clients.len();
                let end = Instant::now() + Duration::from_millis(ms.parse().expect("a time"));
                while Instant::now() < end {
                    self.poll();
                    std::thread::sleep(Duration::from_millis(1));
                }
                let shots: Vec<_> = self.arrived.iter().map(|a| (&a.0, &a.1)).collect();
                assert!(shots.is_empty(), "{line}: {shots:?}");
                let said: Vec<_> =
                    self.clients.iter().filter(|(_, c)| !c.input.is_empty() || c.ended).collect();
                assert!(said.is_empty() && before == self.clients.len(), "{line}: {} spoke", said[0].0);
            }
            ["wait", ms] => std::thread::sleep(Duration::from_millis(ms.parse().expect("a time"))),
            _ => return false,
        }
        true
    }
}
