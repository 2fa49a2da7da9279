//! Draws the plots of a run as SVG documents.

use plotters::chart::ChartBuilder;
use plotters::drawing::{DrawingAreaErrorKind, IntoDrawingArea};
use plotters::element::{PathElement, Rectangle};
use plotters::prelude::{BLUE, Color, LineSeries, MAGENTA, RED, RGBColor, SVGBackend, WHITE};

use crate::audit::{Figures, Second};
use crate::experiment::Experiment;

/// Why a plot can't be drawn.
pub type PlotError = DrawingAreaErrorKind<std::io::Error>;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (960, 260);
const MARGIN: u32 = 8;
const X_LABELS_HEIGHT: u32 = 28;
const Y_LABELS_WIDTH: u32 = 48;
const CAPTION_FONT: (&str, i32) = ("sans-serif", 16);
const LINE_WIDTH: u32 = 2;
const LEGEND_LINE_LENGTH: i32 = 16;
/// The top of the y axis, as a multiple of the greatest value.
const HEADROOM: f64 = 1.05;
/// The smallest width at which a fault is drawn, as a share of the run's duration.
const MIN_FAULT_WIDTH: f64 = 1.0 / 300.0;
/// Where a bar begins and ends within its unit of the x axis.
const BAR_BEGIN: f64 = 0.15;
const BAR_END: f64 = 0.85;

/// A line of a plot, with its points in the units of the axes.
struct Line {
    label: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// All plots of a run, as SVG documents.
///
/// # Errors
/// The drawing library failed to draw a plot.
pub(super) fn all(experiment: &Experiment, figures: &Figures) -> Result<Vec<String>, PlotError> {
    let line = |label, colour, value: fn(&Second) -> f64| {
        // The figure of a second is drawn at the middle of the second.
        let seconds = figures.seconds.iter().enumerate();
        let points = seconds.map(|(n, second)| (n as f64 + 0.5, value(second))).collect();
        Line { label, colour, points }
    };
    let capacity = experiment.environment.origin.capacity();
    let capacity_points = vec![(0.0, capacity), (experiment.seconds, capacity)];
    let service = [line("service", BLUE, Second::service)];
    let latencies = [line("p50", BLUE, |second| second.p50_ms), line("p99", MAGENTA, |second| second.p99_ms)];
    let fetches = [
        line("fetches", BLUE, |second| second.fetches as f64),
        Line { label: "capacity", colour: RED, points: capacity_points },
    ];
    Ok(vec![
        plot_over_time(experiment, "service", &service)?,
        plot_over_time(experiment, "latency of fulfilled attempts, ms", &latencies)?,
        plot_over_time(experiment, "fetches from the origin per second", &fetches)?,
        plot_load(figures)?,
    ])
}

/// Plots lines over the seconds of the run, with the faults shaded behind the lines. The y axis reaches at
/// least to 1.
fn plot_over_time(experiment: &Experiment, title: &str, lines: &[Line]) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let values = lines.iter().flat_map(|line| &line.points).map(|point| point.1);
        let top = values.fold(1.0, f64::max) * HEADROOM;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, CAPTION_FONT)
            .margin(MARGIN)
            .x_label_area_size(X_LABELS_HEIGHT)
            .y_label_area_size(Y_LABELS_WIDTH)
            .build_cartesian_2d(0.0..experiment.seconds, 0.0..top)?;
        chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw()?;
        chart.draw_series(experiment.faults().into_iter().map(|fault| {
            let end = fault.end_s().max(fault.at_s + experiment.seconds * MIN_FAULT_WIDTH);
            Rectangle::new([(fault.at_s, 0.0), (end, top)], RED.mix(0.10).filled())
        }))?;
        for line in lines {
            let colour = line.colour;
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(LINE_WIDTH)))?
                .label(line.label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_LENGTH, y)], colour));
        }
        if lines.len() > 1 {
            chart.configure_series_labels().background_style(WHITE).draw()?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Plots the number of answered attempts by server as bars.
fn plot_load(figures: &Figures) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let names: Vec<&String> = figures.load.keys().collect();
        let top = figures.load.values().copied().max().unwrap_or(1).max(1) as f64 * HEADROOM;
        let mut chart = ChartBuilder::on(&area)
            .caption("answered attempts by server", CAPTION_FONT)
            .margin(MARGIN)
            .x_label_area_size(X_LABELS_HEIGHT)
            .y_label_area_size(Y_LABELS_WIDTH)
            .build_cartesian_2d(0.0..names.len().max(1) as f64, 0.0..top)?;
        // The axis has labels at whole and half units: a server's name is shown at the middle of its bar
        // only.
        let label = |x: &f64| {
            let is_middle = (x.fract() - 0.5).abs() < 1e-6;
            match names.get(*x as usize) {
                Some(name) if is_middle => name.to_string(),
                _ => String::new(),
            }
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(names.len() * 2 + 1)
            .x_label_formatter(&label)
            .draw()?;
        chart.draw_series(figures.load.values().enumerate().map(|(n, count)| {
            let left = n as f64 + BAR_BEGIN;
            let right = n as f64 + BAR_END;
            Rectangle::new([(left, 0.0), (right, *count as f64)], BLUE.mix(0.6).filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}
