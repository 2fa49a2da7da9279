//! Traffic as it came, in a file of a JSON object a line, and played again. A recording marks what clients
//! repeated on their own: a replay asks each call once, and lets its own clients repeat as they are told to.

use std::collections::BTreeSet;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::event_log::EventLog;
use crate::experiment::Experiment;
use crate::schedule::{Planned, Schedule};

/// One try as it came to a node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Microseconds from the recording's start.
    pub at_us: i64,
    pub node: usize,
    pub product: String,
    pub key: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Whether it is a client's own repeat of an earlier line.
    #[serde(default)]
    pub repeat: bool,
    #[serde(default)]
    pub once: bool,
    #[serde(default)]
    pub heeds: bool,
    #[serde(default)]
    pub repeats_us: Vec<u64>,
    #[serde(default)]
    pub salt: u64,
}

/// The recording of a run, in order of time.
pub fn record(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> String {
    let mut lines: Vec<Line> = Vec::new();
    for t in &event_log.client_attempts {
        let call = schedule.call(t.request);
        lines.push(Line {
            // A first try came when it was due; the rig's lateness is no part of the traffic.
            at_us: if t.number == 0 { t.due.0 } else { t.sent.0 },
            node: call.node,
            product: experiment.product[call.product].name.clone(),
            key: call.key,
            tenant: call.tenant.map(|n| experiment.load.tenants[n].clone()),
            repeat: t.number > 0,
            once: call.once,
            heeds: call.heeds,
            repeats_us: call.repeats_us.clone(),
            salt: call.salt,
        });
    }
    lines.sort_by_key(|l| (l.at_us, l.repeat, l.salt));
    lines.iter().map(|l| serde_json::to_string(l).expect("plain fields") + "\n").collect()
}

/// The calls of a recording, its clients' repeats left out.
///
/// # Errors
/// Names the line that can't be played in this experiment, and why.
pub fn read(file: &Path, text: &str, experiment: &Experiment) -> Result<Schedule, String> {
    let mut calls = Vec::new();
    let mut names = BTreeSet::new();
    for (n, text) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let told = |what: String| format!("{}:{}: {what}", file.display(), n + 1);
        let line: Line = serde_json::from_str(text).map_err(|e| told(e.to_string()))?;
        if line.repeat {
            continue;
        }
        let product = experiment.product.iter().position(|p| p.name == line.product);
        let product = product.ok_or_else(|| told(format!("product: there is no {}", line.product)))?;
        let tenant = match line.tenant {
            None => None,
            Some(tenant) => {
                let known = experiment.load.tenants.iter().position(|t| *t == tenant);
                Some(known.ok_or_else(|| told(format!("tenant: there is no {tenant}")))?)
            }
        };
        if line.node >= experiment.world.nodes {
            return Err(told(format!("node: there is no node {}", line.node)));
        }
        if line.at_us < 0 || line.at_us as f64 >= experiment.seconds * 1e6 {
            return Err(told(format!("at_us: not within the {} s of the run", experiment.seconds)));
        }
        // Where nothing names a call, its line does; names have to differ.
        let salt = if line.salt == 0 { crate::schedule::mixed(n as u64 + 1, 3) } else { line.salt };
        if !names.insert(salt) {
            return Err(told("salt: a call before has the same".into()));
        }
        calls.push(Planned {
            at_us: line.at_us,
            node: line.node,
            product,
            key: line.key,
            tenant,
            once: line.once,
            heeds: line.heeds,
            repeats_us: line.repeats_us,
            salt,
        });
    }
    calls.sort_by_key(|c| c.at_us);
    Ok(Schedule { calls })
}
