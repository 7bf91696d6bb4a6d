//! SVG plot of goodput over time.

use std::path::Path;

use plotters::prelude::BLACK;
use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::GREEN;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::RED;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::experiment::counters::STEP_MS;
use crate::experiment::table::ScoreTable;

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Steps that are averaged into one point.
const AVERAGED_STEPS: usize = 5;
/// Colours of the policies, in table order.
const COLOURS: [RGBColor; 3] = [RED, BLUE, GREEN];

/// Plots successful requests per second over time as SVG.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn draw(table: &ScoreTable, path: &Path) -> anyhow::Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let lines: Vec<Vec<(f64, f64)>> = table
        .cards
        .iter()
        .map(|card| averaged(&card.series))
        .collect();
    let points = lines.iter().flatten();
    let highest = points.clone().map(|point| point.1).fold(1.0, f64::max);
    let longest = points.map(|point| point.0).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(&table.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..longest, 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("whole requests/s")
        .draw()?;
    for ((line, card), colour) in lines.into_iter().zip(&table.cards).zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(line, &colour))?
            .label(card.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn averaged(series: &[u32]) -> Vec<(f64, f64)> {
    let step_s = STEP_MS as f64 / 1000.0;
    let point = |(number, steps): (usize, &[u32])| {
        let sum: u32 = steps.iter().sum();
        let time = (number * AVERAGED_STEPS) as f64 * step_s;
        (time, f64::from(sum) / (steps.len() as f64 * step_s))
    };
    series
        .chunks(AVERAGED_STEPS)
        .enumerate()
        .map(point)
        .collect()
}
