//! Judges a run from its book alone.

mod bars;
mod figures;
mod fleet;
mod growth;
mod leaving;
mod rules;

use serde::Serialize;

use crate::book::Book;
use crate::experiment::Experiment;
use crate::schedule::Schedule;

pub use bars::Shortfall;
pub use figures::{Figures, Recovery, Second};
pub use fleet::FleetFigures;
pub use growth::GrowthFigures;
pub use leaving::Leaving;
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
    judge_beside(experiment, schedule, book, None)
}

/// The same, beside what the service was on the same calls with nothing befalling planners and letters.
pub fn judge_beside(
    experiment: &Experiment,
    schedule: &Schedule,
    book: &Book,
    undisturbed: Option<f64>,
) -> Verdict {
    let mut figures = Figures::measure(experiment, schedule, book);
    figures.fleet.loss = undisturbed.map(|service| service - figures.service);
    let mut breaches = rules::check(experiment, book);
    let mut shortfalls = bars::hold(experiment, &figures);
    if let Some(form) = &experiment.growth {
        let (growth, found) = growth::judge(experiment, form, book);
        breaches.extend(found);
        shortfalls.extend(growth.hold(&form.expect));
        figures.growth = Some(growth);
    }
    Verdict { breaches, shortfalls, figures }
}
