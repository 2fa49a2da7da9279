//! Prints what a planner's process costs by the number of forwarders: the real program on loopback, which is named as the
//! first argument, and forwarders that report and ask twice a second, played by this process.

use std::fs;
use std::net::UdpSocket;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use granitelb_balancer::ids::EndpointId;
use granitelb_coordination::endpoint_health::{self, Part, Report, Seen};
use granitelb_coordination::leases::{Demand, Resource};
use granitelb_coordination::message::{Message, Secret, Secrets, seal};
use granitelb_coordination::{ForwarderId, Incarnation, Member, Sender, leases};

const SECONDS: u64 = 10;
const ROUNDS: u64 = 2 * SECONDS;
const SECRET: [u8; 16] = [7; 16];

fn main() {
    let program = std::env::args().nth(1).expect("the program");
    println!("| forwarders | of a core | resident, MB | bytes in a second | bytes out a second | answered |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for forwarders in [50, 100, 200, 500, 1000, 2000] {
        let folder = std::env::temp_dir().join(format!("planner-cost-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let row = play(&program, &folder, forwarders);
        fs::remove_dir_all(&folder).expect("removed");
        println!("| {forwarders} | {row} |");
    }
}

fn play(program: &str, folder: &Path, forwarders: u64) -> String {
    let free = UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let operator = format!(
        "secret = \"{}\"\nforwarders = 4000\n[[planner]]\nnumber = 1\nletters = \"{free}\"\n[leases]\norigin_per_s = 1000.0\n[hindsight]\n",
        hex::encode(SECRET)
    );
    fs::write(folder.join("operator.toml"), operator).expect("written");
    let planner = "number = 1\noperator = \"operator.toml\"\nstate = \"state\"\n";
    fs::write(folder.join("planner.toml"), planner).expect("written");
    let mut child = Command::new(program)
        .arg("plan")
        .arg("--config")
        .arg(folder.join("planner.toml"))
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    std::thread::sleep(Duration::from_millis(500));
    let secrets = Secrets::one(Secret::new(&SECRET).expect("long enough"));
    let socket = |_| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_nonblocking(true).expect("set");
        socket.connect(free).expect("connected");
        socket
    };
    // A few sockets stand for all: the planner answers to where a forwarder wrote from.
    let sockets: Vec<_> = (0..32).map(socket).collect();
    let (mut sent, mut came, mut answers) = (0, 0, 0);
    let (cpu, began) = (cpu_of(&child), Instant::now());
    for round in 0..ROUNDS {
        for n in 0..forwarders {
            let at = began + Duration::from_micros((round * forwarders + n) * 500_000 / forwarders);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let member = Member::Forwarder(ForwarderId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            let letters = letters(n, round);
            for (k, letter) in letters.iter().enumerate() {
                let number = round * letters.len() as u64 + k as u64;
                let bytes = seal(Sender { member, incarnation: Incarnation(1), number }, letter, &secrets)
                    .expect("a letter");
                let socket = &sockets[n as usize % sockets.len()];
                sent += socket.send(&bytes).unwrap_or(0);
            }
            let mut bytes = [0; 1500];
            while let Ok(length) = sockets[n as usize % sockets.len()].recv(&mut bytes) {
                came += length;
                answers += 1;
            }
        }
    }
    let (spent, resident) = (cpu_of(&child) - cpu, resident_of(&child));
    child.kill().expect("ended");
    child.wait().expect("ended");
    let seconds = began.elapsed().as_secs_f64();
    let rate = |bytes: usize| (bytes as f64 / seconds) as u64;
    format!("{:.2}% | {resident:.0} | {} | {} | {answers}", 100.0 * spent / seconds, rate(sent), rate(came))
}

/// What a forwarder writes in a round: five caches of 70, one of which fails, and an ask for fetches.
fn letters(n: u64, round: u64) -> Vec<Message> {
    let seen = |k: u64| {
        let cache = (n + round + 14 * k) % 70;
        let ill = f64::from(u8::from(cache == 0));
        Seen { cache: EndpointId(cache), answered: 1.0 - ill, failed: ill, out: 0.0 }
    };
    let report = Report { number: round + 1, part: Part::WHOLE, caches: (0..5).map(seen).collect() };
    let needs = vec![Demand {
        resource: Resource::Origin,
        amount: 500,
        request_in_use: round,
        requesters: 1,
        already_held: 0,
    }];
    vec![
        Message::EndpointHealth(endpoint_health::HealthMessage::Report(report)),
        Message::Leases(leases::LeaseMessage::Request { request_id: round + 1, demands: needs }),
    ]
}

fn cpu_of(child: &Child) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).expect("it lives");
    let after_name = stat.rsplit(')').next().expect("a line");
    let ticks = |n: usize| {
        after_name.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).expect("a figure")
    };
    (ticks(11) + ticks(12)) / 100.0
}

fn resident_of(child: &Child) -> f64 {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).expect("it lives");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("a figure") / 1024.0
}
