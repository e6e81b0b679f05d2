//! The TLS files that the settings name: certificate and key, clients' authorities, certificate revocation lists.
//!
//! The files are checked for changes at an interval. Changed files apply to new connections; open connections stay
//! open. [`stages::stream`](crate::stages::stream) performs handshakes; the identity module maps certificates to
//! callers.

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

/// The maximum length of each file.
const MAX_FILE_BYTES: u64 = MAX_REVOCATION_LIST_BYTES as u64;
/// The number of TLS sessions kept for resumption. Each one holds its client's certificate.
const MAX_RESUMABLE_SESSIONS: usize = 128;

/// Why TLS files cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TlsError {
    /// The listener's address is not valid.
    #[error("tls.listen must be an address and port, found {found:?}")]
    Listen { found: String },
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Unreadable { path: String, source: io::Error },
    /// A file is too long.
    #[error("{path}: the file is longer than {MAX_FILE_BYTES} bytes")]
    TooLong { path: String },
    /// A certificate file contains no certificate.
    #[error("{path}: no certificate in PEM")]
    NoCertificate { path: String },
    /// The key file is not PEM.
    #[error("tls.key: {0}")]
    MalformedKey(io::Error),
    /// The key file contains no key.
    #[error("{path}: no private key in PEM")]
    NoKey { path: String },
    /// A certificate cannot be used as an authority.
    #[error("tls.authorities: {0}")]
    Authority(rustls::Error),
    /// No verifier of client certificates can be built from the authorities.
    #[error("tls.authorities: {0}")]
    Verifier(#[from] VerifierBuilderError),
    /// No protocol version is supported.
    #[error("{0}")]
    Versions(rustls::Error),
    /// The certificate and the key do not match.
    #[error("{path}: {source}")]
    Certificate { path: String, source: rustls::Error },
    /// A certificate revocation list is not PEM.
    #[error("{0}")]
    MalformedList(io::Error),
    /// The identity module rejects a certificate revocation list.
    #[error("{0}")]
    RejectedList(String),
}

type Sessions = Arc<ServerSessionMemoryCache>;
type Authorities = Vec<CertificateDer<'static>>;

/// The modification time and length of a file; none if they cannot be read.
type FileVersion = Option<(SystemTime, u64)>;

/// The TLS listener's configuration from its files.
pub(crate) struct Tls {
    settings: TlsSettings,
    /// The address of the listener.
    pub(crate) listen: SocketAddr,
    config: RefCell<Arc<ServerConfig>>,
    /// The number of changes of the authorities.
    authorities_epoch: Cell<u64>,
    authorities: RefCell<Authorities>,
    /// The sessions for resumption. They are kept when other files change and discarded when the authorities change.
    sessions: RefCell<Sessions>,
    /// The versions of the files that are in use.
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
        let listen = settings.listen.parse().map_err(|_| TlsError::Listen {
            found: settings.listen.clone(),
        })?;
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

    /// Returns the configuration for the next connection.
    pub(crate) fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.config.borrow())
    }

    /// Returns the number of changes of the authorities. The caller of a connection's certificate is valid for one such
    /// epoch.
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

    /// Reads the files again. If one cannot be used, nothing changes.
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

    /// Applies all lists in a file and returns the number of certificates that they revoke.
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

/// Checks the files for changes as long as the router runs. The revocation lists are first applied by
/// [`Tls::apply_revocation_lists`], before connections are accepted.
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
            // The files may be partly written. They are read again at the next check, and each failure is logged.
            Err(error) => tracing::warn!(%error, "tls: files unusable, keeping the ones in use"),
        }
    }
}
