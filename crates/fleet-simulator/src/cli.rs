//! The command line of the simulator.

use std::fmt;

use bpaf::{OptionParser, Parser};
use granitelb_fleet_simulator::{ControlPlaneScope, Outage, Policy, Scenario, days};

/// The largest number of planners that a fleet's configuration permits.
const MAX_PLANNERS: usize = 5;
/// The smallest number of caches of a fleet.
const MIN_CACHES: usize = 3;
/// The fleet sizes that run if the command line names no size.
const DEFAULT_SIZES: [FleetSize; 2] =
    [FleetSize { nodes: 300, caches: 200 }, FleetSize { nodes: 20, caches: 20 }];
/// The exclusive upper limit of the load.
const MAX_LOAD: f64 = 5.0;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub nodes: usize,
    pub caches: usize,
}

impl fmt::Display for FleetSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}", self.nodes, self.caches)
    }
}

/// The options of a run. Each combination of day, policy, size and seed is simulated.
pub struct Options {
    pub policies: Vec<Policy>,
    pub sizes: Vec<FleetSize>,
    /// The last seed; seeds run from 1 to this number.
    pub seeds: u64,
    pub load: f64,
    pub planners: usize,
    pub control_plane: ControlPlaneScope,
    pub planner_outage: Option<Outage>,
    pub days: Vec<String>,
}

/// An argument whose value is invalid.
enum ArgumentError {
    Policy(String),
    CandidateCount(String),
    Size(String),
    ControlPlane(String),
    Interval(String),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArgumentError::Policy(text) => {
                write!(f, "unknown policy `{text}`: expected module, random, random:N or seeing:N")
            }
            ArgumentError::CandidateCount(text) => {
                write!(
                    f,
                    "policy `{text}` has no valid number of candidates: expected a whole number after the colon"
                )
            }
            ArgumentError::Size(text) => write!(
                f,
                "invalid fleet size `{text}`: expected at least 1 node and {MIN_CACHES} caches, such as 300x200"
            ),
            ArgumentError::ControlPlane(text) => {
                write!(f, "unknown control plane scope `{text}`: expected verdicts, leases or all")
            }
            ArgumentError::Interval(text) => {
                write!(
                    f,
                    "invalid outage `{text}`: expected its start and its later end in seconds, such as 5-15"
                )
            }
        }
    }
}

fn parse_policy(text: String) -> Result<Policy, ArgumentError> {
    let Some((name, count)) = text.split_once(':') else {
        return match text.as_str() {
            "module" => Ok(Policy::Balancer),
            "random" => Ok(Policy::Random),
            _ => Err(ArgumentError::Policy(text)),
        };
    };
    let policy = match name {
        "random" => Policy::RandomOf,
        "seeing" => Policy::LeastOccupied,
        _ => return Err(ArgumentError::Policy(text)),
    };
    match count.parse() {
        Ok(count) => Ok(policy(count)),
        Err(_) => Err(ArgumentError::CandidateCount(text)),
    }
}

fn parse_size(text: String) -> Result<FleetSize, ArgumentError> {
    if let Some((nodes, caches)) = text.split_once('x')
        && let (Ok(nodes), Ok(caches)) = (nodes.parse(), caches.parse())
        && nodes > 0
        && caches >= MIN_CACHES
    {
        return Ok(FleetSize { nodes, caches });
    }
    Err(ArgumentError::Size(text))
}

fn parse_control_plane(text: String) -> Result<ControlPlaneScope, ArgumentError> {
    match text.as_str() {
        "verdicts" => Ok(ControlPlaneScope::ENDPOINT_HEALTH),
        "leases" => Ok(ControlPlaneScope::LEASES),
        "all" => Ok(ControlPlaneScope::ALL),
        _ => Err(ArgumentError::ControlPlane(text)),
    }
}

fn parse_outage(text: String) -> Result<Outage, ArgumentError> {
    if let Some((from, to)) = text.split_once('-')
        && let (Ok(from_s), Ok(to_s)) = (from.parse::<f64>(), to.parse::<f64>())
        && from_s < to_s
    {
        return Ok(Outage { from_s, to_s });
    }
    Err(ArgumentError::Interval(text))
}

fn policies() -> impl Parser<Vec<Policy>> {
    bpaf::long("policy")
        .help(
            "policy of the nodes: module (the real balancer), random, random:N (a random one of a key's N \
             highest-ranked caches) or seeing:N (the least occupied one of them); may be repeated",
        )
        .argument::<String>("POLICY")
        .parse(parse_policy)
        .many()
        .map(|policies| if policies.is_empty() { vec![Policy::Balancer] } else { policies })
}

fn sizes() -> impl Parser<Vec<FleetSize>> {
    bpaf::long("size")
        .help("numbers of nodes and caches, such as 300x200; may be repeated")
        .argument::<String>("NxC")
        .parse(parse_size)
        .many()
        .map(|sizes| if sizes.is_empty() { DEFAULT_SIZES.to_vec() } else { sizes })
}

fn control_plane() -> impl Parser<ControlPlaneScope> {
    bpaf::long("together")
        .help("what the control plane coordinates: verdicts (endpoint health and probes), leases or all")
        .argument::<String>("WHAT")
        .parse(parse_control_plane)
        .fallback(ControlPlaneScope::ALL)
}

fn planner_outage() -> impl Parser<Option<Outage>> {
    bpaf::long("dead")
        .help("time in which all planners are down, in seconds of the day, such as 5-15")
        .argument::<String>("FROM-TO")
        .parse(parse_outage)
        .optional()
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Options> {
    let policies = policies();
    let sizes = sizes();
    let seeds = bpaf::long("seeds").help("runs seeds 1 to N").argument::<u64>("N").fallback(1);
    let load = bpaf::long("load")
        .help("offered work as a share of the caches' capacity")
        .argument::<f64>("SHARE")
        .guard(|load| *load > 0.0 && *load < MAX_LOAD, "the load must be over 0 and under 5")
        .fallback(Scenario::default().load);
    let planners = bpaf::long("planners")
        .help("number of planners; with 0 planners each node learns only from its own attempts")
        .argument::<usize>("N")
        .guard(|planners| *planners <= MAX_PLANNERS, "there can be at most 5 planners")
        .fallback(0);
    let control_plane = control_plane();
    let planner_outage = planner_outage();
    let is_known = |day: &String| days::faults_of_day(day).is_some();
    let days = bpaf::positional::<String>("DAY")
        .guard(is_known, "unknown day; --help lists the days")
        .some("expected at least one day; --help lists the days");
    bpaf::construct!(Options { policies, sizes, seeds, load, planners, control_plane, planner_outage, days })
        .to_options()
        .descr("Runs days of a simulated fleet of nodes with the real balancer")
        .footer(&*format!("Days: {}", days::DAY_NAMES.join(", ")))
}
