//! Judges a run from its book alone.

mod bars;
mod figures;
mod rules;

use serde::Serialize;

use crate::book::Book;
use crate::experiment::Experiment;
use crate::schedule::Schedule;

pub use bars::Shortfall;
pub use figures::{Figures, Recovery, Second};
pub use rules::{Breach, Rule};

/// What came of a run.
#[derive(Debug, Serialize)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub shortfalls: Vec<Shortfall>,
    pub figures: Figures,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.breaches.is_empty() && self.shortfalls.is_empty()
    }
}

/// The whole judgement: the four rules, what was measured, and the experiment's bars.
pub fn judge(experiment: &Experiment, schedule: &Schedule, book: &Book) -> Verdict {
    let figures = Figures::measure(experiment, schedule, book);
    Verdict {
        breaches: rules::check(experiment, book),
        shortfalls: bars::hold(&experiment.expect, &figures),
        figures,
    }
}
