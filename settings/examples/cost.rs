//! Measures the time and memory that reading a large settings file takes: `cargo run --release -p ternpick-settings --example cost`.

use std::time::Instant;

use ternpick_settings::Schema;

const SCHEMA: Schema = Schema::new(
    &[("tenants", "#Root: tenants: [string]: {weight: number & >0 | *1, per_second: number & >0 | *1000, roles: [...string] | *[]}")],
    "#Root",
);

fn main() {
    println!("| lines | bytes | best of five, ms | values used | highest memory so far, kB |");
    for lines in [100usize, 1_000, 10_000, 30_000] {
        let mut text = String::from("tenants: {\n");
        for number in 0..lines.saturating_sub(2) / 4 {
            text += &format!(
                "\t\"tenant-{number}\": {{\n\t\tweight: {}\n\t\troles: [\"crew\", \"safety\"]\n\t}}\n",
                1 + number % 7
            );
        }
        text += "}\n";
        let (mut best, mut used) = (f64::MAX, 0);
        for _ in 0..5 {
            let began = Instant::now();
            let read = SCHEMA
                .read::<serde_json::Value>("t.cue", &text)
                .unwrap_or_else(|error| panic!("{error}"));
            (best, used) = (
                best.min(began.elapsed().as_secs_f64() * 1e3),
                read.used.len(),
            );
        }
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let highest = status
            .lines()
            .find(|line| line.starts_with("VmHWM"))
            .map_or("-", |line| line[6..].trim());
        println!(
            "| {} | {} | {best:.1} | {used} | {highest} |",
            text.lines().count(),
            text.len()
        );
    }
}
