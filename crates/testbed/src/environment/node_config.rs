//! The configuration file of a node, in the format that the deployment documentation describes.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::event_log::NodeId;
use crate::experiment::{Experiment, RequestClass, RequestEffect};

/// Timeout of a node for opening a connection, in microseconds.
const CONNECT_TIMEOUT_US: u64 = 250_000;
/// Time within which a node has to contact discovery, in microseconds.
const DISCOVERY_DEADLINE_US: u64 = 10_000_000;
/// Quota of each tenant in requests per second, higher than any load of an experiment.
const TENANT_QUOTA_PER_S: f64 = 1e6;

/// The configuration of one node of an experiment, in JSON.
pub fn node_config(
    experiment: &Experiment,
    node: NodeId,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
) -> Value {
    let environment = &experiment.environment;
    let classes: Vec<Value> =
        experiment.request_classes.iter().map(|class| request_class(experiment, class)).collect();
    let tenants: Vec<Value> = experiment
        .load
        .tenants
        .iter()
        .map(|name| json!({"Name": name, "QuotaPerS": TENANT_QUOTA_PER_S}))
        .collect();
    json!({
        "name": format!("node-{}", node.0), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", seed ^ (node.0 as u64 + 1)),
        "limits": {"cores": 1.0, "memory_mb": environment.memory_mb, "sockets": environment.max_sockets},
        "settings": {
            "Discovery": "ask", "Siblings": environment.nodes, "Zones": environment.zones, "Shapes": ["plain", "origin"],
            "Specifics": {"Mode": "aside", "OriginKind": 1},
            "Products": classes,
            "Tenants": tenants,
            "Bounds": {"MostShots": environment.max_attempts, "MayCancel": environment.may_cancel,
                "SecondCopies": environment.hedging, "RetryAfter": environment.max_retry_after_ms > 0,
                "MaxRetryAfterUs": environment.max_retry_after_ms * 1000, "ConnectTimeoutUs": CONNECT_TIMEOUT_US,
                "KeepaliveUs": microseconds(environment.cache.keepalive_s)},
            "Rules": {"MustAskInUs": DISCOVERY_DEADLINE_US, "ColdFrom": environment.cache.cold_speed,
                "WarmAfterUs": microseconds(environment.cache.warm_after_s),
                "FallMultiple": environment.cache.overload_multiple, "FallUs": microseconds(environment.cache.overload_window_s)},
        },
    })
}

/// A request class in the format of a node's configuration.
fn request_class(experiment: &Experiment, class: &RequestClass) -> Value {
    let effect = match class.effect {
        RequestEffect::Idempotent => "read_like",
        RequestEffect::Deduplicated => "idempotency_key",
        RequestEffect::NonIdempotent => "non_idempotent",
    };
    json!({"Name": class.name, "Effect": effect, "DedupScope": "all",
        "WindowUs": microseconds(experiment.environment.origin.idempotency_window_s), "LatencySloUs": class.slo_ms * 1000,
        "ClientTimeoutUs": class.timeout_ms * 1000, "BilledValue": class.value})
}

fn microseconds(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// Merges the configuration `new` into `old`. Tables are merged key by key; other values are replaced.
pub fn merge(old: &mut Value, new: Value) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in new {
                merge(old.entry(key).or_insert(Value::Null), value);
            }
        }
        (old, new) => *old = new,
    }
}
