//! The log: text for people or JSON for machines, on standard error. `RUST_LOG` takes precedence over the settings.

use std::io::IsTerminal;

use tracing_subscriber::fmt::time::SystemTime;
use tracing_subscriber::EnvFilter;

use crate::lifecycle::settings::{LogFormat, LogSettings};

/// Starts the log of this process; without effect where one is started already.
pub(crate) fn start(settings: &LogSettings) {
    let filter = EnvFilter::try_from_default_env()
        .or_else(|_| EnvFilter::try_new(&settings.level))
        .unwrap_or_else(|_| EnvFilter::new("info"));
    // Whatever is left out, the record of who did what is not.
    let filter = match "audit=info".parse() {
        Ok(audit) => filter.add_directive(audit),
        Err(_) => filter,
    };
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .with_timer(SystemTime);
    // A log that is set already is another router's of the same process, in tests.
    let _ = match settings.format {
        LogFormat::Json => log.json().flatten_event(true).try_init(),
        LogFormat::Text => log.with_target(false).try_init(),
    };
}
