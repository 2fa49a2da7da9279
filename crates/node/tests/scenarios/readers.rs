//! What the node's readers make of texts, tried without a process.

use granitelb_node::http::{Assembler, Fault, Side};
use granitelb_node::proxy::{ShotFate, load_report};
use granitelb_node::transport::{End, Ring};

use crate::notation::bytes;

/// Plays the verbs that need no process; whether the line is one of these.
pub fn play(line: &str, words: &[&str]) -> bool {
    match *words {
        ["fate", end, written, word] => {
            let ends = [
                End::Refused,
                End::NeverUp,
                End::NoDescriptor,
                End::Closed,
                End::Broken,
                End::Silent,
                End::Malformed,
                End::GivenUp,
                End::Recalled,
                End::Done,
            ];
            let end = ends.into_iter().find(|e| format!("{e:?}") == end).expect("an end");
            let (outcome, _) = ShotFate::Lost { end, whole: written == "whole" }.into_outcome();
            assert_eq!(format!("{outcome:?}"), word, "{line}");
        }
        ["report", ..] => {
            let text = line.strip_prefix("report ").expect("a text");
            let (text, figures) = text.split_once(" says ").unwrap_or((text, ""));
            let said = load_report(text).map(|r| {
                let service = r.service.map(|s| s.as_secs_f64() * 1e3);
                [("held", r.held), ("waiting", r.waiting), ("service", service), ("per_s", r.per_s)]
                    .iter()
                    .filter_map(|(name, figure)| figure.map(|f| format!("{name}={f}")))
                    .collect::<Vec<_>>()
                    .join(" ")
            });
            assert_eq!(said.unwrap_or_default(), figures, "{line}");
        }
        _ => return false,
    }
    true
}

/// What a reader makes of bytes that come in these parts.
fn pieces<'a>(side: Side, parts: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let mut messages = Assembler::new(side);
    let mut input = Ring::default();
    let mut found = Vec::new();
    for part in parts {
        input.push(part);
        loop {
            match messages.next(&mut input) {
                Ok(Some(m)) => {
                    let keeps = if m.head.keeps { "keeps" } else { "ends" };
                    let start = format!("{} {}", m.head.method, m.head.target);
                    let start = if side == Side::Asking { start } else { m.head.status.to_string() };
                    found.push(format!("{start} {keeps} {} {}", m.body.len(), m.body.escape_ascii()));
                }
                Ok(None) => break,
                Err(fault) => {
                    let word = if side == Side::Asking { fault.status().to_string() } else { "fault".into() };
                    assert!(fault != Fault::BodyTooLong || input.len() < 64 * 1024);
                    found.push(word);
                    return found;
                }
            }
        }
    }
    found.extend(messages.finish().map(|m| format!("{} closed {}", m.head.status, m.body.escape_ascii())));
    found.iter().map(|f| f.trim_end().to_string()).collect()
}

pub fn try_reader(line: &str, expected: &[&str]) {
    let (side, text) = line.split_once(' ').expect("a side and a text");
    let side = if side == "asking" { Side::Asking } else { Side::Answering };
    let text = bytes(text);
    assert_eq!(pieces(side, [&text[..]].into_iter()), expected, "whole: {line}");
    assert_eq!(pieces(side, text.chunks(1)), expected, "byte by byte: {line}");
    for at in 0..text.len().min(2000) {
        assert_eq!(pieces(side, [&text[..at], &text[at..]].into_iter()), expected, "cut at {at}: {line}");
        // A message that stops there is not a message, and no trouble either.
        let early = pieces(side, [&text[..at]].into_iter());
        assert!(early.len() <= expected.len(), "stopped at {at}: {line}: {early:?}");
    }
}
