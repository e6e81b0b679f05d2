//! The sources of keys and revocations: a file, or a service over HTTP. The identity module schedules the reads
//! ([`ternpick_identity::PollSchedule`]). The last valid document is stored on disk if the settings name a path.
//!
//! Each source has a task that starts with the router. The [`AuthFilter`] checks and applies the documents.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_identity::{SourceConfig, MAX_KEY_SET_BYTES, MAX_PAGE_BYTES};

use crate::lifecycle::http_client::{self, HttpError};
use crate::router::Router;
use crate::stages::auth_filter::{AuthFilter, PolledSource};
use crate::state::turns::Stage;

/// The interval at which the identity module is advanced to the current time, so that it applies expiries.
const EXPIRY_CHECK_INTERVAL: Micros = Micros(250_000);

/// Why a source has returned no usable document.
#[derive(Debug, thiserror::Error)]
enum SourceError {
    #[error("{}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    #[error("{}: the file is longer than {max_bytes} bytes", path.display())]
    TooLong { path: PathBuf, max_bytes: usize },
    #[error("the source has neither a file nor an address")]
    NoAddress,
    #[error("{0}")]
    Http(#[from] HttpError),
    /// The identity module rejects the document.
    #[error("{0}")]
    Rejected(String),
}

/// What a source provides.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SourceKind {
    Keys,
    Revocations,
}

impl SourceKind {
    /// Returns the name for the log, which is also the content kind of the stored file.
    fn name(self) -> &'static str {
        match self {
            SourceKind::Keys => "keys",
            SourceKind::Revocations => "revocations",
        }
    }

    /// Returns the maximum length of a document, in bytes.
    fn max_bytes(self) -> usize {
        match self {
            SourceKind::Keys => MAX_KEY_SET_BYTES,
            SourceKind::Revocations => MAX_PAGE_BYTES,
        }
    }

    fn source(self, auth: &AuthFilter) -> Option<&PolledSource> {
        match self {
            SourceKind::Keys => auth.key_source.as_ref(),
            SourceKind::Revocations => auth.revocation_source.as_ref(),
        }
    }

    /// Applies a document that was current at `current_at`.
    fn apply(self, auth: &AuthFilter, current_at: Micros, text: &[u8]) -> Result<(), SourceError> {
        let applied = match self {
            SourceKind::Keys => auth.update_keys(current_at, text),
            SourceKind::Revocations => auth.update_revocations(current_at, text),
        };
        applied.map_err(|error| SourceError::Rejected(error.to_string()))
    }
}

/// The extent of a request to a source.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// The complete document.
    Complete,
    /// Only entries that are newer than the known ones.
    Newer,
}

/// Starts the tasks of all sources. Stored copies are applied first, so that a start does not depend on the services.
pub(crate) fn start(router: &Rc<Router>) {
    let Some(auth) = &router.auth else {
        return;
    };
    auth.sources_started(router.clock.now());
    for kind in [SourceKind::Keys, SourceKind::Revocations] {
        let Some(watched) = kind.source(auth) else {
            continue;
        };
        if let Some(path) = &watched.source.stored_copy {
            restore(router, auth, kind, Path::new(path));
        }
        let task = watch(Rc::clone(router), kind);
        router.spawn(Stage::Identity, 0, task).detach();
    }
    let task = check_expiry(Rc::clone(router));
    router.spawn(Stage::Identity, 0, task).detach();
}

fn restore(router: &Router, auth: &AuthFilter, kind: SourceKind, path: &Path) {
    let now = auth.now(router);
    let name = kind.name();
    let stored = match ternpick_store::load(path, name) {
        Ok(stored) => stored,
        Err(error) if error.is_missing() => return,
        Err(error) => {
            tracing::warn!(kind = name, %error, "identity: stored copy ignored");
            return;
        }
    };
    // Capped at the current time: a copy stored while the clock ran ahead must not be valid for longer.
    let saved_at = Micros(stored.saved_at.min(now.0));
    match kind.apply(auth, saved_at, &stored.bytes) {
        Ok(()) => {
            let age_s = now.since(saved_at).0 / 1_000_000;
            tracing::info!(kind = name, age_s, "identity: stored copy in use");
        }
        Err(error) => tracing::warn!(kind = name, %error, "identity: stored copy ignored"),
    }
}

/// Advances the identity module to the current time at each interval, so that it applies expiries.
async fn check_expiry(router: Rc<Router>) {
    loop {
        let next = router.clock.now() + EXPIRY_CHECK_INTERVAL;
        Timer::at(router.clock.instant(next)).await;
        if let Some(auth) = &router.auth {
            auth.advance_time(auth.now(&router));
        }
    }
}

async fn watch(router: Rc<Router>, kind: SourceKind) {
    let Some(auth) = &router.auth else {
        return;
    };
    let Some(watched) = kind.source(auth) else {
        return;
    };
    let mut watch = SourceWatch {
        router: &router,
        auth,
        watched,
        kind,
        extent: Extent::Complete,
        failing: false,
        stored_text: Vec::new(),
    };
    loop {
        watch.wait_until_due().await;
        watch.refresh().await;
    }
}

/// The state of one source's task.
struct SourceWatch<'a> {
    router: &'a Router,
    auth: &'a AuthFilter,
    watched: &'a PolledSource,
    kind: SourceKind,
    /// The extent of the next request. After a failure it is the complete document, because entries may have been
    /// missed.
    extent: Extent,
    /// Whether the last read failed.
    failing: bool,
    /// The document that was stored last.
    stored_text: Vec<u8>,
}

impl SourceWatch<'_> {
    async fn wait_until_due(&self) {
        loop {
            let rescheduled = self.watched.next_poll_changed.listen();
            let next = self.watched.refresh.borrow().next();
            let Some(next) = next else {
                return;
            };
            let wait = next.since(self.auth.now(self.router));
            if wait.0 == 0 {
                return;
            }
            let clock = self.router.clock;
            let timer = async {
                Timer::at(clock.instant(clock.now() + wait)).await;
            };
            future::or(timer, rescheduled).await;
        }
    }

    /// Reads the source once and applies the document.
    async fn refresh(&mut self) {
        let started_at = self.auth.now(self.router);
        self.watched.refresh.borrow_mut().started(started_at);
        let fetched = self.fetch().await;
        let now = self.auth.now(self.router);
        let applied =
            fetched.and_then(|text| self.kind.apply(self.auth, now, &text).map(|()| text));
        match applied {
            Ok(text) => {
                // Before the copy is stored, so that waiting requests do not wait for the disk.
                self.auth.source_read(self.watched);
                self.succeeded(now, text).await;
            }
            Err(error) => self.failed(now, &error),
        }
    }

    async fn succeeded(&mut self, now: Micros, text: Vec<u8>) {
        self.watched.refresh.borrow_mut().succeeded(now);
        let kind = self.kind.name();
        if self.failing {
            self.failing = false;
            tracing::info!(kind, "identity: source answers again");
        }
        let source = &self.watched.source;
        // A page of newer entries is not stored: without the earlier entries it is incomplete. The next start reads all
        // of them.
        let complete = self.kind == SourceKind::Keys || self.extent == Extent::Complete;
        if let Some(path) = &source.stored_copy {
            if complete && text != self.stored_text {
                store(self.kind, PathBuf::from(path), now, text.clone()).await;
                self.stored_text = text;
            }
        }
        let needs_complete = self.kind == SourceKind::Revocations
            && (source.file.is_some() || source.stored_copy.is_some());
        self.extent = if needs_complete {
            Extent::Complete
        } else {
            Extent::Newer
        };
    }

    fn failed(&mut self, now: Micros, error: &SourceError) {
        self.watched.refresh.borrow_mut().failed(now);
        self.extent = Extent::Complete;
        let kind = self.kind.name();
        // Only the first of consecutive failures is logged as a warning.
        if self.failing {
            tracing::debug!(kind, %error, "identity: source failed");
        } else {
            tracing::warn!(kind, %error, "identity: source failed");
        }
        self.failing = true;
    }

    async fn fetch(&self) -> Result<Vec<u8>, SourceError> {
        let max_bytes = self.kind.max_bytes();
        let SourceConfig {
            file,
            path,
            timeout,
            ..
        } = &self.watched.source;
        if let Some(file) = file {
            let file = PathBuf::from(file);
            return blocking::unblock(move || read(&file, max_bytes)).await;
        }
        let address = self.watched.address.ok_or(SourceError::NoAddress)?;
        let path = if self.kind == SourceKind::Revocations && self.extent == Extent::Newer {
            format!("{path}?after={}", self.auth.revocations_known())
        } else {
            path.clone()
        };
        let text =
            http_client::get(self.router, address, &path, max_bytes, Micros(*timeout)).await?;
        Ok(text)
    }
}

fn read(path: &Path, max_bytes: usize) -> Result<Vec<u8>, SourceError> {
    let unreadable = |source| SourceError::Unreadable {
        path: path.to_owned(),
        source,
    };
    if std::fs::metadata(path).map_err(unreadable)?.len() > max_bytes as u64 {
        let path = path.to_owned();
        return Err(SourceError::TooLong { path, max_bytes });
    }
    std::fs::read(path).map_err(unreadable)
}

async fn store(kind: SourceKind, path: PathBuf, now: Micros, text: Vec<u8>) {
    let name = kind.name();
    let stored =
        blocking::unblock(move || ternpick_store::save(&path, name, 1, now.0, &text)).await;
    if let Err(error) = stored {
        tracing::warn!(kind = name, %error, "identity: copy could not be stored");
    }
}
