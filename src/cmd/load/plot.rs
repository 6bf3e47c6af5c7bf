//! Plots latency by quantile as SVG.

use anyhow::{Context, Result};
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, IntoDrawingArea, IntoLogRange, LineSeries, RED, SVGBackend, WHITE,
};

use super::stats::LoadStats;
use crate::types::Span;

const PLOT_SIZE_PIXELS: (u32, u32) = (900, 480);
const MARGIN_PIXELS: u32 = 16;
const LABEL_PIXELS: u32 = 56;
const TICKS_PER_HALF_DISTANCE: u32 = 8;
/// The end of the x axis: the 99.99% quantile.
const X_AXIS_END: f64 = 10_000.0;
const MICROS_PER_MILLI: f64 = 1_000.0;
const Y_AXIS_HEADROOM: f64 = 1.1;

/// Plots latency in milliseconds against `1 / (1 - quantile)` on a logarithmic axis, which
/// gives the tail as much space as the middle, with a line at the target.
pub(super) fn draw(stats: &LoadStats, target: Span) -> Result<String> {
    let points = points(stats);
    let max_millis = points
        .iter()
        .map(|(_, millis)| *millis)
        .fold(millis(target.0), f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE).context("could not fill the plot")?;
        let mut chart = ChartBuilder::on(&area)
            .margin(MARGIN_PIXELS)
            .x_label_area_size(LABEL_PIXELS)
            .y_label_area_size(LABEL_PIXELS)
            .build_cartesian_2d(
                (1.0..X_AXIS_END).log_scale(),
                0.0..max_millis * Y_AXIS_HEADROOM,
            )
            .context("could not lay out the plot")?;
        chart
            .configure_mesh()
            .x_desc("quantile")
            .y_desc("latency in ms")
            .x_label_formatter(&|inverse| format!("{:.4}", 1.0 - 1.0 / inverse))
            .axis_style(BLACK)
            .draw()
            .context("could not draw the axes")?;
        chart
            .draw_series(LineSeries::new(points, &BLUE))
            .context("could not draw the latency")?;
        let target = [(1.0, millis(target.0)), (X_AXIS_END, millis(target.0))];
        chart
            .draw_series(LineSeries::new(target, &RED))
            .context("could not draw the target")?;
        area.present().context("could not finish the plot")?;
    }
    Ok(svg)
}

fn points(stats: &LoadStats) -> Vec<(f64, f64)> {
    stats
        .latency
        .iter_quantiles(TICKS_PER_HALF_DISTANCE)
        .map(|value| {
            let tail = (1.0 - value.quantile_iterated_to()).max(1.0 / X_AXIS_END);
            (1.0 / tail, millis(value.value_iterated_to()))
        })
        .collect()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a latency in microseconds is below 2^53"
)]
fn millis(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
