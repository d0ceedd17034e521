//! Draws the timeline of an experiment.

use {
    crate::{commands::Error, outcome::Outcome},
    plotters::prelude::{
        BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RED, SVGBackend, WHITE,
    },
    std::path::Path,
};

const SIZE: (u32, u32) = (900, 360);
const SLOTS_PER_S: f64 = 10.0;

/// Draws requests that arrived and requests that were answered, a second, over time.
///
/// # Errors
///
/// Fails where the file can't be written.
pub fn draw(outcome: &Outcome, path: &Path) -> Result<(), Error> {
    draw_into(outcome, path).map_err(|error| Error::Plot(error.to_string()))
}

fn draw_into(outcome: &Outcome, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = outcome.timeline.len() as f64 / SLOTS_PER_S;
    let highest = outcome.timeline.iter().map(|slot| slot.0.max(slot.1)).max().unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .caption(&outcome.experiment.name, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..seconds, 0.0..highest as f64 * SLOTS_PER_S * 1.1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("requests a second").draw()?;
    let line = |pick: fn(&(u64, u64)) -> u64| {
        let slots = outcome.timeline.iter().enumerate();
        slots.map(move |(slot, counts)| {
            (slot as f64 / SLOTS_PER_S, pick(counts) as f64 * SLOTS_PER_S)
        })
    };
    let legend = |colour| move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour);
    chart
        .draw_series(LineSeries::new(line(|slot| slot.0), RED))?
        .label("arrived")
        .legend(legend(RED));
    chart
        .draw_series(LineSeries::new(line(|slot| slot.1), BLUE))?
        .label("answered whole")
        .legend(legend(BLUE));
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
