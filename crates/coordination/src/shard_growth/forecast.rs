//! What a shard will have to keep: a pure function of its history. It weighs three plain models on the history itself and
//! takes the one that would have erred least; the same replay gives the interval.
//!
//! Invariant: the interval is made of errors that the chosen model made on this very shard at this horizon, on days that
//! it had not seen; none is given before there are enough of them. So a shape that no model follows has a wide interval
//! and not a wrong one, as long as the errors to come are like those that came.

use super::book::RHYTHMS;
use super::sketch::Day;

/// One day's figure. Days may lack; they are in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub day: Day,
    pub value: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    pub value: f64,
    /// Nine times of ten the truth lies between these.
    pub low: f64,
    pub high: f64,
    pub model: Model,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Model {
    AsToday,
    /// So much more each day.
    Line,
    /// So many parts more each day.
    Compound,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Too few days are known.
    Short,
    /// Of the days of late too many lack.
    Gaps,
    /// Too few past forecasts can be held against what came.
    Untried,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotYet {
    pub why: Why,
    /// When there will be one, if each day from now on is told.
    pub when: Day,
}

/// A model looks back over so many days.
const WINDOW: u32 = 56;
/// So many of them have to be there, and of the last week so many.
const NEEDED: usize = 28;
const NEEDED_OF_LATE: usize = 4;
/// Past forecasts that are held against what came: at most, and at least.
const TRIALS: usize = 40;
const FEWEST_TRIALS: usize = 12;
/// Trials lie at least so far apart: neighbours err alike.
const APART: u32 = 4;
/// The share of past errors that lies in the interval before it is widened.
const COVERS: f64 = 0.9;
/// By how much of its width it is widened on each side if no two trials share a day; set on books of seeds 1 to 40 and 1001 to 1100.
const WIDER: f64 = 0.23;
/// A jump of so many usual day's changes that stays is a bulk load, or a purge: no trend.
const JUMP: f64 = 8.0;
/// History that is read at all.
const READ: u32 = 400;

/// What there will be `horizon` days after the last day of the history.
///
/// # Errors
/// Says why the evidence is thin, and when it will do.
pub fn forecast(history: &[Point], horizon: u32) -> Result<Forecast, NotYet> {
    let Some(last) = history.last().map(|p| p.day) else {
        return Err(NotYet { why: Why::Short, when: Day(0) });
    };
    let from = history.partition_point(|p| p.day.0 + READ < last.0);
    let history = &history[from..];
    let first = history[0].day;
    // From when a first model stood, its horizon, and enough trials after that.
    let enough = first.0 + NEEDED as u32 + horizon + APART * (FEWEST_TRIALS as u32 - 1);
    let short = |why| NotYet { why, when: Day(enough.max(last.0 + 1)) };
    if history.len() < NEEDED {
        return Err(short(Why::Short));
    }
    let now = Fit::of(history).ok_or(NotYet { why: Why::Gaps, when: Day(last.0 + NEEDED as u32) })?;
    let trials = trials(history, horizon);
    if trials.len() < FEWEST_TRIALS {
        return Err(short(Why::Untried));
    }
    let model = [Model::AsToday, Model::Line, Model::Compound]
        .into_iter()
        .min_by(|a, b| mean_error(&trials, *a).total_cmp(&mean_error(&trials, *b)))
        .expect("three models");
    let value = now.ahead(model, Day(last.0 + horizon));
    // By parts of the level then: errors grow with what they are of.
    let mut errors: Vec<f64> = trials.iter().map(|t| t.error(model)).collect();
    errors.sort_by(f64::total_cmp);
    let (low, high) = spread(&errors, horizon);
    let level = now.level.max(f64::MIN_POSITIVE);
    let bounded = |v: f64| if v.is_finite() { v.max(0.0) } else { f64::MAX };
    let (value, low, high) = (bounded(value), bounded(value + low * level), bounded(value + high * level));
    Ok(Forecast { value, low: low.min(value), high: high.max(value), model })
}

/// A past forecast and what came of it.
struct Trial {
    level: f64,
    came: f64,
    said: [f64; 3],
}

impl Trial {
    fn error(&self, model: Model) -> f64 {
        ((self.came - self.said[model as usize]) / self.level.max(f64::MIN_POSITIVE)).clamp(-1e6, 1e6)
    }
}

fn mean_error(trials: &[Trial], model: Model) -> f64 {
    let sum: f64 = trials.iter().map(|t| t.error(model).abs()).sum();
    // A richer model has to earn its place: by chance it follows the last trials a little better.
    let handicap = if model == Model::AsToday { 1.0 } else { 1.05 };
    sum / trials.len() as f64 * handicap
}

/// Forecasts from days in the past, the latest first, each by what was known by then.
fn trials(history: &[Point], horizon: u32) -> Vec<Trial> {
    let mut trials = Vec::new();
    let mut next = u32::MAX;
    for (n, point) in history.iter().enumerate().rev() {
        if trials.len() >= TRIALS {
            break;
        }
        let Some(origin) = point.day.0.checked_sub(horizon) else { break };
        if origin > next {
            continue;
        }
        let known = &history[..history[..n].partition_point(|p| p.day.0 <= origin)];
        let Some(at) = known.last().map(|p| p.day) else { break };
        // A gap then: what was known was older than the horizon says.
        if at.0 + 2 < origin {
            continue;
        }
        let Some(fit) = Fit::of(known) else { continue };
        next = origin.saturating_sub(APART);
        let said = [Model::AsToday, Model::Line, Model::Compound].map(|m| fit.ahead(m, point.day));
        trials.push(Trial { level: fit.level, came: point.value, said });
    }
    trials
}

/// How far below and above the forecast the truth was, widened: trials overlap, so that they tell of fewer cases than they
/// are, and the next error may be beyond all of them.
fn spread(sorted: &[f64], horizon: u32) -> (f64, f64) {
    let n = sorted.len() as f64;
    // Trials that share no day with one another.
    let apart = (n * f64::from(APART) / f64::from(horizon.max(APART))).max(1.0).min(n);
    let tail = ((1.0 - COVERS) / 2.0 - 0.5 / n).max(0.0);
    let (low, high) = (quantile(sorted, tail), quantile(sorted, 1.0 - tail));
    let wider = (high - low) * WIDER / apart.sqrt();
    (low - wider, high + wider)
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let at = part * (sorted.len() - 1) as f64;
    let (below, above) = (sorted[at.floor() as usize], sorted[at.ceil() as usize]);
    below + (above - below) * at.fract()
}

fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

/// The level, trend and rhythm of the days up to one.
struct Fit {
    at: Day,
    level: f64,
    line: f64,
    /// Of the logarithm.
    compound: f64,
    rhythm: [f64; RHYTHMS],
}

impl Fit {
    fn of(history: &[Point]) -> Option<Fit> {
        let at = history.last()?.day;
        let from = history.partition_point(|p| p.day.0 + WINDOW <= at.0);
        // The rhythm is seen over several months.
        let long = &history[history.partition_point(|p| p.day.0 + 3 * WINDOW <= at.0)..];
        if history.len() - from < NEEDED
            || history.iter().rev().take_while(|p| p.day.0 + 7 > at.0).count() < NEEDED_OF_LATE
        {
            return None;
        }
        let long = without_jumps(long);
        let rhythm = rhythm(&long);
        let calm: Vec<Point> =
            long.iter().map(|p| Point { value: p.value / rhythm[p.day.rhythm()], ..*p }).collect();
        let window = &calm[calm.partition_point(|p| p.day.0 + WINDOW <= at.0)..];
        let line = slope(window, |v| v)?;
        let compound = slope(window, |v| v.max(1e-9).ln())?;
        // Where the trend stands today, by the last weeks: a burst of some days moves it little.
        let late = &window[window.partition_point(|p| p.day.0 + 14 <= at.0)..];
        let mut levels: Vec<f64> = late.iter().map(|p| p.value + line * f64::from(at.0 - p.day.0)).collect();
        let level = median(&mut levels)?.max(0.0);
        Some(Fit { at, level, line, compound, rhythm })
    }

    fn ahead(&self, model: Model, day: Day) -> f64 {
        let days = f64::from(day.0.saturating_sub(self.at.0));
        let trend = match model {
            Model::AsToday => self.level,
            Model::Line => self.level + self.line * days,
            Model::Compound => self.level * (self.compound * days).clamp(-20.0, 20.0).exp(),
        };
        trend.max(0.0) * self.rhythm[day.rhythm()]
    }
}

/// The history as if it had always been at the level after its last bulk load.
fn without_jumps(points: &[Point]) -> Vec<Point> {
    let mut flat = points.to_vec();
    let middle = |points: &[Point]| median(&mut points.iter().map(|p| p.value).collect::<Vec<_>>());
    let steps =
        |points: &[Point]| points.windows(2).map(|w| (w[1].value - w[0].value).abs()).collect::<Vec<_>>();
    let Some(usual) = median(&mut steps(points)).filter(|u| *u > 0.0) else { return flat };
    let mut n = 7;
    while n + 7 <= flat.len() {
        let (before, after) = (&flat[n - 7..n], &flat[n..n + 7]);
        let (Some(b), Some(a)) = (middle(before), middle(after)) else { break };
        // At a jump, and not near one: the day's own change makes most of it, and all days after are beyond all before.
        let own = flat[n].value - flat[n - 1].value;
        let apart = if a > b {
            after.iter().map(|p| p.value).fold(f64::MAX, f64::min)
                > before.iter().map(|p| p.value).fold(0.0, f64::max)
        } else {
            after.iter().map(|p| p.value).fold(0.0, f64::max)
                < before.iter().map(|p| p.value).fold(f64::MAX, f64::min)
        };
        if apart
            && (a - b).abs() > JUMP * usual
            && own * (a - b) > 0.0
            && own.abs() > 0.5 * (a - b).abs()
            && b > 0.0
        {
            // Less by a part of itself: taken off as such, a purge left nothing of what was small then, and a growth from nothing.
            let left = 1.0 + own / flat[n - 1].value;
            let as_if = |v: f64| if own < 0.0 { v * left } else { v + own };
            flat[..n].iter_mut().for_each(|p| p.value = as_if(p.value));
            n += 7;
        } else {
            n += 1;
        }
    }
    flat
}

/// Each part of the month beside the trend around it; one where too little is known of it.
fn rhythm(points: &[Point]) -> [f64; RHYTHMS] {
    let mut parts: [Vec<f64>; RHYTHMS] = Default::default();
    for (n, p) in points.iter().enumerate() {
        // The middle of a month on each side, as far as there is one: over a whole month the rhythm evens out.
        let (from, to) = (
            points[..n].partition_point(|q| q.day.0 + 15 < p.day.0),
            points.partition_point(|q| q.day.0 <= p.day.0 + 15),
        );
        let whole = p.day.0 >= points[0].day.0 + 15 && points[points.len() - 1].day.0 >= p.day.0 + 15;
        let around = median(&mut points[from..to].iter().map(|q| q.value).collect::<Vec<_>>());
        if let Some(around) = around.filter(|a| *a > 0.0 && whole) {
            parts[p.day.rhythm()].push(p.value / around);
        }
    }
    parts.map(|mut of| {
        // Of two months at least; and drawn to one where it is known by few days.
        let (n, m) = (of.len() as f64, median(&mut of).unwrap_or(1.0));
        if n < 4.0 { 1.0 } else { (1.0 + (m - 1.0) * n / (n + 2.0)).clamp(0.2, 5.0) }
    })
}

/// Theil and Sen's: the median of the slopes between all pairs of days that are a week or more apart.
fn slope(points: &[Point], of: impl Fn(f64) -> f64) -> Option<f64> {
    let values: Vec<(f64, f64)> = points.iter().map(|p| (f64::from(p.day.0), of(p.value))).collect();
    let mut slopes = Vec::new();
    for (n, a) in values.iter().enumerate() {
        slopes.extend(values[n + 1..].iter().filter(|b| b.0 - a.0 >= 7.0).map(|b| (b.1 - a.1) / (b.0 - a.0)));
    }
    median(&mut slopes)
}
