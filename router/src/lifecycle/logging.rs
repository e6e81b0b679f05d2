//! The log, structured: text for people or JSON for machines, on standard error. `RUST_LOG` goes before the settings.

use std::io::IsTerminal;

use tracing_subscriber::fmt::time::SystemTime;
use tracing_subscriber::EnvFilter;

use crate::lifecycle::settings::Log;

pub fn start(of: &Log) {
    let filter = EnvFilter::try_from_default_env()
        .or_else(|_| EnvFilter::try_new(&of.level))
        .unwrap_or_else(|_| EnvFilter::new("info"));
    // Whatever is left out, the record of who did what is not.
    let filter = match "audit=info".parse() {
        Ok(audit) => filter.add_directive(audit),
        Err(_) => filter,
    };
    let colours = std::io::stderr().is_terminal();
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(colours)
        .with_timer(SystemTime);
    // A log that is set already is another router's of the same process, in tests.
    let _ = match of.form.as_str() {
        "json" => log.json().flatten_event(true).try_init(),
        _ => log.with_target(false).try_init(),
    };
}
