//! TLS as the settings have it: certificate and key, the authorities of clients, lists of revoked certificates. The
//! files are looked at again and again; new ones serve the next connections and no standing one is dropped.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_io::Timer;
use rustls::pki_types::CertificateDer;
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use ternpick_identity::LIST_BOUND;

use crate::lifecycle::settings::TlsTerms;
use crate::router::Router;

/// The longest of these files, in bytes.
const FILE_BOUND: u64 = LIST_BOUND as u64;
/// Sessions that may be resumed; each holds its client's certificate.
const SESSIONS: usize = 128;

type Sessions = Arc<rustls::server::ServerSessionMemoryCache>;

pub struct Tls {
    terms: TlsTerms,
    pub listen: SocketAddr,
    config: RefCell<Arc<ServerConfig>>,
    epoch: Cell<u64>,
    authorities: RefCell<Vec<CertificateDer<'static>>>,
    /// Kept when other files change; new authorities begin with none.
    sessions: RefCell<Sessions>,
    seen: RefCell<Vec<Option<(SystemTime, u64)>>>,
}

fn read(path: &str) -> Result<Vec<u8>, String> {
    let words = |what: String| format!("{path}: {what}");
    let long = std::fs::metadata(Path::new(path))
        .map_err(|e| words(e.to_string()))?
        .len();
    if long > FILE_BOUND {
        return Err(words("it is longer than any such file is".into()));
    }
    std::fs::read(path).map_err(|e| words(e.to_string()))
}

fn certificates(path: &str) -> Result<Vec<CertificateDer<'static>>, String> {
    let text = read(path)?;
    let all: Result<Vec<_>, _> = rustls_pemfile::certs(&mut &text[..]).collect();
    let all = all.map_err(|e| format!("{path}: {e}"))?;
    if all.is_empty() {
        Err(format!("{path}: no certificate in PEM"))
    } else {
        Ok(all)
    }
}

fn build(
    terms: &TlsTerms,
    authorities: &[CertificateDer<'static>],
    sessions: Sessions,
) -> Result<Arc<ServerConfig>, String> {
    let chain = certificates(&terms.certificate)?;
    let key =
        rustls_pemfile::private_key(&mut &read(&terms.key)?[..]).map_err(|e| e.to_string())?;
    let key = key.ok_or_else(|| format!("{}: no private key in PEM", terms.key))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let versions = ServerConfig::builder_with_provider(Arc::clone(&provider));
    let builder = versions
        .with_safe_default_protocol_versions()
        .map_err(|e| e.to_string())?;
    let builder = if authorities.is_empty() {
        builder.with_no_client_auth()
    } else {
        let mut roots = RootCertStore::empty();
        for authority in authorities {
            roots
                .add(authority.clone())
                .map_err(|e| format!("an authority of clients: {e}"))?;
        }
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
        let verifier = if terms.required {
            verifier
        } else {
            verifier.allow_unauthenticated()
        };
        builder.with_client_cert_verifier(verifier.build().map_err(|e| e.to_string())?)
    };
    let mut config = builder
        .with_single_cert(chain, key)
        .map_err(|e| format!("{}: {e}", terms.certificate))?;
    config.session_storage = sessions;
    config.max_early_data_size = 0;
    Ok(Arc::new(config))
}

impl Tls {
    pub fn new(terms: TlsTerms) -> Result<Rc<Tls>, String> {
        let listen = terms
            .listen
            .parse()
            .map_err(|_| "tls.listen is no address".to_owned())?;
        let authorities = terms
            .authorities
            .as_deref()
            .map_or(Ok(Vec::new()), certificates)?;
        let sessions = rustls::server::ServerSessionMemoryCache::new(SESSIONS);
        let config = RefCell::new(build(&terms, &authorities, Arc::clone(&sessions))?);
        let tls = Tls {
            terms,
            listen,
            config,
            epoch: Cell::new(0),
            authorities: RefCell::new(authorities),
            sessions: RefCell::new(sessions),
            seen: RefCell::default(),
        };
        tls.seen.replace(tls.look());
        Ok(Rc::new(tls))
    }

    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.config.borrow())
    }

    /// Counts the changes of the authorities.
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    fn look(&self) -> Vec<Option<(SystemTime, u64)>> {
        let terms = &self.terms;
        let files = [&terms.certificate, &terms.key]
            .into_iter()
            .chain(&terms.authorities)
            .chain(&terms.lists);
        let seen = |path: &String| {
            let of = std::fs::metadata(path).ok()?;
            Some((of.modified().ok()?, of.len()))
        };
        files.map(seen).collect()
    }

    /// Reads the files again; one that cannot be used changes nothing.
    fn reload(&self) -> Result<(), String> {
        let authorities = self
            .terms
            .authorities
            .as_deref()
            .map_or(Ok(Vec::new()), certificates)?;
        let same = *self.authorities.borrow() == authorities;
        let sessions = match same {
            true => Arc::clone(&self.sessions.borrow()),
            false => rustls::server::ServerSessionMemoryCache::new(SESSIONS),
        };
        let config = build(&self.terms, &authorities, Arc::clone(&sessions))?;
        if !same {
            self.sessions.replace(sessions);
            self.epoch.set(self.epoch.get() + 1);
            self.authorities.replace(authorities);
        }
        self.config.replace(config);
        Ok(())
    }

    /// Tells identity of the lists of revoked certificates.
    pub fn tell_lists(&self, router: &Router) {
        let Some(gate) = &router.auth else { return };
        for path in &self.terms.lists {
            let told = read(path).and_then(|text| {
                let all: Result<Vec<_>, _> = rustls_pemfile::crls(&mut &text[..]).collect();
                let mut count = 0;
                for list in all.map_err(|e| e.to_string())? {
                    count += gate.told_of_list(&list, &self.authorities.borrow())?;
                }
                Ok(count)
            });
            match told {
                Ok(count) => tracing::info!("identity: {count} certificates are revoked by {path}"),
                Err(what) => tracing::warn!("identity: {path} is passed over, {what}"),
            }
        }
    }
}

/// Looks at the files again and again.
pub async fn watch(router: Rc<Router>, tls: Rc<Tls>) {
    tls.tell_lists(&router);
    loop {
        Timer::after(Duration::from_micros(tls.terms.every)).await;
        let seen = tls.look();
        if seen == *tls.seen.borrow() {
            continue;
        }
        match tls.reload() {
            Ok(()) => {
                tls.seen.replace(seen);
                tracing::info!(
                    "tls: new files are in use, {} authorities",
                    tls.authorities.borrow().len()
                );
                tls.tell_lists(&router);
            }
            // Half of them may be written: it is tried again, and said each time.
            Err(what) => tracing::warn!("tls: the files in use stay, {what}"),
        }
    }
}
