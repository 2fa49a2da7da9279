//! Planners and nodes as processes on loopback, all of them the real program: calls come to each node, whose cache lacks
//! all, and what the origin may get is leased.

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::flood::WILD;
use super::stage::{Client, Stage};
use granitelb_coordination::Member;

pub const SECRET: &str = "000102030405060708090a0b0c0d0e0f";
const PATIENCE: Duration = Duration::from_secs(10);
/// Clients at each node, and what each waits between two calls.
const CLIENTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(150);

pub struct Fleet {
    pub planners: Vec<Process>,
    pub nodes: Vec<Stage>,
    pub letters: Vec<SocketAddr>,
}

pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    pub fn stop(&mut self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("it is there");
        assert!(self.child.wait().expect("it ends").success(), "{}", self.log());
    }
}

/// What came of calls in a while.
#[derive(Debug, Default, PartialEq)]
pub struct Served {
    pub calls: u64,
    pub answered: u64,
    pub fetches: u64,
}

impl Fleet {
    /// So many of each; the origin is to get `whole` fetches a second, a tenth of them the nodes' own. Nodes live at
    /// 127.`net`.n.1.
    pub fn start(
        program: &Path,
        folder: &Path,
        net: u8,
        (planners, nodes): (usize, usize),
        whole: f64,
    ) -> Fleet {
        let free = |_| UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let sockets: Vec<_> = (0..planners).map(free).collect();
        let letters: Vec<_> = sockets.iter().map(|s| s.local_addr().expect("an address")).collect();
        drop(sockets);
        let mut operator = format!("secret = \"{SECRET}\"\nforwarders = {nodes}\n");
        for (n, address) in letters.iter().enumerate() {
            operator += &format!("[[planner]]\nnumber = {}\nletters = \"{address}\"\n", n + 1);
        }
        operator += &format!("[leases]\norigin_per_s = {whole:.1}\nreserve = 0.1\n");
        fs::write(folder.join("operator.toml"), &operator).expect("a file");
        let plans = |n: usize| {
            let (file, log) =
                (folder.join(format!("planner-{n}.toml")), folder.join(format!("planner-{n}.log")));
            fs::write(&file, format!("number = {n}\noperator = \"operator.toml\"\nstate = \"state-{n}\"\n"))
                .expect("a file");
            let said = Stdio::from(fs::File::create(&log).expect("a file"));
            let child = Command::new(program).args(["plan", "--config"]).arg(&file).stderr(said).spawn();
            Process { child: child.expect("the program"), log }
        };
        let planners: Vec<_> = (1..=planners).map(plans).collect();
        let serves = |n: usize| {
            let (address, name) = (format!("127.{net}.{n}.1"), format!("node-{n}"));
            Stage::start_named(program, folder, (&address, &name), |_| Some(operator.clone()), 404)
        };
        let nodes: Vec<_> = (1..=nodes).map(serves).collect();
        Fleet { planners, nodes, letters }
    }

    /// Where a node's letters come to.
    pub fn letters_of(&self, node: usize) -> SocketAddr {
        let log = self.nodes[node].log();
        let said = log.split("letters go by ").nth(1).and_then(|rest| rest.split(' ').next());
        said.and_then(|a| a.parse().ok()).unwrap_or_else(|| panic!("no address in:\n{log}"))
    }

    fn fetches(&self) -> u64 {
        self.nodes.iter().map(|n| n.fetches.load(Ordering::Relaxed)).sum()
    }

    /// Until all nodes use leases.
    pub fn wait_for_leases(&self) {
        let until = Instant::now() + PATIENCE;
        while !self.nodes.iter().all(|n| n.log().contains("uses leases of planners")) {
            let logs: Vec<_> = self.nodes.iter().map(Stage::log).collect();
            assert!(Instant::now() < until, "no leases: {logs:#?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// How often a member says that another one is silent, and how often one goes by its own part for want of leases.
    pub fn deaths(&self) -> (usize, usize) {
        let logs = self.planners.iter().map(Process::log).chain(self.nodes.iter().map(Stage::log));
        // A flooder's letters make a member of it, which is gone with them.
        let wild = Member::Forwarder(WILD).to_string();
        let count =
            |log: &str, text: &str| log.lines().filter(|l| l.contains(text) && !l.contains(&wild)).count();
        logs.fold((0, 0), |(silent, lone), log| {
            (silent + count(&log, "has been silent"), lone + count(&log, "no planner grants leases"))
        })
    }

    /// Calls come to all nodes while `meanwhile` goes on, which is told each while what came of them.
    pub fn serve<T>(&self, meanwhile: impl FnOnce(&dyn Fn(Duration) -> Served) -> T) -> T {
        let (going, calls, answered) = (AtomicBool::new(true), AtomicU64::new(0), AtomicU64::new(0));
        std::thread::scope(|scope| {
            for (n, client) in (0..self.nodes.len()).flat_map(|n| (0..CLIENTS).map(move |c| (n, c))) {
                let (going, calls, answered) = (&going, &calls, &answered);
                scope.spawn(move || {
                    let mut connection = Client::new(self.nodes[n].node);
                    for k in 0.. {
                        if !going.load(Ordering::Relaxed) {
                            return;
                        }
                        let status = connection.ask(&format!("n{n}-c{client}-{k}"));
                        calls.fetch_add(1, Ordering::Relaxed);
                        answered.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                        std::thread::sleep(PAUSE);
                    }
                });
            }
            let now = || Served {
                calls: calls.load(Ordering::Relaxed),
                answered: answered.load(Ordering::Relaxed),
                fetches: self.fetches(),
            };
            let done = meanwhile(&|span| {
                let before = now();
                std::thread::sleep(span);
                let after = now();
                Served {
                    calls: after.calls - before.calls,
                    answered: after.answered - before.answered,
                    fetches: after.fetches - before.fetches,
                }
            });
            going.store(false, Ordering::Relaxed);
            done
        })
    }
}
