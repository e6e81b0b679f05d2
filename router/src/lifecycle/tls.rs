//! TLS as the settings have it: certificate and key, the authorities of clients, certificate revocation lists.
//!
//! The files are checked for changes at an interval; new ones serve the next connections, and no open connection is dropped.
//! Handshakes are [`stages::stream`](crate::stages::stream)'s; who a certificate stands for is identity's to say.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_io::Timer;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{ServerSessionMemoryCache, VerifierBuilderError, WebPkiClientVerifier};
use rustls::{RootCertStore, ServerConfig};
use ternpick_identity::MAX_REVOCATION_LIST_BYTES;

use crate::lifecycle::settings::TlsSettings;
use crate::router::Router;
use crate::stages::auth_filter::AuthFilter;

/// The longest of these files, in bytes.
const MAX_FILE_BYTES: u64 = MAX_REVOCATION_LIST_BYTES as u64;
/// Sessions that may be resumed; each holds its client's certificate.
const MAX_RESUMABLE_SESSIONS: usize = 128;

/// Why TLS files cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TlsError {
    /// The listener's address.
    #[error("tls.listen is no address")]
    Listen,
    /// A file that cannot be read.
    #[error("{path}: {source}")]
    Unreadable { path: String, source: io::Error },
    /// A file beyond any plausible length.
    #[error("{path}: it is longer than any such file is")]
    TooLong { path: String },
    /// A file of certificates without one.
    #[error("{path}: no certificate in PEM")]
    NoCertificate { path: String },
    /// A key file that is not PEM.
    #[error("{0}")]
    MalformedKey(io::Error),
    /// A key file without a key.
    #[error("{path}: no private key in PEM")]
    NoKey { path: String },
    /// A certificate that cannot be an authority.
    #[error("an authority of clients: {0}")]
    Authority(rustls::Error),
    /// The authorities cannot verify clients.
    #[error("{0}")]
    Verifier(#[from] VerifierBuilderError),
    /// No protocol version is supported.
    #[error("{0}")]
    Versions(rustls::Error),
    /// Certificate and key do not go together.
    #[error("{path}: {source}")]
    Certificate { path: String, source: rustls::Error },
    /// A revocation list that is not PEM.
    #[error("{0}")]
    MalformedList(io::Error),
    /// A revocation list that identity does not accept.
    #[error("{0}")]
    RejectedList(String),
}

type Sessions = Arc<ServerSessionMemoryCache>;
type Authorities = Vec<CertificateDer<'static>>;

/// When a file was changed, and its length; none if it cannot be read.
type FileVersion = Option<(SystemTime, u64)>;

/// The TLS listener's configuration, as the files last had it.
pub(crate) struct Tls {
    settings: TlsSettings,
    /// Where the listener accepts.
    pub(crate) listen: SocketAddr,
    config: RefCell<Arc<ServerConfig>>,
    /// Counts the changes of the authorities.
    authorities_epoch: Cell<u64>,
    authorities: RefCell<Authorities>,
    /// Kept when other files change; new authorities begin with none.
    sessions: RefCell<Sessions>,
    /// The files that are in use.
    files_in_use: RefCell<Vec<FileVersion>>,
}

fn read(path: &str) -> Result<Vec<u8>, TlsError> {
    let unreadable = |source| TlsError::Unreadable {
        path: path.to_owned(),
        source,
    };
    if std::fs::metadata(path).map_err(unreadable)?.len() > MAX_FILE_BYTES {
        let path = path.to_owned();
        return Err(TlsError::TooLong { path });
    }
    std::fs::read(path).map_err(unreadable)
}

fn read_certificates(path: &str) -> Result<Authorities, TlsError> {
    let text = read(path)?;
    let certificates: Result<Vec<_>, _> = rustls_pemfile::certs(&mut &text[..]).collect();
    let certificates = certificates.map_err(|source| TlsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    if certificates.is_empty() {
        let path = path.to_owned();
        return Err(TlsError::NoCertificate { path });
    }
    Ok(certificates)
}

fn read_key(path: &str) -> Result<PrivateKeyDer<'static>, TlsError> {
    let text = read(path)?;
    let key = rustls_pemfile::private_key(&mut &text[..]).map_err(TlsError::MalformedKey)?;
    key.ok_or_else(|| TlsError::NoKey {
        path: path.to_owned(),
    })
}

fn read_authorities(settings: &TlsSettings) -> Result<Authorities, TlsError> {
    let path = settings.authorities.as_deref();
    path.map_or(Ok(Vec::new()), read_certificates)
}

fn root_store(authorities: &[CertificateDer<'static>]) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for authority in authorities {
        roots.add(authority.clone()).map_err(TlsError::Authority)?;
    }
    Ok(roots)
}

fn build_config(
    settings: &TlsSettings,
    authorities: &[CertificateDer<'static>],
    sessions: Sessions,
) -> Result<Arc<ServerConfig>, TlsError> {
    let chain = read_certificates(&settings.certificate)?;
    let key = read_key(&settings.key)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_safe_default_protocol_versions()
        .map_err(TlsError::Versions)?;
    let builder = if authorities.is_empty() {
        builder.with_no_client_auth()
    } else {
        let roots = Arc::new(root_store(authorities)?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider);
        let verifier = if settings.client_certificate_required {
            verifier
        } else {
            verifier.allow_unauthenticated()
        };
        builder.with_client_cert_verifier(verifier.build()?)
    };
    let mut config =
        builder
            .with_single_cert(chain, key)
            .map_err(|source| TlsError::Certificate {
                path: settings.certificate.clone(),
                source,
            })?;
    config.session_storage = sessions;
    config.max_early_data_size = 0;
    Ok(Arc::new(config))
}

impl Tls {
    /// Reads the files that the settings name.
    pub(crate) fn new(settings: TlsSettings) -> Result<Rc<Tls>, TlsError> {
        let listen = settings.listen.parse().map_err(|_| TlsError::Listen)?;
        let authorities = read_authorities(&settings)?;
        let sessions = ServerSessionMemoryCache::new(MAX_RESUMABLE_SESSIONS);
        let config = build_config(&settings, &authorities, Arc::clone(&sessions))?;
        let tls = Tls {
            settings,
            listen,
            config: RefCell::new(config),
            authorities_epoch: Cell::new(0),
            authorities: RefCell::new(authorities),
            sessions: RefCell::new(sessions),
            files_in_use: RefCell::default(),
        };
        tls.files_in_use.replace(tls.file_versions());
        Ok(Rc::new(tls))
    }

    /// The configuration for the next connection.
    pub(crate) fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.config.borrow())
    }

    /// Counts the changes of the authorities: who a connection's certificate stands for holds for one epoch.
    pub(crate) fn authorities_epoch(&self) -> u64 {
        self.authorities_epoch.get()
    }

    fn file_versions(&self) -> Vec<FileVersion> {
        let settings = &self.settings;
        [&settings.certificate, &settings.key]
            .into_iter()
            .chain(&settings.authorities)
            .chain(&settings.revocation_lists)
            .map(|path| file_version(path))
            .collect()
    }

    /// Reads the files again; one that cannot be used changes nothing.
    fn reload(&self) -> Result<(), TlsError> {
        let authorities = read_authorities(&self.settings)?;
        if *self.authorities.borrow() == authorities {
            let sessions = Arc::clone(&self.sessions.borrow());
            let config = build_config(&self.settings, &authorities, sessions)?;
            self.config.replace(config);
            return Ok(());
        }
        let sessions = ServerSessionMemoryCache::new(MAX_RESUMABLE_SESSIONS);
        let config = build_config(&self.settings, &authorities, Arc::clone(&sessions))?;
        self.sessions.replace(sessions);
        self.authorities_epoch.set(self.authorities_epoch.get() + 1);
        self.authorities.replace(authorities);
        self.config.replace(config);
        Ok(())
    }

    /// Applies the certificate revocation lists to identity.
    pub(crate) fn apply_revocation_lists(&self, router: &Router) {
        let Some(auth) = &router.auth else {
            return;
        };
        for path in &self.settings.revocation_lists {
            match self.apply_revocation_list(auth, path) {
                Ok(count) => {
                    tracing::info!(count, path, "identity: certificate revocation list applied")
                }
                Err(error) => tracing::warn!(
                    path,
                    %error,
                    "identity: certificate revocation list ignored"
                ),
            }
        }
    }

    /// Applies all lists of one file; returns how many certificates they revoke.
    fn apply_revocation_list(&self, auth: &AuthFilter, path: &str) -> Result<usize, TlsError> {
        let text = read(path)?;
        let lists: Result<Vec<_>, _> = rustls_pemfile::crls(&mut &text[..]).collect();
        let mut count = 0;
        for list in lists.map_err(TlsError::MalformedList)? {
            count += auth
                .update_revoked_certificates(&list, &self.authorities.borrow())
                .map_err(|error| TlsError::RejectedList(error.to_string()))?;
        }
        Ok(count)
    }
}

fn file_version(path: &str) -> FileVersion {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

/// Checks the files for changes, for as long as the router runs. The lists as they were at the start are applied by who
/// accepts connections, before.
pub(crate) async fn watch(router: Rc<Router>, tls: Rc<Tls>) {
    loop {
        Timer::after(Duration::from_micros(tls.settings.check_interval)).await;
        let files = tls.file_versions();
        if files == *tls.files_in_use.borrow() {
            continue;
        }
        match tls.reload() {
            Ok(()) => {
                tls.files_in_use.replace(files);
                let authorities = tls.authorities.borrow().len();
                tracing::info!(authorities, "tls: new files in use");
                tls.apply_revocation_lists(&router);
            }
            // Half of them may be written: it is tried again, and logged each time.
            Err(error) => tracing::warn!(%error, "tls: files unusable, keeping the ones in use"),
        }
    }
}
