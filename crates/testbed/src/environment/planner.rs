//! The planners, each a process of the real program, and the fleet configuration that members read.

use std::fmt;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::event_log::{Event, EventLogWriter};
use crate::experiment::{Experiment, LeasesConfig, StoreCondition};

/// Time within which a planner has to exit after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Bytes that are appended to a truncated state file for [`StoreCondition::Torn`].
const GARBAGE: &[u8] = b"torn here";

/// Whether a planner has a directory for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The planner persists its state in a directory.
    Persistent,
    /// The planner has no directory for its state and always starts without state.
    InMemory,
}

/// Why a planner's program can't be started.
#[derive(Debug)]
pub struct StartError {
    /// The program that can't be executed, or the log file that can't be opened.
    path: PathBuf,
    error: std::io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a planner can't be started: {}: {}", self.path.display(), self.error)
    }
}

impl std::error::Error for StartError {}

/// The parameters of [`Planner::new`].
pub struct PlannerSetup<'a> {
    /// The planner's index, from 0.
    pub index: usize,
    /// Address at which the planner listens for messages.
    pub address: SocketAddr,
    /// Path of the program to start.
    pub program: &'a Path,
    /// Directory for the planner's files.
    pub folder: &'a Path,
    /// Text of the planner's fleet configuration.
    pub fleet_config: &'a str,
    /// Whether the planner persists its state.
    pub persistence: Persistence,
}

/// A planner's process and its files.
pub struct Planner {
    /// The planner's index, from 0.
    pub index: usize,
    /// Address at which the planner listens for messages.
    pub address: SocketAddr,
    program: PathBuf,
    config_file: PathBuf,
    log_file: PathBuf,
    state_folder: PathBuf,
    /// The process while it runs.
    child: Option<Child>,
    event_log: EventLogWriter,
}

/// Text of a member's fleet configuration. `planners` holds the addresses to which this member sends for each
/// planner.
pub fn fleet_config(experiment: &Experiment, secret: &[u8], planners: &[SocketAddr]) -> String {
    let fleet = experiment.fleet.clone().unwrap_or_default();
    let hex_secret: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    let mut file = toml::Table::new();
    file.insert("secret".into(), hex_secret.into());
    file.insert("forwarders".into(), (experiment.environment.nodes as i64).into());
    let mut planner_tables = Vec::new();
    for (index, address) in planners.iter().enumerate() {
        let mut planner = toml::Table::new();
        planner.insert("number".into(), i64::from(planner_number(index)).into());
        planner.insert("letters".into(), address.to_string().into());
        planner_tables.push(toml::Value::Table(planner));
    }
    file.insert("planner".into(), planner_tables.into());
    if let Some(leases) = &fleet.leases {
        file.insert("leases".into(), lease_config(leases).into());
    }
    file.extend(fleet.fleet_config);
    file.to_string()
}

fn lease_config(leases: &LeasesConfig) -> toml::Table {
    let mut table = toml::Table::new();
    table.insert("origin_per_s".into(), leases.origin_per_s.into());
    table.insert("cold_work".into(), leases.cold_cache_work.into());
    table.insert("reserve".into(), leases.reserve.into());
    if leases.long_term_share > 0.0 {
        table.insert("standing".into(), leases.long_term_share.into());
    }
    table.insert("lasts_ms".into(), (leases.lease_ms as i64).into());
    table
}

/// A planner's number in configurations and messages, where planners are counted from 1.
pub fn planner_number(index: usize) -> u8 {
    index as u8 + 1
}

impl Planner {
    /// Writes a planner's files without starting its process; [`Planner::start`] does that.
    ///
    /// # Errors
    /// Returns the system's error if a file can't be written.
    pub fn new(setup: PlannerSetup<'_>, event_log: EventLogWriter) -> std::io::Result<Planner> {
        let path = |ending: &str| setup.folder.join(format!("planner-{}{ending}", setup.index));
        let state_folder = path(".state");
        // Removes the state that an earlier run may have left; an error is ignored because there may be none.
        let _ = std::fs::remove_dir_all(&state_folder);
        std::fs::create_dir_all(&state_folder)?;
        let fleet_config_file = path(".operator.toml");
        std::fs::write(&fleet_config_file, setup.fleet_config)?;
        let mut config = toml::Table::new();
        config.insert("number".into(), i64::from(planner_number(setup.index)).into());
        config.insert("operator".into(), fleet_config_file.display().to_string().into());
        if setup.persistence == Persistence::Persistent {
            config.insert("state".into(), state_folder.display().to_string().into());
        }
        let config_file = path(".toml");
        std::fs::write(&config_file, config.to_string())?;
        Ok(Planner {
            index: setup.index,
            address: setup.address,
            program: setup.program.into(),
            config_file,
            log_file: path(".log"),
            state_folder,
            child: None,
            event_log,
        })
    }

    /// Starts the planner's process unless it runs.
    ///
    /// # Errors
    /// Returns an error if the program can't be executed or the log file can't be opened; the error names the
    /// file.
    pub fn start(&mut self) -> Result<(), StartError> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_file)
            .map_err(|error| StartError { path: self.log_file.clone(), error })?;
        let child = Command::new(&self.program)
            .args(["plan", "--config"])
            .arg(&self.config_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| StartError { path: self.program.clone(), error })?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            // A signal fails only for a process that has ended.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process, if it runs.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Asks the process to stop by SIGTERM. A process that does not exit within [`SHUTDOWN_TIMEOUT`] is
    /// killed and recorded as crashed.
    pub async fn stop(&mut self) {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return };
        if timeout(SHUTDOWN_TIMEOUT, child.wait()).await.is_err() {
            let how = format!("the process still ran {SHUTDOWN_TIMEOUT:?} after SIGTERM and was killed");
            self.event_log.event(Event::PlannerCrashed { planner: self.index, how });
            let _ = child.kill().await;
        }
    }

    /// Leaves the persisted state as it is, deletes it or corrupts it, as a fault's `store` demands.
    ///
    /// # Errors
    /// Returns the system's error if a file can't be read or changed.
    pub fn damage_state(&self, store: StoreCondition) -> std::io::Result<()> {
        for entry in std::fs::read_dir(&self.state_folder)? {
            let file = entry?.path();
            match store {
                StoreCondition::Intact => {}
                StoreCondition::Empty => std::fs::remove_file(file)?,
                StoreCondition::Torn => {
                    let mut bytes = std::fs::read(&file)?;
                    bytes.truncate(bytes.len() / 2);
                    bytes.extend(GARBAGE);
                    std::fs::write(&file, bytes)?;
                }
            }
        }
        Ok(())
    }

    /// Records a crash if the process has ended by itself.
    pub fn check_exit(&mut self) {
        let Some(child) = &mut self.child else { return };
        let Ok(Some(status)) = child.try_wait() else { return };
        self.child = None;
        let log = std::fs::read_to_string(&self.log_file).unwrap_or_default();
        let how = format!("{status}, {}", log.lines().last().unwrap_or("its log is empty"));
        self.event_log.event(Event::PlannerCrashed { planner: self.index, how });
    }
}
