//! Pictures of a run, as SVG texts.

use plotters::prelude::*;

use crate::audit::Figures;
use crate::experiment::Experiment;

const SIZE: (u32, u32) = (960, 260);

/// A line of a plot: its word, its colour, its points.
type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

type Drawn = Result<String, String>;

fn told(e: impl std::fmt::Display) -> String {
    format!("a plot: {e}")
}

/// Lines over the seconds of the run, the faults shaded behind them.
fn over_time(experiment: &Experiment, title: &str, least: f64, lines: &[Line<'_>]) -> Drawn {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(told)?;
        let points = lines.iter().flat_map(|l| &l.2);
        let most = points.map(|p| p.1).fold(least, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..experiment.seconds, 0.0..most)
            .map_err(told)?;
        chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw().map_err(told)?;
        let shade = experiment.faults().into_iter().map(|f| {
            // What happens in one stroke is shown by a thin one.
            let to = f.end_s().max(f.at_s + experiment.seconds / 300.0);
            Rectangle::new([(f.at_s, 0.0), (to, most)], RED.mix(0.10).filled())
        });
        chart.draw_series(shade).map_err(told)?;
        for (word, colour, points) in lines {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))
                .map_err(told)?
                .label(*word)
                .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], *colour));
        }
        if lines.len() > 1 {
            chart.configure_series_labels().background_style(WHITE).draw().map_err(told)?;
        }
        area.present().map_err(told)?;
    }
    Ok(svg)
}

/// Every picture of a run.
///
/// # Errors
/// Says what could not be drawn.
pub fn all(experiment: &Experiment, figures: &Figures) -> Result<Vec<String>, String> {
    let points = |of: &dyn Fn(&crate::audit::Second) -> f64| -> Vec<(f64, f64)> {
        figures.seconds.iter().enumerate().map(|(n, s)| (n as f64 + 0.5, of(s))).collect()
    };
    let latencies = [("p50", BLUE, points(&|s| s.p50_ms)), ("p99", MAGENTA, points(&|s| s.p99_ms))];
    let capacity = experiment.world.origin.capacity();
    let fetches = [
        ("fetches", BLUE, points(&|s| s.fetches as f64)),
        ("capacity", RED, vec![(0.0, capacity), (experiment.seconds, capacity)]),
    ];
    Ok(vec![
        over_time(experiment, "service", 1.0, &[("service", BLUE, points(&|s| s.service()))])?,
        over_time(experiment, "latency of fulfilled tries, ms", 1.0, &latencies)?,
        over_time(experiment, "the origin's fetches a second", 1.0, &fetches)?,
        load(figures)?,
    ])
}

/// Answered shots by cache.
fn load(figures: &Figures) -> Drawn {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(told)?;
        let names: Vec<&String> = figures.load.keys().collect();
        let most = figures.load.values().copied().max().unwrap_or(1).max(1) as f64 * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .caption("answered shots by server", ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..names.len().max(1) as f64, 0.0..most)
            .map_err(told)?;
        let name = |x: &f64| {
            let middle = (x.fract() - 0.5).abs() < 1e-6;
            names.get(*x as usize).filter(|_| middle).map_or(String::new(), |n| n.to_string())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(names.len() * 2 + 1)
            .x_label_formatter(&name)
            .draw()
            .map_err(told)?;
        let bars = figures.load.values().enumerate().map(|(n, count)| {
            Rectangle::new([(n as f64 + 0.15, 0.0), (n as f64 + 0.85, *count as f64)], BLUE.mix(0.6).filled())
        });
        chart.draw_series(bars).map_err(told)?;
        area.present().map_err(told)?;
    }
    Ok(svg)
}
