//! A guarded router and what stands round it: keys, tokens, a feed of revocations, certificates, a key service.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use ring::rand::SystemRandom;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use serde_json::{json, Value};
use ternpick_identity::key_manager::{Claims, KeyManager};
use ternpick_identity::Algorithm;

use super::{answer, entry, free, read_head, request, Act, Discovery, Node, Router, BOUND};

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

struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Authority {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.distinguished_name.push(DnType::CommonName, "crews");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let pem = params.self_signed(&key).expect("a certificate").pem();
        Authority {
            pem,
            issuer: Issuer::new(params, key),
        }
    }

    /// A certificate and its key, PEM.
    fn issue(&self, name: &str, serial: u64) -> (String, String) {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec![name.to_owned()]).expect("parameters");
        params.serial_number = Some(serial.into());
        let made = params.signed_by(&key, &self.issuer).expect("a certificate");
        (made.pem(), key.serialize_pem())
    }

    fn list(&self, number: u64, serials: &[u64]) -> String {
        let revoked = serials.iter().map(|serial| rcgen::RevokedCertParams {
            serial_number: (*serial).into(),
            revocation_time: rcgen::date_time_ymd(2026, 1, 1),
            reason_code: None,
            invalidity_date: None,
        });
        let params = rcgen::CertificateRevocationListParams {
            this_update: rcgen::date_time_ymd(2026, 1, 1),
            next_update: rcgen::date_time_ymd(2036, 1, 1),
            crl_number: number.into(),
            issuing_distribution_point: None,
            revoked_certs: revoked.collect(),
            key_identifier_method: rcgen::KeyIdMethod::Sha256,
        };
        params
            .signed_by(&self.issuer)
            .expect("a list")
            .pem()
            .expect("PEM")
    }
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
        shop.elapsed(now());
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

/// The router that it guards, its one node that serves, and its log on the way.
pub(crate) struct Guarded {
    pub(crate) router: Router,
    pub(crate) nodes: Vec<Node>,
    _discovery: Discovery,
    pub(crate) log: PathBuf,
    pub(crate) tls: SocketAddr,
}

impl Guarded {
    pub(crate) fn start(world: &World) -> Guarded {
        Guarded::with(world, None, None, "info", 1024)
    }

    pub(crate) fn with(
        world: &World,
        keys: Option<&str>,
        feed: Option<&str>,
        log: &str,
        sockets: usize,
    ) -> Guarded {
        Guarded::sized(world, keys, feed, log, sockets, 32)
    }

    pub(crate) fn sized(
        world: &World,
        keys: Option<&str>,
        feed: Option<&str>,
        level: &str,
        sockets: usize,
        memory_mb: u64,
    ) -> Guarded {
        let (nodes, discovery, tls) = (
            vec![Node::start([Act::Serve; 2])],
            Discovery::default(),
            free(),
        );
        let listed = entry("s0", nodes[0].address, "Ready");
        let (settings, log) = (world.settings(keys, feed, Some(tls)), world.path("log"));
        let out = std::fs::File::create(&log).expect("a log");
        let router = Router::start_with(
            discovery.start(),
            &listed,
            sockets,
            memory_mb,
            super::SETTINGS,
            |command| {
                command
                    .arg("--settings")
                    .arg(&settings)
                    .env("RUST_LOG", level)
                    .stderr(Stdio::from(out));
            },
        );
        let guarded = Guarded {
            router,
            nodes,
            _discovery: discovery,
            log,
            tls,
        };
        if keys.is_none() {
            guarded.log_has("identity: keys changed keys=1 new=");
        }
        guarded
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    pub(crate) fn log_has(&self, words: &str) {
        within(
            || self.log().contains(words),
            &format!("'{words}' in {}", self.log()),
        );
    }

    pub(crate) fn secure(&self, config: &Arc<rustls::ClientConfig>) -> Secure {
        Secure::over(self.tls, config).expect("a handshake")
    }
}

/// Waits until something is so.
pub(crate) fn within(so: impl Fn() -> bool, what: &str) {
    let late = Instant::now() + BOUND;
    while !so() {
        assert!(Instant::now() < late, "in time: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

pub(crate) struct Secure(pub rustls::StreamOwned<rustls::ClientConnection, TcpStream>);

impl Secure {
    pub(crate) fn over(
        address: SocketAddr,
        config: &Arc<rustls::ClientConfig>,
    ) -> std::io::Result<Secure> {
        let name = ServerName::try_from("localhost").expect("a name");
        let tls = rustls::ClientConnection::new(Arc::clone(config), name)
            .map_err(std::io::Error::other)?;
        let socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(BOUND))?;
        let mut stream = rustls::StreamOwned::new(tls, socket);
        while stream.conn.is_handshaking() {
            stream.conn.complete_io(&mut stream.sock)?;
        }
        Ok(Secure(stream))
    }
}

/// Either kind of connection.
pub(crate) trait Talks: Read + Write {}
impl<T: Read + Write> Talks for T {}

pub(crate) fn with_headers(index: &str, id: &str, statement: &str, headers: &str) -> String {
    let body = request(index, id)
        .split("\r\n\r\n")
        .nth(1)
        .expect("a body")
        .replace("find", statement);
    format!(
        "POST /{index} HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 2000\r\n\
         Idempotency-Key: key{id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) fn bearer(token: &str) -> String {
    format!("Authorization: Bearer {token}\r\n")
}

pub(crate) fn send(stream: &mut dyn Talks, index: &str, statement: &str, headers: &str) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let id = format!("q{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    stream
        .write_all(with_headers(index, &id, statement, headers).as_bytes())
        .expect("written");
}

/// Asks; the status, head and body come back.
pub(crate) fn ask(
    stream: &mut dyn Talks,
    index: &str,
    statement: &str,
    headers: &str,
) -> (u16, String, String) {
    send(stream, index, statement, headers);
    receive(stream)
}

pub(crate) fn receive(stream: &mut dyn Talks) -> (u16, String, String) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("an answer");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text");
    let length = head
        .split("Content-Length: ")
        .nth(1)
        .and_then(|rest| rest.split("\r\n").next()?.parse().ok());
    let mut body = vec![0; length.expect("a length")];
    stream.read_exact(&mut body).expect("a body");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse().ok())
        .expect("a status");
    (status, head, String::from_utf8(body).expect("text"))
}

/// What a service does with a call.
#[derive(Clone)]
pub(crate) enum Serves {
    Text(String),
    /// By turns.
    Turns(Vec<String>),
    Down,
    Slow,
    /// A body that never ends, as long as is read.
    Endless,
    Reset,
    /// Half of what it announces.
    Half(String),
}

/// A service on HTTP that counts its calls.
#[derive(Clone)]
pub(crate) struct Service {
    pub(crate) serves: Arc<Mutex<Serves>>,
    pub(crate) calls: Arc<AtomicUsize>,
    pub(crate) address: SocketAddr,
}

impl Service {
    pub(crate) fn start(serves: Serves) -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let service = Service {
            serves: Arc::new(Mutex::new(serves)),
            calls: Arc::default(),
            address,
        };
        let of = service.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let of = of.clone();
                thread::spawn(move || of.serve(stream));
            }
        });
        service
    }

    pub(crate) fn set(&self, serves: Serves) {
        *self
            .serves
            .lock()
            .expect("no test thread panicked with the lock held") = serves;
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some(_) = read_head(&mut stream) else {
            return;
        };
        let count = self.calls.fetch_add(1, Ordering::Relaxed);
        let serves = self
            .serves
            .lock()
            .expect("no test thread panicked with the lock held")
            .clone();
        let ok = |text: &str, length: usize| {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}")
        };
        let said = match serves {
            Serves::Text(text) => ok(&text, text.len()),
            Serves::Turns(texts) => ok(
                &texts[count % texts.len()],
                texts[count % texts.len()].len(),
            ),
            Serves::Down => "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n".into(),
            Serves::Slow => {
                thread::sleep(Duration::from_secs(2));
                return;
            }
            Serves::Endless => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while stream
                    .write_all(&[b"1000\r\n", &[b' '; 0x1000][..], b"\r\n"].concat())
                    .is_ok()
                {}
                return;
            }
            Serves::Reset => return,
            Serves::Half(text) => ok(&text[..text.len() / 2], text.len()),
        };
        let _ = stream.write_all(said.as_bytes());
    }

    /// As a source in settings.
    pub(crate) fn source(&self, kept: Option<&Path>) -> String {
        let kept = kept.map_or(String::new(), |path| {
            format!(", kept: {:?}", path.display().to_string())
        });
        format!(
            "{{address: \"{}\", path: \"/set\", every: 200ms, apart: 100ms, patience: 300ms{kept}}}",
            self.address
        )
    }
}

pub(crate) fn status_of(stream: &mut TcpStream) -> u16 {
    answer(stream).0
}
