//! Stand-ins for the surroundings of a node (clients, cache servers, origin, discovery), and the start of the
//! program itself. Everything listens on loopback addresses with free ports.

pub mod discovery;
pub mod http;
pub mod program;
pub mod random;
pub mod record;
pub mod servers;

use std::net::SocketAddr;
use std::sync::Arc;

use discovery::{Discovery, Entry};
use servers::{Handle, SecondAnswers, Settings, World};

const MU_LOANS_ZONES: [&str; 3] = ["ebene", "port-louis", "rose-hill"];

/// The cache servers, the origin and discovery of a small deployment like `mu-loans-east`.
pub fn mu_loans_servers(
    world: &Arc<World>,
    caches: usize,
    second_answers: Option<SecondAnswers>,
) -> (Vec<Handle>, Arc<Discovery>) {
    let mut handles = Vec::new();
    let mut entries = Vec::new();
    for index in 0..caches {
        let settings = Settings {
            name: format!("cache-{index}"),
            cache: Some(index),
            work_ms: (25.0, 75.0),
            slots: 1,
            queue: 3,
            second_answers,
            refusal_ms: (0.0, 0.0),
        };
        let server = servers::start(settings, world, 100 + index as u64);
        entries.push(entry(&format!("s-{index}"), server.address, index, "std-1"));
        handles.push(server);
    }
    let origin = Settings {
        name: "origin".into(),
        cache: None,
        work_ms: (84.0, 160.0),
        slots: 12,
        queue: 24,
        second_answers,
        refusal_ms: (0.0, 0.0),
    };
    let origin = servers::start(origin, world, 99);
    entries.push(entry("s-origin", origin.address, 0, "origin"));
    handles.push(origin);
    (handles, Discovery::start(entries))
}

fn entry(uid: &str, address: SocketAddr, index: usize, kind: &str) -> Entry {
    Entry {
        uid: uid.into(),
        address,
        zone: MU_LOANS_ZONES[index % MU_LOANS_ZONES.len()].into(),
        kind: kind.into(),
        cell: (index / 4) as u16,
        state: "active".into(),
        size: 1.0,
        boot_ms: 0,
    }
}

/// The configuration of a node, with settings like those of `mu-loans-east` and free addresses.
pub fn mu_loans_config(number: usize, nodes: usize, seed: u64, listen: SocketAddr, discovery: &Discovery) -> String {
    format!(
        r#"{{"name":"n{number}","listen":"{listen}","discovery":"{}","seed":"{seed:016x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{},
 "settings":{{"BilledValuePer":"work","Discovery":"ask","Siblings":{nodes},"MyNumber":{number},"MyZone":{},
  "Zones":["ebene","port-louis","rose-hill"],"Shapes":["std-1","origin"],"WeightKind":"silent",
  "Specifics":{{"Mode":"aside","OriginKind":1,"OriginFallMultiple":2.5,"OriginFallUs":3000000}},
  "LoadInfo":{{"Columns":[],"How":"silent"}},
  "Bounds":{{"ConnectTimeoutUs":250000,"KeepaliveUs":10000000,"MaxRetryAfterUs":1500000,"MayCancel":true,"MayProbe":true,"MostShots":4,"Peers":true,"RetryAfter":true,"SecondCopies":false}},
  "Products":[
   {{"Name":"balance-read","Effect":"read_like","DedupScope":"all","LatencySloUs":600000,"ClientTimeoutUs":1200000,"BilledValue":1.0,"TardyBilledValue":0.0,"WindowUs":5000000}},
   {{"Name":"repayment-post","Effect":"idempotency_key","DedupScope":"all","LatencySloUs":600000,"ClientTimeoutUs":1500000,"BilledValue":2.0,"TardyBilledValue":0.0,"WindowUs":3000000}}],
  "Rules":{{"AnswerSlackUs":20000,"ColdFrom":0.2,"WarmAfterUs":24000000,"FallMultiple":3.0,"FallUs":2000000,"MustAskInUs":10000000,"StopSendingWithinUs":300000}}}}}}"#,
        discovery.address,
        discovery.known(),
        number % MU_LOANS_ZONES.len()
    )
}
