//! Where keys and revocations come from: a file, or a service over HTTP. When to ask is identity's to say
//! ([`ternpick_identity::PollSchedule`]); the last good answer is stored on disk, where the settings name a place.
//!
//! One task for each source, started with the router. Answers go to the [`AuthFilter`], which judges them.

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

/// How often identity is told of the time, for what ends by time alone.
const EXPIRY_CHECK_INTERVAL: Micros = Micros(250_000);

/// Why a source has brought nothing that can be used.
#[derive(Debug, thiserror::Error)]
enum SourceError {
    #[error("{}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    #[error("{}: it is longer than {max_bytes} bytes", path.display())]
    TooLong { path: PathBuf, max_bytes: usize },
    #[error("no address")]
    NoAddress,
    #[error("{0}")]
    Http(#[from] HttpError),
    /// Identity does not accept it.
    #[error("{0}")]
    Rejected(String),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum SourceKind {
    Keys,
    Revocations,
}

impl SourceKind {
    /// The kind of the stored file, and the name in the log.
    fn name(self) -> &'static str {
        match self {
            SourceKind::Keys => "keys",
            SourceKind::Revocations => "revocations",
        }
    }

    /// The longest document, in bytes.
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

    /// Applies a document that was current at `at`.
    fn apply(self, auth: &AuthFilter, at: Micros, text: &[u8]) -> Result<(), SourceError> {
        let applied = match self {
            SourceKind::Keys => auth.update_keys(at, text),
            SourceKind::Revocations => auth.update_revocations(at, text),
        };
        applied.map_err(|error| SourceError::Rejected(error.to_string()))
    }
}

/// What is asked of a source.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// All that it has.
    Complete,
    /// What is newer than what is known.
    Newer,
}

/// Starts the tasks of all sources. What is stored is applied first, so that a start needs no service.
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
        router.executor.spawn(task).detach();
    }
    router
        .executor
        .spawn(check_expiry(Rc::clone(router)))
        .detach();
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
    // Never newer than now: a clock that ran ahead makes nothing last longer.
    let saved_at = Micros(stored.saved_at.min(now.0));
    match kind.apply(auth, saved_at, &stored.bytes) {
        Ok(()) => {
            let age_s = now.since(saved_at).0 / 1_000_000;
            tracing::info!(kind = name, age_s, "identity: stored copy in use");
        }
        Err(error) => tracing::warn!(kind = name, %error, "identity: stored copy ignored"),
    }
}

/// Tells identity of the time.
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

/// One source, as its task sees it.
struct SourceWatch<'a> {
    router: &'a Router,
    auth: &'a AuthFilter,
    watched: &'a PolledSource,
    kind: SourceKind,
    /// After a failure everything is asked for: there may be a gap.
    extent: Extent,
    failing: bool,
    /// What was stored last.
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

    /// Asks the source once, and applies what it has.
    async fn refresh(&mut self) {
        let began = self.auth.now(self.router);
        self.watched.refresh.borrow_mut().started(began);
        let fetched = self.fetch().await;
        let now = self.auth.now(self.router);
        let applied =
            fetched.and_then(|text| self.kind.apply(self.auth, now, &text).map(|()| text));
        match applied {
            Ok(text) => {
                // Before the copy is stored: requests that wait do not wait for the disk.
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
        // Pages of what is new cannot be stored alone; the whole list comes again with the next start.
        let complete = self.kind == SourceKind::Keys || self.extent == Extent::Complete;
        if let Some(path) = &source.stored_copy {
            if complete && text != self.stored_text {
                store(self.kind, PathBuf::from(path), now, text.clone()).await;
                self.stored_text = text;
            }
        }
        let asks_for_all = self.kind == SourceKind::Revocations
            && (source.file.is_some() || source.stored_copy.is_some());
        self.extent = if asks_for_all {
            Extent::Complete
        } else {
            Extent::Newer
        };
    }

    fn failed(&mut self, now: Micros, error: &SourceError) {
        self.watched.refresh.borrow_mut().failed(now);
        self.extent = Extent::Complete;
        let kind = self.kind.name();
        // A warning for each spell of failures, not for each failure.
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
