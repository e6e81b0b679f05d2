//! A work's timeline from its history: which machine was under a permit when, the fewest holders of any set that were not,
//! and how many lookups got no answer.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::path::Path;

use plotters::prelude::*;
use ternpick_history::{Event, EventKind};

/// Lookups without an answer are counted by this; seconds.
const BIN: f64 = 0.25;

/// What the chart shows; times in seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    /// Machines in the order in which they first went, with from when until when.
    pub machines: Vec<(String, Vec<(f64, f64)>)>,
    /// The fewest holders of any set that were not under a permit, from each time on.
    pub fewest: Vec<(f64, usize)>,
    pub keeps: usize,
    /// Lookups that were refused, failed, or had no answer, by bins.
    pub unserved: BTreeMap<usize, u64>,
    /// Processes that ended.
    pub ends: Vec<f64>,
    pub until: f64,
}

impl Timeline {
    pub fn read(lines: impl BufRead) -> std::io::Result<Timeline> {
        let mut of = Timeline::default();
        let (mut sets, mut held) = (Vec::<Vec<String>>::new(), BTreeMap::<String, f64>::new());
        for line in lines.lines() {
            let event: Event = serde_json::from_str(&line?).map_err(std::io::Error::other)?;
            let at = event.at as f64 / 1e6;
            of.until = at;
            let fewest = |held: &BTreeMap<String, f64>| {
                sets.iter()
                    .map(|set| set.iter().filter(|name| !held.contains_key(*name)).count())
                    .min()
                    .unwrap_or(0)
            };
            match event.kind {
                EventKind::Begins { holders, keeps, .. } => {
                    (sets, of.keeps) = (holders, keeps);
                    of.fewest
                        .push((at, sets.iter().map(Vec::len).min().unwrap_or(0)));
                }
                EventKind::Permitted { machine, .. } => {
                    held.insert(machine, at);
                    of.fewest.push((at, fewest(&held)));
                }
                EventKind::Returned { machine, .. } => {
                    let began = held.remove(&machine).unwrap_or(at);
                    of.fewest.push((at, fewest(&held)));
                    match of.machines.iter_mut().find(|(name, _)| *name == machine) {
                        Some((_, spans)) => spans.push((began, at)),
                        None => of.machines.push((machine, vec![(began, at)])),
                    }
                }
                EventKind::Answered { status, .. } if status != 200 => {
                    *of.unserved.entry((at / BIN) as usize).or_default() += 1;
                }
                EventKind::Unanswered { .. } => {
                    *of.unserved.entry((at / BIN) as usize).or_default() += 1
                }
                EventKind::Ended { .. } => of.ends.push(at),
                _ => {}
            }
        }
        // What was never given back lasts to the end.
        for (machine, began) in held {
            of.machines.push((machine, vec![(began, of.until)]));
        }
        Ok(of)
    }

    pub fn svg(&self) -> Result<String, Box<dyn std::error::Error>> {
        let mut text = String::new();
        let rows = self.machines.len().max(1);
        {
            let (width, top) = (900, 60 + 16 * rows as u32);
            let root = SVGBackend::with_string(&mut text, (width, top + 280)).into_drawing_area();
            root.fill(&WHITE)?;
            let (works, rest) = root.split_vertically(top);
            let (holders, unserved) = rest.split_vertically(140);
            let mut chart = ChartBuilder::on(&works)
                .caption("machines under a permit", ("sans-serif", 15))
                .margin(6)
                .x_label_area_size(18)
                .y_label_area_size(60)
                .build_cartesian_2d(0.0..self.until, -0.5..rows as f64 - 0.5)?;
            let name = |at: &f64| {
                let row = (rows as f64 - 1.0 - at).round();
                let whole = (at - at.round()).abs() < 0.01;
                let row = (row >= 0.0 && whole).then_some(row as usize);
                row.and_then(|row| self.machines.get(row))
                    .map_or(String::new(), |(name, _)| name.clone())
            };
            chart
                .configure_mesh()
                .disable_mesh()
                .y_labels(rows * 2)
                .y_label_formatter(&name)
                .draw()?;
            for (row, (_, spans)) in self.machines.iter().enumerate() {
                let low = (rows - row - 1) as f64;
                chart.draw_series(spans.iter().map(|(from, to)| {
                    Rectangle::new(
                        [(*from, low - 0.35), (*to, low + 0.35)],
                        BLUE.mix(0.6).filled(),
                    )
                }))?;
            }
            chart.draw_series(self.ends.iter().map(|at| {
                PathElement::new([(*at, -0.5), (*at, rows as f64 - 0.5)], RED.mix(0.6))
            }))?;
            let most = self
                .fewest
                .iter()
                .map(|(_, count)| *count)
                .max()
                .unwrap_or(1) as f64
                + 0.5;
            let mut chart = ChartBuilder::on(&holders)
                .caption(
                    "fewest holders of any set that are not under a permit; red: what is kept",
                    ("sans-serif", 13),
                )
                .margin(6)
                .x_label_area_size(18)
                .y_label_area_size(60)
                .build_cartesian_2d(0.0..self.until, 0.0..most)?;
            chart.configure_mesh().disable_mesh().y_labels(4).draw()?;
            let mut steps = Vec::new();
            for (at, count) in &self.fewest {
                if let Some((_, before)) = steps.last().copied() {
                    steps.push((*at, before));
                }
                steps.push((*at, *count as f64));
            }
            steps.extend(steps.last().map(|(_, count)| (self.until, *count)));
            chart.draw_series(LineSeries::new(steps, &BLUE))?;
            let keeps = self.keeps as f64;
            chart.draw_series(LineSeries::new([(0.0, keeps), (self.until, keeps)], &RED))?;
            let most = self.unserved.values().max().copied().unwrap_or(1) as f64 * 1.1;
            let mut chart = ChartBuilder::on(&unserved)
                .caption(
                    "lookups refused, failed or without an answer, in a quarter of a second; seconds below",
                    ("sans-serif", 13),
                )
                .margin(6)
                .x_label_area_size(18)
                .y_label_area_size(60)
                .build_cartesian_2d(0.0..self.until, 0.0..most)?;
            chart.configure_mesh().disable_mesh().y_labels(4).draw()?;
            chart.draw_series(self.unserved.iter().map(|(bin, count)| {
                let from = *bin as f64 * BIN;
                Rectangle::new(
                    [(from, 0.0), (from + BIN, *count as f64)],
                    BLACK.mix(0.5).filled(),
                )
            }))?;
            root.present()?;
        }
        Ok(text)
    }
}

/// Reads a history and writes its chart: as SVG, or as PNG where the name says so.
pub fn write(history: &Path, to: &Path) -> Result<Timeline, Box<dyn std::error::Error>> {
    let of = Timeline::read(std::io::BufReader::new(std::fs::File::open(history)?))?;
    let svg = of.svg()?;
    match to.extension().is_some_and(|of| of == "png") {
        true => std::fs::write(to, crate::report::png("timeline", &svg)?)?,
        false => std::fs::write(to, svg)?,
    }
    Ok(of)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_timeline_shows_permits_holders_and_what_was_not_served() {
        let lines = r#"{"at":0,"what":"begins","seen":{},"holders":[["a","b","c"],["d","e"]],"keeps":1}
{"at":1000000,"what":"permitted","machine":"a","permit":3,"by":"x"}
{"at":1500000,"what":"permitted","machine":"d","permit":4,"by":"x"}
{"at":1600000,"what":"answered","lookup":"l","status":503,"version":null,"parts":0,"of":1,"whole":false,"least":1.0}
{"at":2000000,"what":"returned","machine":"a","permit":3}
{"at":4000000,"what":"ended","router":"n0"}
"#;
        let of = Timeline::read(lines.as_bytes()).expect("read");
        assert_eq!(
            of.machines,
            [
                ("a".to_owned(), vec![(1.0, 2.0)]),
                ("d".to_owned(), vec![(1.5, 4.0)])
            ]
        );
        assert_eq!(of.fewest, [(0.0, 2), (1.0, 2), (1.5, 1), (2.0, 1)]);
        assert_eq!(
            (of.unserved.get(&6), of.ends.clone()),
            (Some(&1), vec![4.0])
        );
        let svg = of.svg().expect("a chart");
        assert!(svg.contains("<svg") && svg.contains("under a permit"));
    }
}
