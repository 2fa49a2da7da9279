//! The one place where what became of a shot is put in the module's words.

use granitelb_balancer::calls::{AttemptOutcome, LoadReport};
use granitelb_settings::Column;

use crate::http::Message;
use crate::transport::End;

/// What became of a shot.
pub enum ShotFate {
    /// An answer came, whole.
    Answered(Message),
    /// Its connection ended first; `whole` tells whether the shot had been written to its last byte.
    Lost { end: End, whole: bool },
}

impl ShotFate {
    /// A header of the answer, if one came.
    pub fn header(&self, name: &str) -> Option<&str> {
        match self {
            ShotFate::Answered(message) => message.head.text(name),
            ShotFate::Lost { .. } => None,
        }
    }

    /// How long the answer's body is, if one came.
    pub fn bytes(&self) -> u32 {
        match self {
            ShotFate::Answered(message) => u32::try_from(message.body.len()).unwrap_or(u32::MAX),
            ShotFate::Lost { .. } => 0,
        }
    }

    /// What the decisions hear of it, and the answer for the client, if it is one.
    pub fn into_outcome(self) -> (AttemptOutcome, Option<Message>) {
        match self {
            ShotFate::Answered(message) => {
                let outcome = of_answer(&message);
                let fulfilled = outcome == AttemptOutcome::Fulfilled;
                (outcome, fulfilled.then_some(message))
            }
            ShotFate::Lost { end, whole } => (of_end(end, whole), None),
        }
    }
}

fn of_answer(answer: &Message) -> AttemptOutcome {
    let unseen = answer.head.text("x-not-processed") == Some("1");
    match answer.head.status {
        200 => AttemptOutcome::Fulfilled,
        404 => AttemptOutcome::CacheMiss,
        503 | 504 if unseen => AttemptOutcome::Rejected,
        // It was not said that nothing was done.
        _ => AttemptOutcome::Errored,
    }
}

fn of_end(end: End, whole: bool) -> AttemptOutcome {
    match end {
        // Not for want of the cache: nothing is learnt of it.
        End::NoDescriptor => AttemptOutcome::NotSent,
        End::Done if !whole => AttemptOutcome::NotSent,
        End::Recalled => AttemptOutcome::Cancelled,
        End::GivenUp | End::Silent => AttemptOutcome::TimedOut,
        // A shot that was not written to its end never runs.
        End::Refused | End::NeverUp => AttemptOutcome::Unreachable,
        _ if !whole => AttemptOutcome::Unreachable,
        End::Malformed => AttemptOutcome::Errored,
        End::Closed | End::Broken | End::Done => AttemptOutcome::Reset,
    }
}

/// A load report as ORCA's text form has it (`TEXT named_metrics.backlog=3, rps_fractional=20`): metrics go by the
/// names of the settings' columns, others are skipped. None where it is not of that form or tells nothing that is known.
pub fn load_report(text: &str) -> Option<LoadReport> {
    let metrics = text.trim().strip_prefix("TEXT ")?;
    let mut figures = Vec::new();
    for metric in metrics.split(',') {
        let (name, figure) = metric.trim().split_once('=')?;
        let column = match name.strip_prefix("named_metrics.").unwrap_or(name) {
            "rps_fractional" => Column::PerSecond,
            name => Column::of_name(name),
        };
        figures.push((column, figure.trim().parse::<f64>().ok()?));
    }
    Some(granitelb_settings::report(figures)).filter(|report| *report != LoadReport::default())
}
