//! What a plan came to, for people and for scripts: tables as text, CSV and JSON, charts as SVG, and one page that needs
//! no network.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::*;
use resvg::{tiny_skia, usvg};

use crate::compare::{interval, Interval};
use crate::plan::{Plan, Who, World};
use crate::sim::Day;

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("the chart '{0}' could not be drawn: {1}")]
    Chart(String, String),
    #[error("the table could not be written: {0}")]
    Table(#[from] csv::Error),
    #[error("{0}")]
    Kept(#[from] ternpick_store::StoreError),
}

const SIZE: (u32, u32) = (940, 380);
/// The part of the width that names the lines.
const LEGEND: u32 = 150;
const COLOURS: [RGBColor; 7] = [
    RGBColor(20, 90, 160),
    RGBColor(200, 80, 40),
    RGBColor(60, 140, 70),
    RGBColor(130, 80, 160),
    RGBColor(160, 120, 30),
    RGBColor(90, 90, 90),
    RGBColor(200, 60, 120),
];

/// The days of one world, load and policy, over their seeds.
struct Group<'a> {
    world: &'a str,
    load: f64,
    policy: Who,
    days: Vec<&'a Day>,
}

fn groups(days: &[Day]) -> Vec<Group<'_>> {
    let mut groups: Vec<Group> = Vec::new();
    for day in days {
        let same = |of: &&mut Group| {
            of.world == day.world && of.load == day.load && of.policy == day.policy
        };
        match groups.iter_mut().find(same) {
            Some(group) => group.days.push(day),
            None => {
                groups.push(Group {
                    world: &day.world,
                    load: day.load,
                    policy: day.policy,
                    days: vec![day],
                });
            }
        }
    }
    groups
}

impl Group<'_> {
    fn mean(&self, of: impl Fn(&Day) -> f64) -> f64 {
        self.days.iter().map(|day| of(day)).sum::<f64>() / self.days.len() as f64
    }

    fn service(&self) -> Interval {
        let of: Vec<f64> = self.days.iter().map(|day| day.service).collect();
        let mean = self.mean(|day| day.service);
        interval(&of).unwrap_or(Interval {
            mean,
            low: mean,
            high: mean,
            count: of.len(),
        })
    }

    /// Days on which service came back after the last trouble, of those that had one, and the mean seconds it took.
    fn back(&self) -> (usize, usize, f64) {
        let troubled: Vec<&&Day> = self.days.iter().filter(|day| day.troubled).collect();
        let back: Vec<f64> = troubled.iter().filter_map(|day| day.back_after).collect();
        (
            back.len(),
            troubled.len(),
            back.iter().sum::<f64>() / back.len().max(1) as f64,
        )
    }

    fn broken(&self) -> u64 {
        self.days.iter().map(|day| day.breach_count).sum()
    }
}

const HEADS: [&str; 15] = [
    "world",
    "load",
    "policy",
    "days",
    "service",
    "low",
    "high",
    "p50 ms",
    "p99 ms",
    "lost",
    "refused",
    "calls a lookup",
    "imbalance",
    "back (s)",
    "rules broken",
];

fn cells(of: &Group) -> Vec<String> {
    let service = of.service();
    let (back, troubled, after) = of.back();
    let back = match (troubled, back) {
        (0, _) => "-".into(),
        (_, 0) => format!("never in {troubled}"),
        (_, back) => format!("{after:.1} in {back} of {troubled}"),
    };
    let share = |count: fn(&Day) -> u64| {
        of.mean(|day| count(day) as f64 / day.figures.lookups.max(1) as f64)
    };
    vec![
        of.world.to_owned(),
        format!("{:.2}", of.load),
        of.policy.to_string(),
        of.days.len().to_string(),
        format!("{:.3}", service.mean),
        format!("{:.3}", service.low),
        format!("{:.3}", service.high),
        format!("{:.1}", of.mean(|day| day.figures.p50_ms)),
        format!("{:.1}", of.mean(|day| day.figures.p99_ms)),
        format!("{:.4}", share(|day| day.figures.lost)),
        format!("{:.4}", share(|day| day.figures.refused)),
        format!("{:.2}", of.mean(|day| day.figures.calls_a_lookup)),
        format!("{:.2}", of.mean(|day| day.figures.imbalance)),
        back,
        of.broken().to_string(),
    ]
}

/// The table for a terminal, or for a page of docs.
pub fn table(days: &[Day]) -> String {
    let rows: Vec<Vec<String>> = groups(days).iter().map(cells).collect();
    text_table(&HEADS, &rows)
}

/// Rows under heads, in columns that also a page of docs can show.
pub fn text_table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let width = |at: usize| {
        rows.iter()
            .map(|row| row[at].len())
            .chain([heads[at].len()])
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells: Vec<String> = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        format!("| {} |\n", cells.join(" | "))
    };
    let mut text = line(&mut heads.iter().copied());
    let dashes: Vec<String> = widths
        .iter()
        .map(|width| "-".repeat((*width).max(3)))
        .collect();
    text += &line(&mut dashes.iter().map(String::as_str));
    for row in rows {
        text += &line(&mut row.iter().map(String::as_str));
    }
    text
}

pub fn csv(days: &[Day]) -> Result<Vec<u8>, Failed> {
    let mut to = csv::Writer::from_writer(Vec::new());
    to.write_record(HEADS)?;
    for group in groups(days) {
        to.write_record(cells(&group))?;
    }
    to.into_inner()
        .map_err(|error| Failed::Table(csv::Error::from(error.into_error())))
}

/// A figure of a day.
type Of = fn(&Day) -> f64;

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
    /// Low and high of each point, where there are days enough.
    bars: Vec<(f64, f64, f64)>,
}

struct Chart<'a> {
    title: String,
    across: &'a str,
    up: &'a str,
    lines: Vec<Line>,
    /// Spans that are shaded, and their words.
    marks: Vec<(f64, f64, String)>,
    most: Option<f64>,
}

impl Chart<'_> {
    fn svg(&self) -> Result<String, Failed> {
        let mut text = String::new();
        let failed = |what: String| Failed::Chart(self.title.clone(), what);
        {
            let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
            self.draw(&area)
                .map_err(|error| failed(error.to_string()))?;
            area.present().map_err(|error| failed(error.to_string()))?;
        }
        Ok(text)
    }

    fn draw(
        &self,
        area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    ) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'_> as DrawingBackend>::ErrorType>> {
        let points = || self.lines.iter().flat_map(|line| &line.points);
        let (left, right) = points().fold((f64::MAX, f64::MIN), |(low, high), (x, _)| {
            (low.min(*x), high.max(*x))
        });
        let top = self
            .most
            .unwrap_or_else(|| points().map(|(_, y)| *y).fold(0.0, f64::max) * 1.1);
        let (left, right) = if left < right {
            (left, right)
        } else {
            (left - 1.0, left + 1.0)
        };
        area.fill(&WHITE)?;
        let (main, side) = area.split_horizontally(SIZE.0 - LEGEND);
        let mut chart = ChartBuilder::on(&main)
            .caption(&self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(38)
            .y_label_area_size(52)
            .build_cartesian_2d(left..right, 0.0..top.max(1e-6))?;
        for (from, to, _) in &self.marks {
            let to = if to > from {
                *to
            } else {
                from + (right - left) / 200.0
            };
            chart.draw_series(std::iter::once(Rectangle::new(
                [(*from, 0.0), (to.min(right), top)],
                RGBColor(250, 225, 200).filled(),
            )))?;
        }
        chart
            .configure_mesh()
            .max_light_lines(0)
            .bold_line_style(RGBColor(225, 225, 225))
            .x_desc(self.across)
            .y_desc(self.up)
            .draw()?;
        for (at, line) in self.lines.iter().enumerate() {
            let colour = COLOURS[at % COLOURS.len()];
            chart.draw_series(LineSeries::new(
                line.points.iter().copied(),
                colour.stroke_width(2),
            ))?;
            // Beside the chart, where it hides nothing.
            let down = 50 + 20 * at as i32;
            side.draw(&PathElement::new(
                vec![(4, down), (22, down)],
                colour.stroke_width(2),
            ))?;
            side.draw(&Text::new(
                line.name.clone(),
                (28, down - 7),
                ("sans-serif", 13).into_font(),
            ))?;
            chart.draw_series(line.bars.iter().map(|(x, low, high)| {
                PathElement::new(
                    vec![(*x, low.max(0.0)), (*x, high.min(top))],
                    colour.stroke_width(1),
                )
            }))?;
            if line.points.len() < 30 {
                chart.draw_series(
                    line.points
                        .iter()
                        .map(|point| Circle::new(*point, 3, colour.filled())),
                )?;
            }
        }
        for (at, (from, _, word)) in self.marks.iter().enumerate() {
            let style = ("sans-serif", 12).into_font().color(&RGBColor(150, 90, 30));
            let height = top * (0.04 + 0.05 * (at % 4) as f64);
            chart.draw_series(std::iter::once(Text::new(
                word.clone(),
                (*from, height),
                style,
            )))?;
        }
        Ok(())
    }
}

fn marks(world: &World) -> Vec<(f64, f64, String)> {
    let seconds = |micros: u64| micros as f64 / 1e6;
    world
        .troubles
        .iter()
        .map(|of| (seconds(of.at), seconds(of.end()), of.kind.to_string()))
        .collect()
}

/// What a lookup costs the fleet beside its parts' work, against the number of nodes, where worlds differ in that.
fn by_size(plan: &Plan, groups: &[Group]) -> Option<Chart<'static>> {
    let first = plan.loads.first().copied().unwrap_or(1.0);
    let mut sizes: Vec<(&str, usize)> = plan
        .worlds
        .iter()
        .map(|world| (world.name.as_str(), world.node_count()))
        .collect();
    sizes.sort_by_key(|(_, nodes)| *nodes);
    if sizes.first()?.1 == sizes.last()?.1 {
        return None;
    }
    let line = |policy: &Who| {
        let points = sizes.iter().filter_map(|(world, nodes)| {
            let same = |of: &&Group| of.world == *world && of.policy == *policy && of.load == first;
            let extra = groups.iter().find(same)?.mean(|day| {
                let of = &day.figures;
                of.calls_a_lookup * of.further_calls + of.dials_a_lookup
            });
            Some(((*nodes as f64).log10(), extra))
        });
        Line {
            name: policy.to_string(),
            points: points.collect(),
            bars: Vec::new(),
        }
    };
    Some(Chart {
        title: format!(
            "new connections and further calls a lookup against fleet size, load {first}"
        ),
        across: "nodes (1: ten, 2: a hundred, 3: a thousand)",
        up: "a lookup",
        lines: plan.policies.iter().map(line).collect(),
        marks: Vec::new(),
        most: None,
    })
}

/// Charts by file name.
pub fn charts(plan: &Plan, days: &[Day]) -> Result<BTreeMap<String, String>, Failed> {
    let (mut charts, groups) = (BTreeMap::new(), groups(days));
    for world in &plan.worlds {
        let of: Vec<&Group> = groups
            .iter()
            .filter(|group| group.world == world.name)
            .collect();
        for load in &plan.loads {
            let lines = of.iter().filter(|group| group.load == *load).map(|group| {
                let seconds = group
                    .days
                    .iter()
                    .map(|day| day.by_second.len())
                    .min()
                    .unwrap_or(0);
                let points =
                    (0..seconds).map(|at| (at as f64, group.mean(|day| day.by_second[at])));
                Line {
                    name: group.policy.to_string(),
                    points: points.collect(),
                    bars: Vec::new(),
                }
            });
            let chart = Chart {
                title: format!("{}: service by second, load {load}", world.name),
                across: "seconds",
                up: "share of gain",
                lines: lines.collect(),
                marks: marks(world),
                most: Some(1.05),
            };
            charts.insert(format!("{}-{load}-service.svg", world.name), chart.svg()?);
        }
        let policies = || plan.policies.iter();
        let by_load = |policy: Who, of_group: &dyn Fn(&Group) -> (f64, f64, f64)| {
            let mine: Vec<&&Group> = of.iter().filter(|group| group.policy == policy).collect();
            let points = mine
                .iter()
                .map(|group| (group.load, of_group(group).0))
                .collect();
            let bars = mine.iter().map(|group| {
                let (_, low, high) = of_group(group);
                (group.load, low, high)
            });
            Line {
                name: policy.to_string(),
                points,
                bars: bars.collect(),
            }
        };
        if plan.loads.len() > 1 {
            let service = |group: &Group| {
                let of = group.service();
                (of.mean, of.low, of.high)
            };
            let chart = Chart {
                title: format!("{}: gain against load", world.name),
                across: "times the world's own rate",
                up: "share of gain",
                lines: policies()
                    .map(|policy| by_load(*policy, &service))
                    .collect(),
                marks: Vec::new(),
                most: Some(1.05),
            };
            charts.insert(format!("{}-gain.svg", world.name), chart.svg()?);
        }
        let quantiles: [(f64, Of); 3] = [
            (50.0, |day| day.figures.p50_ms),
            (99.0, |day| day.figures.p99_ms),
            (99.9, |day| day.figures.p999_ms),
        ];
        let first = plan.loads.first().copied().unwrap_or(1.0);
        let lines = of.iter().filter(|group| group.load == first).map(|group| {
            // Drawn by nines, so that the tail has its room.
            let points = quantiles
                .iter()
                .map(|(q, of)| (-(1.0 - q / 100.0).log10(), group.mean(of)));
            Line {
                name: group.policy.to_string(),
                points: points.collect(),
                bars: Vec::new(),
            }
        });
        let chart = Chart {
            title: format!("{}: time to the answer, load {first}", world.name),
            across: "nines (0.3: median, 2: 99%, 3: 99.9%)",
            up: "ms",
            lines: lines.collect(),
            marks: Vec::new(),
            most: None,
        };
        charts.insert(format!("{}-latency.svg", world.name), chart.svg()?);
        let lines = of.iter().filter(|group| group.load == first).map(|group| {
            let ranks = group
                .days
                .iter()
                .map(|day| day.figures.by_rank.len())
                .min()
                .unwrap_or(0);
            let share = |at: usize| 100.0 * at as f64 / (ranks - 1).max(1) as f64;
            let points =
                (0..ranks).map(|at| (share(at), group.mean(|day| day.figures.by_rank[at])));
            Line {
                name: group.policy.to_string(),
                points: points.collect(),
                bars: Vec::new(),
            }
        });
        let chart = Chart {
            title: format!("{}: load by node, load {first}", world.name),
            across: "% of the nodes, the least busy first",
            up: "share of time worked",
            lines: lines.collect(),
            marks: Vec::new(),
            most: None,
        };
        charts.insert(format!("{}-nodes.svg", world.name), chart.svg()?);
    }
    if let Some(chart) = by_size(plan, &groups) {
        charts.insert("size-cost.svg".into(), chart.svg()?);
    }
    Ok(charts)
}

fn page(plan: &Plan, days: &[Day], charts: &BTreeMap<String, String>) -> String {
    let escape = |text: &str| text.replace('&', "&amp;").replace('<', "&lt;");
    let mut html = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:15px sans-serif;\
         margin:2em auto;max-width:1200px}}table{{border-collapse:collapse;font-size:13px}}td,th{{border:1px solid #ccc;\
         padding:2px 7px;text-align:right}}td:first-child,td:nth-child(3){{text-align:left}}svg{{max-width:100%;height:auto}}\
         </style><h1>{0}</h1><p>Simulated. {1} days; intervals of 95%. Shaded: while a trouble lasts.</p><table><tr>",
        escape(&plan.name),
        days.len()
    );
    for head in HEADS {
        let _ = write!(html, "<th>{head}</th>");
    }
    for group in groups(days) {
        html += "</tr><tr>";
        for cell in cells(&group) {
            let _ = write!(html, "<td>{}</td>", escape(&cell));
        }
    }
    html += "</tr></table>";
    for svg in charts.values() {
        html += svg;
    }
    html + "</html>\n"
}

/// A chart as a picture of dots, twice its size. Letters are those of a font that comes along.
pub fn png(name: &str, svg: &str) -> Result<Vec<u8>, Failed> {
    let failed = |what: String| Failed::Chart(name.to_owned(), what);
    let mut options = usvg::Options::default();
    options
        .fontdb_mut()
        .load_font_data(dejavu::sans::regular().to_vec());
    options.fontdb_mut().set_sans_serif_family("DejaVu Sans");
    let tree = usvg::Tree::from_str(svg, &options).map_err(|error| failed(error.to_string()))?;
    let (width, height) = (tree.size().width() as u32, tree.size().height() as u32);
    let mut dots =
        tiny_skia::Pixmap::new(2 * width, 2 * height).ok_or_else(|| failed("too large".into()))?;
    resvg::render(
        &tree,
        tiny_skia::Transform::from_scale(2.0, 2.0),
        &mut dots.as_mut(),
    );
    dots.encode_png().map_err(|error| failed(error.to_string()))
}

/// Writes table, CSV, charts and page into a folder; the charts as PNG too where that is wanted.
pub fn write(plan: &Plan, days: &[Day], out: &Path, as_png: bool) -> Result<Vec<String>, Failed> {
    let charts = charts(plan, days)?;
    let mut files = vec![
        ("table.txt".to_owned(), table(days).into_bytes()),
        ("table.csv".to_owned(), csv(days)?),
        (
            "report.html".to_owned(),
            page(plan, days, &charts).into_bytes(),
        ),
    ];
    for (name, svg) in charts.iter().filter(|_| as_png) {
        files.push((name.replace(".svg", ".png"), png(name, svg)?));
    }
    files.extend(
        charts
            .into_iter()
            .map(|(name, svg)| (name, svg.into_bytes())),
    );
    for (name, bytes) in &files {
        ternpick_store::replace_file(&out.join(name), bytes)?;
    }
    Ok(files.into_iter().map(|(name, _)| name).collect())
}
