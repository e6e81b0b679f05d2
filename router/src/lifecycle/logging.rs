//! The log on standard error, as text or as JSON. `RUST_LOG` takes precedence over the level in the settings.

use std::io::IsTerminal;

use tracing_subscriber::fmt::time::SystemTime;
use tracing_subscriber::EnvFilter;

use crate::lifecycle::settings::{LogFormat, LogSettings};

/// Starts the log of this process. It has no effect if a log is started already.
pub(crate) fn start(settings: &LogSettings) {
    let filter = EnvFilter::try_from_default_env()
        .or_else(|_| EnvFilter::try_new(&settings.level))
        .unwrap_or_else(|_| EnvFilter::new("info"));
    // Audit records are always logged, whatever the configured filter leaves out.
    let filter = match "audit=info".parse() {
        Ok(audit) => filter.add_directive(audit),
        Err(_) => filter,
    };
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .with_timer(SystemTime);
    // In tests, another router of the same process may have set the log already.
    let _ = match settings.format {
        LogFormat::Json => log.json().flatten_event(true).try_init(),
        LogFormat::Text => log.with_target(false).try_init(),
    };
}
