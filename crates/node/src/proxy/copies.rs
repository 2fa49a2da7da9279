//! Tells a late second copy of an answer from the answer to the call that its connection carries by then.
//!
//! Nothing in an answer says for which call it is, and a copy that comes some milliseconds late stands on the wire where the
//! next call's answer is due. But it is the same bytes again. An answer with a body that equals one that its connection gave a
//! moment ago is held to be a copy: what follows it is the answer. What has no body, or was no success, is alike from call to
//! call by nature, and its copies can't be told. Nor can they where answers are alike for another cause, as where each write is
//! answered by the same word: so long as no run of answers has differed from one to the next, none is held to be a copy.
//!
//! Invariant: no more is remembered than [`MOST`] answers of [`COPIES_COME`], as a hash each.

use std::hash::{DefaultHasher, Hash, Hasher};

use granitelb_balancer::time::{Span, Time};

use crate::http::Message;

/// A copy comes within this, if it comes.
const COPIES_COME: Span = Span::from_millis(250);
/// Answers that a connection gives in that time and that are remembered.
const MOST: usize = 8;
/// So many answers in a row that differ show that an equal one is a copy.
const SHOWN: u32 = 4;

/// The answers that a connection gave of late.
#[derive(Default)]
pub struct Given {
    /// When, and the hash of one whose copy can be told.
    answers: Vec<(Time, Option<u64>)>,
}

impl Given {
    /// Notes an answer that was taken.
    pub fn note(&mut self, now: Time, answer: &Message) {
        self.answers.retain(|(at, _)| now - *at < COPIES_COME);
        if self.answers.len() >= MOST {
            self.answers.remove(0);
        }
        self.answers.push((now, hash(answer)));
    }

    /// Whether this answer equals one that was given a moment ago.
    pub fn holds(&self, now: Time, answer: &Message) -> bool {
        let of_late = self.answers.iter().filter(|(at, _)| now - *at < COPIES_COME);
        hash(answer).is_some_and(|hash| of_late.into_iter().any(|(_, given)| *given == Some(hash)))
    }
}

/// Whether a kind of call's answers differ from one to the next.
#[derive(Default)]
pub struct Telling {
    last: Option<u64>,
    differed: u32,
}

impl Telling {
    /// Notes an answer that was taken, of whichever connection.
    pub fn note(&mut self, answer: &Message) {
        let Some(hash) = hash(answer) else { return };
        let differs = self.last.replace(hash) != Some(hash);
        self.differed = if differs { self.differed.saturating_add(1) } else { 0 };
    }

    pub fn is_shown(&self) -> bool {
        self.differed >= SHOWN
    }
}

fn hash(answer: &Message) -> Option<u64> {
    if answer.head.status != 200 || answer.body.is_empty() {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    (&answer.head.headers, &answer.body).hash(&mut hasher);
    Some(hasher.finish())
}
