//! Parsing of the words and options in scenario files.

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::settings::{DedupScope, Effect, RequestClass, Settings};
use granitelb_balancer::time::Span;

use crate::support;

/// The value of an option `NAME=VALUE`.
pub fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// The value of an option as a number, or `default` if the option is absent.
pub fn number(words: &[&str], name: &str, default: f64) -> f64 {
    match option(words, name) {
        Some(value) => {
            value.parse().unwrap_or_else(|_| panic!("option {name}={value}: the value is not a number"))
        }
        None => default,
    }
}

pub fn millis(ms: f64) -> Span {
    Span::from_secs_f64(ms / 1e3)
}

/// Settings without request classes.
pub fn settings(words: &[&str]) -> Settings {
    let settings = support::settings(Vec::new());
    Settings {
        origin: if words.contains(&"read-through") { None } else { settings.origin },
        nodes: number(words, "nodes", 1.0),
        list_on_request: words.contains(&"list-on-request"),
        max_poll_interval: millis(number(words, "max-poll-interval", 10_000.0)),
        only_draining_excludes: words.contains(&"only-draining"),
        max_attempts: number(words, "max-attempts", 4.0) as u8,
        ..settings
    }
}

/// A request class by its effect and options.
pub fn request_class(effect_word: &str, options: &[&str]) -> RequestClass {
    let slo = millis(number(options, "slo", 600.0));
    RequestClass {
        billed_value: number(options, "value", 1.0),
        value_after_slo: number(options, "value-after-slo", 0.0),
        ..support::request_class(slo, effect(effect_word))
    }
}

fn effect(word: &str) -> Effect {
    let (kind, window) = word.split_once(':').unwrap_or((word, "0"));
    let window = millis(window.parse().expect("a window"));
    match kind {
        "idempotent" => Effect::Idempotent,
        "non-idempotent" => Effect::NonIdempotent,
        "dedup-all" => Effect::Deduplicated { scope: DedupScope::All, window },
        "dedup-zone" => Effect::Deduplicated { scope: DedupScope::Zone, window },
        "dedup-cell" => Effect::Deduplicated { scope: DedupScope::Cell, window },
        _ => panic!("unknown effect {word} of a request class"),
    }
}

pub fn outcome(word: &str) -> AttemptOutcome {
    match word {
        "fulfilled" => AttemptOutcome::Fulfilled,
        "cache-miss" => AttemptOutcome::CacheMiss,
        "rejected" => AttemptOutcome::Rejected,
        "unreachable" => AttemptOutcome::Unreachable,
        "not-sent" => AttemptOutcome::NotSent,
        "timed-out" => AttemptOutcome::TimedOut,
        "errored" => AttemptOutcome::Errored,
        "reset" => AttemptOutcome::Reset,
        "cancelled" => AttemptOutcome::Cancelled,
        _ => panic!("unknown attempt outcome {word}"),
    }
}
