//! The desks that a planner opens: one for each faculty of the operator's file, each with a mailbox of its own. All of
//! them are opened at the start; one whose section the file leaves out takes no letters, and is made when it is there.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use granitelb_balancer::time::Span;
use granitelb_coordination::PlannerId;
use granitelb_coordination::component::{Component, Remediation};
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{counterfactual, endpoint_health, leases, shard_growth};
use thiserror::Error;
use tokio::sync::{mpsc, watch};

use super::board::Board;
use super::crew::Crew;
use super::desk::{Desk, Make, Outgoing, Refusal, Share};
use super::mailbox::Mailbox;
use super::situation::Situation;
use super::watch::{Pulse, Watch};
use crate::clock::Clock;
use crate::fault_injection::FaultInjection;
use crate::storage::StorageWriter;

/// Letters that wait for a faculty: some seconds' worth of a large fleet, 6 MB at the most.
const WAITING: usize = 4096;

/// Why a faculty is not made.
#[derive(Debug, Error)]
pub enum Refused {
    #[error("the operator's file leaves it out")]
    Off,
}

impl Remediation for Refused {
    fn remediation(&self) -> &'static str {
        match self {
            Refused::Off => {
                "Nothing, if that is meant; else give it its section in the operator's file of all members."
            }
        }
    }
}

fn off() -> Refusal {
    Box::new(Refused::Off)
}

/// What all desks are opened with.
pub struct Office {
    pub me: PlannerId,
    pub told: watch::Receiver<Situation>,
    pub out: mpsc::Sender<Outgoing>,
    pub renewal: mpsc::Sender<()>,
    pub keeper: StorageWriter,
    pub clock: Clock,
    pub board: Board,
    pub trial: FaultInjection,
}

/// A desk as the post sees it: where its letters are put, and whether it still comes for them.
pub struct Counter {
    pub mailbox: Arc<Mailbox>,
    pub watch: Watch,
}

pub type Counters = BTreeMap<ComponentKind, Counter>;

/// How a faculty's desk talks with the others.
struct Ways<F: Component> {
    kind: ComponentKind,
    wrap: fn(F::Message) -> Message,
    unwrap: fn(Message) -> Option<F::Message>,
    share: Option<Share<F>>,
}

impl Office {
    /// Opens all desks, each on a thread of its own.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn open(&self, crew: &mut Crew) -> io::Result<Counters> {
        let me = self.me;
        let mut counters = BTreeMap::new();
        let verdicts: Make<endpoint_health::PlannerComponent> =
            Box::new(move |operator, incarnation, now, _| {
                Ok(endpoint_health::PlannerComponent::new(operator.verdicts(), me, incarnation, now))
            });
        let unwrap =
            |letter| if let Message::EndpointHealth(message) = letter { Some(message) } else { None };
        let share: Share<endpoint_health::PlannerComponent> =
            Box::new(|faculty, now, _, board| board.write_failing(now, faculty.failing()));
        let ways = Ways {
            kind: ComponentKind::EndpointHealth,
            wrap: Message::EndpointHealth,
            unwrap,
            share: Some(share),
        };
        counters.insert(ways.kind, self.desk(crew, verdicts, ways)?);

        let leases: Make<leases::PlannerComponent> = Box::new(move |operator, incarnation, now, _| {
            Ok(leases::PlannerComponent::new(operator.leases().ok_or_else(off)?, me, incarnation, now))
        });
        let unwrap = |letter| if let Message::Leases(message) = letter { Some(message) } else { None };
        let share: Share<leases::PlannerComponent> =
            Box::new(|faculty, now, _, board| board.write_spare(now, faculty.spare(now)));
        let ways = Ways { kind: ComponentKind::Leases, wrap: Message::Leases, unwrap, share: Some(share) };
        counters.insert(ways.kind, self.desk(crew, leases, ways)?);

        let growth: Make<shard_growth::PlannerComponent> =
            Box::new(move |operator, incarnation, now, kept| {
                let settings = operator.growth().ok_or_else(off)?;
                // The process's clock is Unix time: all planners are in the same day of the book, or soon will be.
                let day = shard_growth::accounting_day::AccountingDay((now.0 / settings.day_length.0) as u32);
                let calendar =
                    shard_growth::Calendar { at: now, day, into: Span(now.0 % settings.day_length.0) };
                let made =
                    shard_growth::PlannerComponent::new(settings, me, incarnation, now, calendar, kept);
                made.map_err(|fault| -> Refusal { Box::new(fault) })
            });
        let unwrap = |letter| if let Message::ShardGrowth(message) = letter { Some(message) } else { None };
        let share: Share<shard_growth::PlannerComponent> = Box::new(|faculty, now, operator, board| {
            let figure = operator.growth.as_ref().and_then(|g| g.spare_per_s);
            faculty.set_fleet_status(board.fleet(now, operator.leases.is_some(), figure));
            board.write_table(faculty.last_migration_version());
        });
        let ways =
            Ways { kind: ComponentKind::ShardGrowth, wrap: Message::ShardGrowth, unwrap, share: Some(share) };
        counters.insert(ways.kind, self.desk(crew, growth, ways)?);

        let hindsight: Make<counterfactual::PlannerComponent> =
            Box::new(move |operator, incarnation, now, _| {
                Ok(counterfactual::PlannerComponent::new(
                    operator.hindsight().ok_or_else(off)?,
                    me,
                    incarnation,
                    now,
                ))
            });
        let unwrap =
            |letter| if let Message::Counterfactual(message) = letter { Some(message) } else { None };
        let ways = Ways {
            kind: ComponentKind::Counterfactual,
            wrap: Message::Counterfactual,
            unwrap,
            share: Some(forgets_old_tables()),
        };
        counters.insert(ways.kind, self.desk(crew, hindsight, ways)?);
        Ok(counters)
    }

    fn desk<F>(&self, crew: &mut Crew, make: Make<F>, ways: Ways<F>) -> io::Result<Counter>
    where
        F: Component + Send + 'static,
        F::Message: Send,
        F::Error: Send,
    {
        let mailbox = Arc::new(Mailbox::new(WAITING));
        let desk = Desk {
            kind: ways.kind,
            make,
            wrap: ways.wrap,
            unwrap: ways.unwrap,
            share: ways.share,
            board: self.board.clone(),
            mailbox: mailbox.clone(),
            situation: self.told.clone(),
            out: self.out.clone(),
            renewal: self.renewal.clone(),
            keeper: self.keeper.clone(),
            clock: self.clock,
            hangs: self.trial.hangs(ways.kind),
        };
        let pulse = Pulse::default();
        crew.hire(ways.kind.name(), pulse.of(desk.run()))?;
        let watch = Watch::new(pulse, self.trial.patience(), self.clock.now());
        Ok(Counter { mailbox, watch })
    }
}

/// Hindsight is told of each new table once. Growth that starts anew has seen none, which is no news.
pub(super) fn forgets_old_tables() -> Share<counterfactual::PlannerComponent> {
    let known = AtomicU64::new(0);
    Box::new(move |faculty, now, _, board| {
        let Some(new) = board.table().filter(|new| new.0 > 0) else { return };
        if known.swap(new.0, Ordering::Relaxed) != new.0 {
            faculty.new_table(now);
        }
    })
}
