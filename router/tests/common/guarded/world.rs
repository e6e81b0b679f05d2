//! A folder with keys, tokens, a feed of revocations, certificates and settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use ring::rand::SystemRandom;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde_json::{json, Value};
use ternpick_identity::key_manager::{Claims, KeyManager};
use ternpick_identity::Algorithm;

use super::authority::Authority;

/// The indexes of a guarded router: `whole` is read only, what `half` and `once` do is told from the statement.
const TERMS: &str = r##"
issuer: "sign-on", audience: "search", skew: 2s
certificates: [
	{name: "crew-7.example", subject: "crew-7", tenant: "north", roles: ["crew"]},
	{name: "chief.example", subject: "chief", tenant: "north", roles: ["crew", "safety"]},
]
tenants: {
	north: limits: {per_second: 100000, burst: 10000}
	flood: limits: {per_second: 20, burst: 5}
}
roles: {
	crew: grants: [{index: "whole"}, {index: "half"}]
	safety: grants: [{index: "half", acts: ["read", "set", "clear"]}]
}
acts: [{index: "half", acts: ["read"], statement: "^find"}, {index: "half", acts: ["set"], statement: "^set"}]
whole: {}
"##;

pub(crate) fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock")
        .as_secs()
}

/// A folder with keys, a feed and settings; its files are what the router watches.
pub(crate) struct World {
    pub(crate) folder: tempfile::TempDir,
    pub(crate) shop: Mutex<KeyManager>,
    feed: Mutex<Vec<Value>>,
    tokens: AtomicU64,
    authority: Authority,
}

impl World {
    pub(crate) fn new() -> World {
        let mut shop = KeyManager::default();
        shop.new_key("k1", Algorithm::EdDsa, now(), 0, &SystemRandom::new())
            .expect("a key");
        let world = World {
            folder: tempfile::tempdir().expect("a folder"),
            shop: Mutex::new(shop),
            feed: Mutex::default(),
            tokens: AtomicU64::new(0),
            authority: Authority::new(),
        };
        let (certificate, key) = world.authority.issue("localhost", 1);
        world.write("server.pem", &certificate);
        world.write("server.key", &key);
        world.write("authorities.pem", &world.authority.pem);
        world.write("revoked.pem", &world.authority.list(1, &[]));
        world.publish();
        world.write_feed();
        world
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        ternpick_store::replace_file(&self.path(name), text.as_bytes()).expect("written");
    }

    pub(crate) fn public(&self) -> String {
        self.shop
            .lock()
            .expect("no test thread panicked with the lock held")
            .public(now())
            .expect("a set")
            .to_string()
    }

    pub(crate) fn publish(&self) {
        self.write("jwks.json", &self.public());
    }

    pub(crate) fn rotate(&self, id: &str, lead: u64, overlap: u64) {
        let mut shop = self
            .shop
            .lock()
            .expect("no test thread panicked with the lock held");
        shop.rotate(
            id,
            Algorithm::EdDsa,
            now(),
            lead,
            overlap,
            &SystemRandom::new(),
        )
        .expect("a key");
        shop.remove_expired(now());
        drop(shop);
        self.publish();
    }

    /// The feed as a page of what comes after a number.
    pub(crate) fn page(&self, after: Option<u64>) -> String {
        let feed = self
            .feed
            .lock()
            .expect("no test thread panicked with the lock held");
        let from = after.unwrap_or(0).min(feed.len() as u64);
        json!({"after": from, "to": feed.len(), "whole": after.is_none(), "entries": feed[from as usize..]})
            .to_string()
    }

    fn write_feed(&self) {
        self.write("feed.json", &self.page(None));
    }

    pub(crate) fn revoke(&self, kind: &str, name: &str) {
        // One at a time, or an older feed may be written over a newer one.
        static ONE: Mutex<()> = Mutex::new(());
        let _one = ONE
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut feed = self
            .feed
            .lock()
            .expect("no test thread panicked with the lock held");
        let number = feed.len() + 1;
        feed.push(json!({"number": number, kind: name}));
        drop(feed);
        self.write_feed();
    }

    pub(crate) fn claims(&self, subject: &str, tenant: &str, roles: &[&str], life: u64) -> Claims {
        let (now, number) = (now(), self.tokens.fetch_add(1, Ordering::Relaxed));
        Claims {
            iss: "sign-on".into(),
            aud: "search".into(),
            sub: subject.into(),
            tenant: tenant.into(),
            roles: roles.iter().map(|role| (*role).to_owned()).collect(),
            jti: format!("t{number}"),
            iat: now,
            nbf: now,
            exp: now + life,
        }
    }

    pub(crate) fn mint(&self, claims: &Claims) -> String {
        self.shop
            .lock()
            .expect("no test thread panicked with the lock held")
            .mint(claims, now())
            .expect("a token")
    }

    pub(crate) fn token(&self, roles: &[&str]) -> String {
        self.mint(&self.claims("dispatcher-1", "north", roles, 300))
    }

    /// Revokes certificates by number, from the list numbered so on.
    pub(crate) fn list(&self, number: u64, serials: &[u64]) {
        self.write("revoked.pem", &self.authority.list(number, serials));
    }

    /// New server files, by the same authority.
    pub(crate) fn renew_server(&self, serial: u64) {
        let (certificate, key) = self.authority.issue("localhost", serial);
        self.write("server.key", &key);
        self.write("server.pem", &certificate);
    }

    /// The settings: sources as told, or files that are looked at every 100 ms; TLS on `tls`.
    pub(crate) fn settings(
        &self,
        keys: Option<&str>,
        feed: Option<&str>,
        tls: Option<SocketAddr>,
    ) -> PathBuf {
        let path = |name: &str| self.path(name).display().to_string();
        let file = |name: &str| format!("{{file: {:?}, every: 100ms, apart: 100ms}}", path(name));
        let (keys, feed) = (
            keys.map_or(file("jwks.json"), str::to_owned),
            feed.map_or(file("feed.json"), str::to_owned),
        );
        let mut text = format!(
            "identity: {{{TERMS}\nkeys: {{from: {keys}, lingers: 10s}}\n\
             revocations: {{from: {feed}, reads_go_on: 1min, changes_go_on: 20s}}}}\n"
        );
        if let Some(listen) = tls {
            text += &format!(
                "tls: {{listen: \"{listen}\", certificate: {:?}, key: {:?}, authorities: {:?}, lists: [{:?}], every: 100ms}}\n",
                path("server.pem"), path("server.key"), path("authorities.pem"), path("revoked.pem")
            );
        }
        self.write("settings.cue", &text);
        self.path("settings.cue")
    }

    /// A client's side of TLS, with a certificate for `name` of that number, or without.
    pub(crate) fn client(&self, shows: Option<(&str, u64)>) -> Arc<rustls::ClientConfig> {
        let mut roots = rustls::RootCertStore::empty();
        roots
            .add(CertificateDer::from_pem_slice(self.authority.pem.as_bytes()).expect("PEM"))
            .expect("a root");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ClientConfig::builder_with_provider(provider);
        let builder = builder
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_root_certificates(roots);
        let config = match shows {
            None => builder.with_no_client_auth(),
            Some((name, serial)) => {
                let (certificate, key) = self.authority.issue(name, serial);
                let certificate =
                    CertificateDer::from_pem_slice(certificate.as_bytes()).expect("PEM");
                let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).expect("PEM");
                builder
                    .with_client_auth_cert(vec![certificate], key)
                    .expect("a client")
            }
        };
        Arc::new(config)
    }
}
