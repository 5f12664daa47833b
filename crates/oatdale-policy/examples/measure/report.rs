//! Measurements by condition, policy, metric and seed; printed as a table, written as CSV and SVG.

use plotters::prelude::*;
use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;

/// Value of a metric in the run with one seed.
struct Measurement {
    condition: String,
    policy: String,
    metric: &'static str,
    seed: u64,
    value: f64,
}

/// All measurements of one experiment.
pub(crate) struct Report {
    title: String,
    /// Metric of the plot.
    plotted_metric: &'static str,
    measurements: Vec<Measurement>,
}

/// Mean and range of a metric over all seeds.
#[derive(Clone, Copy)]
struct Spread {
    mean: f64,
    lowest: f64,
    highest: f64,
}

impl Report {
    pub(crate) fn new(title: impl Into<String>, plotted_metric: &'static str) -> Self {
        Report {
            title: title.into(),
            plotted_metric,
            measurements: Vec::new(),
        }
    }

    /// Adds the metrics of the run with one seed.
    pub(crate) fn add(
        &mut self,
        condition: impl Into<String>,
        policy: impl Into<String>,
        seed: u64,
        values: &[(&'static str, f64)],
    ) {
        let (condition, policy) = (condition.into(), policy.into());
        self.measurements
            .extend(values.iter().map(|&(metric, value)| Measurement {
                condition: condition.clone(),
                policy: policy.clone(),
                metric,
                seed,
                value,
            }));
    }

    /// Returns a Markdown table of the mean over the seeds, with the smallest and largest value.
    pub(crate) fn table(&self) -> String {
        let metrics = distinct(self.measurements.iter().map(|m| m.metric));
        let mut text = format!("## {}\n\n| condition | policy |", self.title);
        for metric in &metrics {
            let _ = write!(text, " {metric} |");
        }
        let _ = write!(text, "\n|---|---|{}", "---|".repeat(metrics.len()));
        for (condition, policy) in self.rows() {
            let _ = write!(text, "\n| {condition} | {policy} |");
            for metric in &metrics {
                let cell = self.spread(condition, policy, metric);
                let _ = write!(text, " {} |", cell.map_or(String::new(), format_spread));
            }
        }
        text.push('\n');
        text
    }

    /// Writes `<name>.csv` and `<name>.svg` to the directory `out`.
    pub(crate) fn write(&self, out: &Path, name: &str) -> Result<(), Box<dyn Error>> {
        std::fs::create_dir_all(out)?;
        let mut csv = csv::Writer::from_path(out.join(format!("{name}.csv")))?;
        csv.write_record(["condition", "policy", "metric", "seed", "value"])?;
        for m in &self.measurements {
            let (seed, value) = (m.seed.to_string(), format!("{:.6}", m.value));
            csv.write_record([&m.condition, &m.policy, m.metric, &seed, &value])?;
        }
        csv.flush()?;
        self.plot(&out.join(format!("{name}.svg")))
    }

    /// Draws the mean and range of the plotted metric by condition and policy.
    fn plot(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let conditions = distinct(self.measurements.iter().map(|m| m.condition.as_str()));
        let policies = distinct(self.measurements.iter().map(|m| m.policy.as_str()));
        let highest_value = self
            .measurements
            .iter()
            .filter(|m| m.metric == self.plotted_metric)
            .map(|m| m.value)
            .fold(1e-9, f64::max);
        let area = SVGBackend::new(path, (1200, 500)).into_drawing_area();
        area.fill(&WHITE)?;
        let caption = format!("{}: {}", self.title, self.plotted_metric);
        let width = conditions.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..width, 0.0..highest_value * 1.05)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(conditions.len() * 2 + 1)
            .x_label_formatter(&|x| condition_label(&conditions, *x))
            .draw()?;
        for (series, policy) in policies.iter().enumerate() {
            let colour = Palette99::pick(series).to_rgba();
            let offset = (series as f64 + 1.0) / (policies.len() as f64 + 1.0);
            let points: Vec<(f64, Spread)> = conditions
                .iter()
                .enumerate()
                .filter_map(|(x, condition)| {
                    let spread = self.spread(condition, policy, self.plotted_metric)?;
                    Some((x as f64 + offset, spread))
                })
                .collect();
            chart.draw_series(points.iter().map(|&(x, s)| {
                PathElement::new([(x, s.lowest), (x, s.highest)], colour.stroke_width(2))
            }))?;
            chart
                .draw_series(
                    points
                        .iter()
                        .map(|&(x, s)| Circle::new((x, s.mean), 4, colour.filled())),
                )?
                .label(*policy)
                .legend(move |(x, y)| Circle::new((x + 10, y), 4, colour.filled()));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    fn rows(&self) -> Vec<(&str, &str)> {
        distinct(
            self.measurements
                .iter()
                .map(|m| (m.condition.as_str(), m.policy.as_str())),
        )
    }

    fn spread(&self, condition: &str, policy: &str, metric: &str) -> Option<Spread> {
        let values: Vec<f64> = self
            .measurements
            .iter()
            .filter(|m| m.condition == condition && m.policy == policy && m.metric == metric)
            .map(|m| m.value)
            .collect();
        let n = values.len() as f64;
        (!values.is_empty()).then(|| Spread {
            mean: values.iter().sum::<f64>() / n,
            lowest: values.iter().copied().fold(f64::MAX, f64::min),
            highest: values.iter().copied().fold(f64::MIN, f64::max),
        })
    }
}

/// Returns the value below which this fraction of the values lies, or 0 for no values. Sorts the
/// values.
pub(crate) fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let rank = (values.len() as f64 * fraction) as usize;
    values
        .get(rank.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

/// Returns the label of a tick on the horizontal axis: the condition's name at the middle of its
/// interval, and nothing at other ticks.
fn condition_label(conditions: &[&str], x: f64) -> String {
    let is_middle = (x.fract() - 0.5).abs() < 1e-6;
    let condition = conditions.get(x as usize).filter(|_| is_middle);
    condition.map_or(String::new(), |c| (*c).to_owned())
}

fn format_spread(s: Spread) -> String {
    format!(
        "{} ({}–{})",
        format_number(s.mean),
        format_number(s.lowest),
        format_number(s.highest)
    )
}

fn format_number(x: f64) -> String {
    match x.abs() {
        x if x >= 100.0 || x == 0.0 => format!("{x:.0}"),
        x if x >= 10.0 => format!("{x:.1}"),
        _ => format!("{x:.3}"),
    }
}

/// Returns the distinct items in the order of their first occurrence.
fn distinct<T: PartialEq>(items: impl Iterator<Item = T>) -> Vec<T> {
    let mut seen = Vec::new();
    for item in items {
        if !seen.contains(&item) {
            seen.push(item);
        }
    }
    seen
}
