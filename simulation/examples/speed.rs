//! How many events a second one core plays, and what a fleet takes of memory: `cargo run --release --example speed`.
//! A first word takes the place of the policy, a second that of the nodes, a third that of the routers.

use std::time::Instant;

use ternpick_simulation::plan::{Plan, Who};
use ternpick_simulation::sim::Sim;

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
    line.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let policy = words
        .first()
        .and_then(|word| word.parse().ok())
        .unwrap_or(Who::Random);
    let number = |at: usize, otherwise: u64| {
        words
            .get(at)
            .and_then(|word| word.parse().ok())
            .unwrap_or(otherwise)
    };
    let (nodes, routers, rate) = (number(1, 12), number(2, 4), number(3, 600));
    let seconds = number(4, 30);
    let a_cell = if nodes > 8192 { 3 } else { 2 };
    let text = format!(
        "name: \"speed\"\nworlds: [{{name: \"speed\", seconds: {seconds}, settle: 0, routers: {routers}, shards: {nodes}, \
         clients: rate: {rate}, nodes: {{cells: {}, a_cell: {}}}, indexes: [{{name: \"one\", parts: [1, 4], work: mean: 20ms}}]}}]",
        (nodes / a_cell).clamp(1, 4096),
        a_cell
    );
    let plan = Plan::parse("speed", &text).unwrap_or_else(|bad| panic!("{bad}"));
    let began = Instant::now();
    let day = Sim::play(&plan.worlds[0], policy, 1, 1.0);
    let took = began.elapsed().as_secs_f64();
    println!(
        "| {policy} | {nodes} | {routers} | {rate} | {} | {took:.2} s | {:.2} M | {:.1} us | {:.1} MB | {:.3} |",
        day.events,
        day.events as f64 / took / 1e6,
        took * 1e6 / day.figures.lookups.max(1) as f64,
        resident_kib() as f64 / 1024.0,
        day.service
    );
}
