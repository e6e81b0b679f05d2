//! Where keys and revocations come from: a file, or a service on HTTP. When to ask is identity's to say
//! ([`ternpick_identity::Refresh`]); the last good answer is kept on disk, where the settings name a place.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_identity::{Source, PAGE_BOUND, SET_BOUND};

use crate::lifecycle::http_client;
use crate::router::Router;
use crate::stages::auth_filter::{AuthFilter, Watched};

/// How often it is looked whether time alone has changed something.
const LOOK: Micros = Micros(250_000);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Keys,
    Revocations,
}

impl Kind {
    fn word(self) -> &'static str {
        match self {
            Kind::Keys => "keys",
            Kind::Revocations => "revocations",
        }
    }

    fn tell(self, gate: &AuthFilter, then: Micros, text: &[u8]) -> Result<(), String> {
        match self {
            Kind::Keys => gate.told_of_keys(then, text),
            Kind::Revocations => gate.told_of_revocations(then, text),
        }
    }
}

/// Begins all watches: what is kept first, so that a start needs no service.
pub fn start(router: &Rc<Router>) {
    let Some(gate) = &router.auth else { return };
    for (kind, watched) in [(Kind::Keys, &gate.keys), (Kind::Revocations, &gate.feed)] {
        let Some(watched) = watched else { continue };
        if let Some(path) = &watched.source.kept {
            restore(router, gate, kind, Path::new(path));
        }
        router
            .executor
            .spawn(watch(Rc::clone(router), kind))
            .detach();
    }
    router.executor.spawn(elapse(Rc::clone(router))).detach();
}

fn restore(router: &Router, gate: &AuthFilter, kind: Kind, path: &Path) {
    let now = gate.now(router);
    let word = kind.word();
    match ternpick_store::load(path, word) {
        Ok(kept) => {
            // Never newer than now: a clock that ran ahead makes nothing last longer.
            let then = Micros(kept.saved_at.min(now.0));
            let told = kind.tell(gate, then, &kept.bytes);
            let age = now.since(then).0 / 1_000_000;
            match told {
                Ok(()) => tracing::info!(
                    "identity: {word} as kept {age} s ago, until they are heard anew"
                ),
                Err(what) => tracing::warn!("identity: the kept {word} are passed over, {what}"),
            }
        }
        Err(fault) if fault.is_missing() => {}
        Err(fault) => tracing::warn!("identity: the kept {word} are passed over, {fault}"),
    }
}

/// Time goes by for what identity holds.
async fn elapse(router: Rc<Router>) {
    loop {
        Timer::at(router.clock.instant(router.clock.now() + LOOK)).await;
        if let Some(gate) = &router.auth {
            gate.elapsed(gate.now(&router));
        }
    }
}

fn watched(router: &Router, kind: Kind) -> Option<(&AuthFilter, &Watched)> {
    let gate = router.auth.as_ref()?;
    let watched = match kind {
        Kind::Keys => gate.keys.as_ref(),
        Kind::Revocations => gate.feed.as_ref(),
    };
    Some((gate, watched?))
}

async fn watch(router: Rc<Router>, kind: Kind) {
    let Some((gate, of)) = watched(&router, kind) else {
        return;
    };
    // After a gap the whole list is asked for.
    let (mut whole, mut failing, mut kept_text) = (true, false, Vec::new());
    loop {
        let stirred = of.stirred.listen();
        let next = of.refresh.borrow().next();
        let now = gate.now(&router);
        if let Some(wait) = next.map(|next| next.since(now)).filter(|wait| wait.0 > 0) {
            let timer = Timer::at(router.clock.instant(router.clock.now() + wait));
            let time = async {
                timer.await;
            };
            future::or(time, stirred).await;
            continue;
        }
        of.refresh.borrow_mut().began(now);
        let got = get(&router, gate, of, kind, whole).await;
        let now = gate.now(&router);
        let told = got.and_then(|text| kind.tell(gate, now, &text).map(|()| text));
        match told {
            Ok(text) => {
                of.refresh.borrow_mut().succeeded(now);
                if std::mem::replace(&mut failing, false) {
                    tracing::info!("identity: {} are heard again", kind.word());
                }
                // Pages of what is new cannot be kept alone; the whole list comes again with the next start.
                let worth = kind == Kind::Keys || whole;
                if let Some(path) = of
                    .source
                    .kept
                    .as_ref()
                    .filter(|_| worth && text != kept_text)
                {
                    keep(kind, PathBuf::from(path), now, text.clone()).await;
                    kept_text = text;
                }
                whole = kind == Kind::Revocations
                    && (of.source.file.is_some() || of.source.kept.is_some());
            }
            Err(what) => {
                of.refresh.borrow_mut().failed(now);
                whole = true;
                match std::mem::replace(&mut failing, true) {
                    false => tracing::warn!("identity: {} could not be had, {what}", kind.word()),
                    true => tracing::debug!("identity: {} could not be had, {what}", kind.word()),
                }
            }
        }
    }
}

async fn get(
    router: &Router,
    gate: &AuthFilter,
    of: &Watched,
    kind: Kind,
    whole: bool,
) -> Result<Vec<u8>, String> {
    let bound = if kind == Kind::Keys {
        SET_BOUND
    } else {
        PAGE_BOUND
    };
    let Source {
        file,
        path,
        patience,
        ..
    } = &of.source;
    if let Some(file) = file {
        let file = PathBuf::from(file);
        return blocking::unblock(move || read(&file, bound)).await;
    }
    let address = of.address.ok_or("no address")?;
    let path = match (kind, whole) {
        (Kind::Revocations, false) => format!("{path}?after={}", gate.revocations_known()),
        _ => path.clone(),
    };
    http_client::get(router, address, &path, bound, Micros(*patience)).await
}

fn read(path: &Path, bound: usize) -> Result<Vec<u8>, String> {
    let words = |e: std::io::Error| format!("{}: {e}", path.display());
    let long = std::fs::metadata(path).map_err(words)?.len();
    if long > bound as u64 {
        return Err(format!(
            "{}: it is longer than {bound} bytes",
            path.display()
        ));
    }
    std::fs::read(path).map_err(words)
}

async fn keep(kind: Kind, path: PathBuf, now: Micros, text: Vec<u8>) {
    let kept =
        blocking::unblock(move || ternpick_store::save(&path, kind.word(), 1, now.0, &text)).await;
    if let Err(fault) = kept {
        tracing::warn!("identity: {} could not be kept, {fault}", kind.word());
    }
}
