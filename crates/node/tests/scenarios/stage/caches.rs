//! The caches, and the shots that arrive at them.

use std::net::{SocketAddr, TcpListener, TcpStream};

use super::Stage;
use crate::connection::{Conn, deafen, header};
use crate::notation::{option, trailing, unescape};

#[derive(Default)]
pub struct Cache {
    pub listener: Option<TcpListener>,
    pub endpoint: Option<SocketAddr>,
    pub opened: usize,
    pub conns: Vec<Option<Conn>>,
    pub deaf: bool,
    pub fillers: Vec<TcpStream>,
}

impl Stage {
    /// Plays the verbs for caches and the shots that they carry; whether the line is one of these.
    pub(super) fn play_caches(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["shot", place, id, ref options @ ..] => {
                let (cache, head, body, conn) = self.until(line, |s| {
                    let at = s.arrived.iter().position(|a| header(&a.1, "x-request-id") == Some(id))?;
                    Some(s.arrived.remove(at))
                });
                let is_variable = place.chars().all(|c| c.is_uppercase());
                let expected = match is_variable {
                    _ if place == "any" => cache.clone(),
                    true => self.bound.entry(place.to_string()).or_insert(cache.clone()).clone(),
                    false => place.to_string(),
                };
                assert_eq!(cache, expected, "{line}");
                let apart = self.bound.values().filter(|c| **c == cache).count() <= 1;
                assert!(apart, "{line}: two names for {cache}");
                assert_eq!(body, option(options, "put").map_or(Vec::new(), unescape), "{line}");
                let left: u64 = header(&head, "x-timeout-ms").and_then(|t| t.parse().ok()).expect("a time");
                let most = option(options, "left").map_or(1200, |most| most.parse().expect("a time"));
                assert!(left <= most, "{line}: waits for {left} ms");
                self.carriers.insert(id.to_string(), (cache, conn));
            }
            ["reply", id, status, ref options @ ..] => {
                let (cache, mut conn) = self.carriers.remove(id).expect("a shot");
                let body = option(options, "body").map_or(Vec::new(), unescape);
                let extra = line.split_once(" + ").map(|(_, h)| format!("{h}\r\n")).unwrap_or_default();
                let head = format!("HTTP/1.1 {status} Such\r\n{extra}Content-Length: {}\r\n\r\n", body.len());
                conn.write(&[head.as_bytes(), &body].concat());
                self.caches.get_mut(&cache).expect("one").conns.push(Some(conn));
            }
            ["part", id, ..] => {
                let text = unescape(trailing(line));
                self.carriers.get_mut(id).expect("a shot").1.write(&text);
            }
            ["reset", id] => {
                self.carriers.remove(id).expect("a shot").1.tear();
            }
            ["reset-softly", id] => drop(self.carriers.remove(id)),
            ["cut", id] => {
                self.until(line, |s| s.carriers.get(id).filter(|c| c.1.ended).map(|_| ()));
                self.carriers.remove(id);
            }
            ["opened", place, count] => {
                let cache = self.bound.get(place).cloned().unwrap_or(place.to_string());
                assert_eq!(self.caches[&cache].opened.to_string(), count, "{line}");
            }
            ["deaf", name] => {
                self.entry(name);
                let cache = self.caches.get_mut(name).expect("one");
                (cache.deaf, cache.fillers) = (true, deafen(cache.listener.as_ref().expect("one")));
            }
            ["hear", name] => {
                let cache = self.caches.get_mut(name).expect("one");
                (cache.deaf, cache.fillers) = (false, Vec::new());
                self.poll();
            }
            ["die", place] => {
                let name = self.bound.get(place).cloned().unwrap_or(place.to_string());
                let cache = self.caches.get_mut(&name).expect("one");
                cache.listener = None;
                cache.conns.clear();
            }
            _ => return false,
        }
        true
    }
}
