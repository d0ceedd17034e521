//! Plots of an experiment's timeline.

use {
    crate::{commands::Error, outcome::Outcome},
    plotters::prelude::{
        BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RED, SVGBackend, WHITE,
    },
    std::path::Path,
};

const SIZE: (u32, u32) = (900, 360);
const INTERVALS_PER_S: f64 = 10.0;

/// Plots the rates of arrived and of successfully answered requests over time, as SVG.
///
/// # Errors
///
/// Returns an error if the plot can't be drawn or the file can't be written.
pub fn draw(outcome: &Outcome, path: &Path) -> Result<(), Error> {
    draw_svg(outcome, path).map_err(|error| Error::Plot(error.to_string()))
}

fn draw_svg(outcome: &Outcome, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = outcome.timeline.len() as f64 / INTERVALS_PER_S;
    let highest = outcome.timeline.iter().map(|counts| counts.0.max(counts.1)).max().unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .caption(&outcome.experiment.name, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..seconds, 0.0..highest as f64 * INTERVALS_PER_S * 1.1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("requests per second").draw()?;
    let series = |count: fn(&(u64, u64)) -> u64| {
        let intervals = outcome.timeline.iter().enumerate();
        intervals.map(move |(interval, counts)| {
            (interval as f64 / INTERVALS_PER_S, count(counts) as f64 * INTERVALS_PER_S)
        })
    };
    let legend = |colour| move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour);
    chart
        .draw_series(LineSeries::new(series(|counts| counts.0), RED))?
        .label("arrived")
        .legend(legend(RED));
    chart
        .draw_series(LineSeries::new(series(|counts| counts.1), BLUE))?
        .label("answered successfully")
        .legend(legend(BLUE));
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
