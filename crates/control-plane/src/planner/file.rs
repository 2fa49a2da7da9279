//! A planner's own file: its number in the operator's file, and where it keeps what it must not forget.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use granitelb_coordination::PlannerId;
use serde::Deserialize;

use crate::config_error::{ConfigError, ConfigSource, InvalidValue};
use crate::fault_injection::FaultInjection;
use crate::fleet_config::FleetConfig;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    number: u8,
    operator: PathBuf,
    state: Option<PathBuf>,
    listen: Option<SocketAddr>,
    trial: Option<FaultInjection>,
}

/// The file and the operator's file that it names, both checked.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    pub number: PlannerId,
    pub operator: Arc<FleetConfig>,
    /// The folder of its store.
    pub state: Option<PathBuf>,
    /// Where it receives letters: what the operator's file has, unless its machine has another name for that.
    pub listen: SocketAddrV4,
    /// What it is made to do amiss.
    pub trial: Option<FaultInjection>,
}

impl PlannerConfig {
    /// # Errors
    /// Whatever is wrong with either file, by file, line and key.
    pub fn load(path: &Path) -> Result<PlannerConfig, ConfigError> {
        let source = ConfigSource::load(path)?;
        let form: Form = source.parse()?;
        let operator = FleetConfig::load(&source.resolve(&form.operator))?;
        form.check(&source, operator).map_err(|wrong| source.locate(wrong))
    }

    /// What differs in a way that a running planner can't take up.
    pub fn for_next_start(&self, running: &PlannerConfig) -> Vec<&'static str> {
        let differs = [
            ("number", self.number != running.number),
            ("state", self.state != running.state),
            ("listen", self.listen != running.listen),
            ("trial", self.trial != running.trial),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

impl Form {
    fn check(self, source: &ConfigSource, operator: FleetConfig) -> Result<PlannerConfig, InvalidValue> {
        let number = PlannerId(self.number);
        let Some(&listed) = operator.planners.get(&number) else {
            return Err(InvalidValue::new(
                "number",
                format!("the operator's file has no planner {}", self.number),
            ));
        };
        let listen = match self.listen {
            None => listed,
            Some(SocketAddr::V4(listen)) => listen,
            Some(other) => return Err(InvalidValue::new("listen", format!("{other} is not of IPv4"))),
        };
        if operator.shard_growth.is_some() && self.state.is_none() {
            // What it agreed to must outlive it, or two forms of the table could be agreed on.
            return Err(InvalidValue::new(
                "state",
                "growth is on, and needs a folder to keep what was agreed on",
            ));
        }
        if let Some(trial) = &self.trial {
            trial.validate()?;
        }
        let state = self.state.map(|folder| source.resolve(&folder));
        Ok(PlannerConfig { number, operator: Arc::new(operator), state, listen, trial: self.trial })
    }
}

impl std::fmt::Display for PlannerConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "planner {} of {}, letters at {}, ",
            self.number.0,
            self.operator.planners.len(),
            self.listen
        )?;
        match &self.state {
            Some(folder) => write!(f, "keeps its state in {}; {}", folder.display(), self.operator),
            None => write!(f, "keeps nothing; {}", self.operator),
        }
    }
}
