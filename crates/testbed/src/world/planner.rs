//! The planners: the real program, each a process of its own, and the files that members read.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::event_log::{Event, EventLogWriter};
use crate::experiment::{Experiment, StoreCondition};

/// A planner told to stop ends by then.
const STOPS: Duration = Duration::from_millis(1500);

pub struct Planner {
    pub number: usize,
    pub address: SocketAddr,
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    state: PathBuf,
    child: Option<Child>,
    event_log: EventLogWriter,
}

/// What all members agree on, with the planners where this member finds them.
pub fn operators_file(of: &Experiment, secret: &[u8], planners: &[SocketAddr]) -> String {
    let fleet = of.fleet.clone().unwrap_or_default();
    let mut file = toml::Table::new();
    let hex: String = secret.iter().map(|b| format!("{b:02x}")).collect();
    file.insert("secret".into(), hex.into());
    file.insert("forwarders".into(), (of.world.nodes as i64).into());
    let planner = |(n, at): (usize, &SocketAddr)| {
        let mut planner = toml::Table::new();
        planner.insert("number".into(), i64::from(number_of(n)).into());
        planner.insert("letters".into(), at.to_string().into());
        toml::Value::Table(planner)
    };
    file.insert("planner".into(), planners.iter().enumerate().map(planner).collect::<Vec<_>>().into());
    if let Some(l) = &fleet.leases {
        let mut leases = toml::Table::new();
        leases.insert("origin_per_s".into(), l.origin_per_s.into());
        leases.insert("cold_work".into(), l.cold_cache_work.into());
        leases.insert("reserve".into(), l.reserve.into());
        if l.long_term_share > 0.0 {
            leases.insert("standing".into(), l.long_term_share.into());
        }
        leases.insert("lasts_ms".into(), (l.lease_ms as i64).into());
        file.insert("leases".into(), leases.into());
    }
    file.extend(fleet.fleet_config);
    file.to_string()
}

/// In members' files planners are counted from 1.
pub fn number_of(planner: usize) -> u8 {
    planner as u8 + 1
}

impl Planner {
    pub fn new(
        number: usize,
        address: SocketAddr,
        program: &Path,
        folder: &Path,
        operator: &str,
        forgetful: bool,
        event_log: EventLogWriter,
    ) -> std::io::Result<Planner> {
        let place = |end: &str| folder.join(format!("planner-{number}{end}"));
        let state = place(".state");
        let _ = std::fs::remove_dir_all(&state);
        std::fs::create_dir_all(&state)?;
        let operators_file = place(".operator.toml");
        std::fs::write(&operators_file, operator)?;
        let mut file = toml::Table::new();
        file.insert("number".into(), i64::from(number_of(number)).into());
        file.insert("operator".into(), operators_file.display().to_string().into());
        if !forgetful {
            file.insert("state".into(), state.display().to_string().into());
        }
        std::fs::write(place(".toml"), file.to_string())?;
        let program = program.into();
        Ok(Planner {
            number,
            address,
            program,
            file: place(".toml"),
            log: place(".log"),
            state,
            child: None,
            event_log,
        })
    }

    /// Starts the program, if it is not there.
    ///
    /// # Errors
    /// What kept it from starting.
    pub fn start(&mut self) -> Result<(), String> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| format!("{}: {e}", self.log.display()))?;
        let child = Command::new(&self.program)
            .args(["plan", "--config"])
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn();
        self.child = Some(child.map_err(|e| format!("{}: {e}", self.program.display()))?);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Tells it to stop, and kills it where it does not.
    pub async fn stop(&mut self) {
        self.signal(Signal::TERM);
        if let Some(mut child) = self.child.take()
            && tokio::time::timeout(STOPS, child.wait()).await.is_err()
        {
            let how = format!("it went on for {STOPS:?} after it was told to stop");
            self.event_log.event(Event::PlannerCrashed { planner: self.number, how });
            let _ = child.kill().await;
        }
    }

    /// Does to what it kept what a fault says.
    pub fn treat(&self, store: StoreCondition) -> std::io::Result<()> {
        for entry in std::fs::read_dir(&self.state)? {
            let file = entry?.path();
            match store {
                StoreCondition::Intact => {}
                StoreCondition::Empty => std::fs::remove_file(file)?,
                StoreCondition::Torn => {
                    let mut bytes = std::fs::read(&file)?;
                    bytes.truncate(bytes.len() / 2);
                    bytes.extend(b"torn here");
                    std::fs::write(&file, bytes)?;
                }
            }
        }
        Ok(())
    }

    /// Notes whether it has ended by itself.
    pub fn look(&mut self) {
        if let Some(child) = &mut self.child
            && let Ok(Some(status)) = child.try_wait()
        {
            self.child = None;
            let last = std::fs::read_to_string(&self.log).unwrap_or_default();
            let how = format!("{status}, {}", last.lines().last().unwrap_or("it logged nothing"));
            self.event_log.event(Event::PlannerCrashed { planner: self.number, how });
        }
    }
}
