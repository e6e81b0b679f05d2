//! Commands for operators beside the router: keys, tokens, revocations, rights. They write files atomically, readable
//! by their owner alone, and say what to do next. Secrets are never printed but for the token that was asked for.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand, ValueEnum};
use ring::rand::SystemRandom;
use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_identity::key_manager::{Claims, KeyManager, Stage};
use ternpick_identity::{Algorithm, Caller, KeyId, Proof, Rights, Role, Subject, Tenant};

use crate::lifecycle::settings;

/// The kind of the file that holds private keys, as it is kept.
const KEPT_KEYS: &str = "private-keys";
/// Names of the two files in a folder of keys.
const PRIVATE: &str = "private.keys";
const PUBLIC: &str = "jwks.json";

#[derive(Clone, Copy, ValueEnum)]
pub enum Kind {
    /// Ed25519
    Eddsa,
    /// ECDSA on P-256
    Es256,
}

#[derive(Args)]
pub struct Folder {
    /// The folder that holds private.keys and the published jwks.json
    #[arg(long, env = "TERNPICK_KEYS")]
    keys: PathBuf,
    /// Prints JSON, for scripts
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
pub enum Keys {
    /// Makes a key; the first signs at once, any further after the lead
    New {
        #[command(flatten)]
        folder: Folder,
        /// Its id; made from the time if left out
        #[arg(long)]
        id: Option<String>,
        #[arg(long, value_enum, default_value = "eddsa")]
        kind: Kind,
        /// How long it is published before it signs, so that every router knows it
        #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
        lead: std::time::Duration,
    },
    /// Lists the keys and what each does now
    List {
        #[command(flatten)]
        folder: Folder,
    },
    /// Ends a key's signing; it stays published for the overlap
    Retire {
        #[command(flatten)]
        folder: Folder,
        id: String,
        /// As long as what it signed may last
        #[arg(long, default_value = "1h", value_parser = humantime::parse_duration)]
        overlap: std::time::Duration,
    },
    /// Makes a new key and ends those that sign now, once it does
    Rotate {
        #[command(flatten)]
        folder: Folder,
        #[arg(long)]
        id: Option<String>,
        #[arg(long, value_enum, default_value = "eddsa")]
        kind: Kind,
        #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
        lead: std::time::Duration,
        #[arg(long, default_value = "1h", value_parser = humantime::parse_duration)]
        overlap: std::time::Duration,
    },
}

#[derive(Subcommand)]
pub enum Token {
    /// Signs a token and prints it
    Mint {
        #[command(flatten)]
        folder: Folder,
        #[arg(long)]
        issuer: String,
        #[arg(long)]
        audience: String,
        #[arg(long)]
        subject: String,
        #[arg(long)]
        tenant: String,
        /// May be given several times
        #[arg(long)]
        role: Vec<String>,
        #[arg(long, default_value = "10min", value_parser = humantime::parse_duration)]
        life: std::time::Duration,
        /// Its id, by which it can be revoked; made if left out
        #[arg(long)]
        id: Option<String>,
    },
    /// Tells what a token says; it is read from standard input and its signature not printed
    Inspect {
        /// A published key set, to verify it by
        #[arg(long)]
        jwks: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
#[group(id = "revoked", required = true, multiple = false)]
pub struct RevokedWhat {
    /// A token, by its id (jti)
    #[arg(long)]
    token: Option<String>,
    /// All that a subject has
    #[arg(long)]
    subject: Option<String>,
    /// All that a key has signed
    #[arg(long)]
    key: Option<String>,
    /// A certificate, by its SHA-256 fingerprint in hexadecimal
    #[arg(long)]
    certificate: Option<String>,
}

#[derive(Args)]
pub struct Revoke {
    /// The feed file that routers read
    #[arg(long, env = "TERNPICK_REVOCATIONS")]
    feed: PathBuf,
    #[command(flatten)]
    what: RevokedWhat,
    /// How long it matters: as long as the longest token lasts. Without it, for good
    #[arg(long, value_parser = humantime::parse_duration)]
    matters: Option<std::time::Duration>,
    /// Takes a revocation back
    #[arg(long)]
    lift: bool,
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
pub enum RightsCommand {
    /// Tells what a subject may do, by which grant, until when
    Explain {
        subject: String,
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        tenant: String,
        /// Roles as its token would name them; may be given several times
        #[arg(long)]
        role: Vec<String>,
        /// Acting for this tenant
        #[arg(long)]
        behalf: Option<String>,
        #[arg(long)]
        json: bool,
    },
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

fn words(what: impl ToString) -> String {
    what.to_string()
}

fn time(at: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + std::time::Duration::from_secs(at)).to_string()
}

impl Kind {
    fn algorithm(self) -> Algorithm {
        match self {
            Kind::Eddsa => Algorithm::EdDsa,
            Kind::Es256 => Algorithm::Es256,
        }
    }
}

impl Folder {
    /// An empty workshop where there is none yet; one that is spoilt is never written over.
    fn open(&self) -> Result<KeyManager, String> {
        match ternpick_store::load(&self.keys.join(PRIVATE), KEPT_KEYS) {
            Ok(kept) => serde_json::from_slice(&kept.bytes).map_err(words),
            Err(fault) if fault.is_missing() => Ok(KeyManager::default()),
            Err(fault) => Err(words(fault)),
        }
    }

    /// The private table first: what is published can be made from it again.
    fn save(&self, shop: &KeyManager, now: u64) -> Result<(), String> {
        std::fs::create_dir_all(&self.keys).map_err(|e| format!("{}: {e}", self.keys.display()))?;
        let text = serde_json::to_vec(shop).map_err(words)?;
        let path = self.keys.join(PRIVATE);
        ternpick_store::save(&path, KEPT_KEYS, shop.serial, now * 1_000_000, &text)
            .map_err(words)?;
        let public = serde_json::to_vec_pretty(&shop.public(now).map_err(words)?).map_err(words)?;
        ternpick_store::replace_file(&self.keys.join(PUBLIC), &public).map_err(words)
    }

    fn list(&self, shop: &KeyManager, now: u64) {
        let row = |key: &ternpick_identity::key_manager::OwnKey| {
            json!({"id": key.id, "algorithm": key.algorithm, "stage": key.stage(now), "made": key.made,
                "signs": key.signs, "retired": key.retired, "until": key.until})
        };
        if self.json {
            let rows: Vec<Value> = shop.keys.iter().map(row).collect();
            return println!("{}", json!({"serial": shop.serial, "keys": rows}));
        }
        for key in &shop.keys {
            let stage = match key.stage(now) {
                Stage::Published => format!("published, signs from {}", time(key.signs)),
                Stage::Signing => "signing".into(),
                Stage::Retired => format!(
                    "retired, published until {}",
                    key.until.map_or("-".into(), time)
                ),
                Stage::Gone => "gone".into(),
            };
            println!("{:<24} {:<6} {stage}", key.id, key.algorithm);
        }
    }
}

pub fn keys(command: Keys) -> Result<(), String> {
    let (now, random) = (now(), SystemRandom::new());
    let named = |id: Option<String>, shop: &KeyManager| {
        id.unwrap_or_else(|| format!("k{now}-{}", shop.serial + 1))
    };
    let folder = match command {
        Keys::List { folder } => {
            folder.list(&folder.open()?, now);
            return Ok(());
        }
        Keys::New {
            folder,
            id,
            kind,
            lead,
        } => {
            let mut shop = folder.open()?;
            let id = named(id, &shop);
            shop.new_key(&id, kind.algorithm(), now, lead.as_secs(), &random)
                .map_err(words)?;
            folder.save(&shop, now)?;
            folder
        }
        Keys::Retire {
            folder,
            id,
            overlap,
        } => {
            let mut shop = folder.open()?;
            shop.retire(&id, now, overlap.as_secs()).map_err(words)?;
            folder.save(&shop, now)?;
            folder
        }
        Keys::Rotate {
            folder,
            id,
            kind,
            lead,
            overlap,
        } => {
            let mut shop = folder.open()?;
            let id = named(id, &shop);
            let (lead, overlap) = (lead.as_secs(), overlap.as_secs());
            shop.rotate(&id, kind.algorithm(), now, lead, overlap, &random)
                .map_err(words)?;
            folder.save(&shop, now)?;
            folder
        }
    };
    folder.list(&folder.open()?, now);
    if !folder.json {
        println!("published in {}", folder.keys.join(PUBLIC).display());
    }
    Ok(())
}

pub fn token(command: Token) -> Result<(), String> {
    match command {
        Token::Mint {
            folder,
            issuer,
            audience,
            subject,
            tenant,
            role,
            life,
            id,
        } => {
            let (now, shop) = (now(), folder.open()?);
            let id = match id {
                Some(id) => id,
                None => {
                    let mut bytes = [0; 12];
                    ring::rand::SecureRandom::fill(&SystemRandom::new(), &mut bytes)
                        .map_err(|_| "the system gave no random numbers")?;
                    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
                }
            };
            let claims = Claims {
                iss: issuer,
                aud: audience,
                sub: subject,
                tenant,
                roles: role,
                jti: id,
                iat: now,
                nbf: now,
                exp: now + life.as_secs(),
            };
            let token = shop.mint(&claims, now).map_err(words)?;
            match folder.json {
                true => println!("{}", json!({"token": token, "claims": claims})),
                false => println!("{token}"),
            }
            Ok(())
        }
        Token::Inspect { jwks, json } => inspect(jwks.as_deref(), json),
    }
}

fn inspect(jwks: Option<&Path>, json: bool) -> Result<(), String> {
    let mut text = String::new();
    std::io::Read::read_to_string(&mut std::io::stdin(), &mut text).map_err(words)?;
    let seen = ternpick_identity::key_manager::inspect(text.trim()).map_err(words)?;
    let verified = match jwks {
        None => Value::Null,
        Some(path) => {
            let set = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let now = Micros(now() * 1_000_000);
            ternpick_identity::key_manager::verify(text.trim(), &set, now)
                .map_err(words)?
                .into()
        }
    };
    if json {
        println!(
            "{}",
            json!({"header": seen.header, "claims": seen.claims, "verified": verified})
        );
        return Ok(());
    }
    for (name, value) in seen
        .header
        .as_object()
        .into_iter()
        .chain(seen.claims.as_object())
        .flatten()
    {
        match (name.as_str(), value.as_u64()) {
            ("exp" | "nbf" | "iat", Some(at)) => println!("{name:<8} {} ({at})", time(at)),
            _ => println!("{name:<8} {value}"),
        }
    }
    match verified {
        Value::Bool(true) => println!("signature right, by a key of the set that is in use"),
        Value::Bool(false) => println!("signature WRONG, or of no key of the set that is in use"),
        _ => println!("signature not looked at (give --jwks)"),
    }
    Ok(())
}

pub fn revoke(of: Revoke) -> Result<(), String> {
    let mut feed: Value = match std::fs::read(&of.feed) {
        Ok(text) => {
            serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", of.feed.display()))?
        }
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
            json!({"to": 0, "whole": true, "entries": []})
        }
        Err(e) => return Err(format!("{}: {e}", of.feed.display())),
    };
    let now = now();
    let number = feed["to"]
        .as_u64()
        .ok_or_else(|| format!("{}: no feed", of.feed.display()))?
        + 1;
    let what = [
        ("token", of.what.token),
        ("subject", of.what.subject),
        ("key", of.what.key),
        (
            "certificate",
            of.what
                .certificate
                .map(|print| print.replace(':', "").to_ascii_lowercase()),
        ),
    ];
    let Some((kind, name)) = what
        .into_iter()
        .find_map(|(kind, name)| Some((kind, name?)))
    else {
        return Err("say what is revoked: --token, --subject, --key or --certificate".into());
    };
    let mut entry = json!({"number": number, kind: name});
    if of.lift {
        entry["lifted"] = true.into();
    }
    if let Some(matters) = of.matters {
        entry["until"] = (now + matters.as_secs()).into();
    }
    let entries = feed["entries"]
        .as_array_mut()
        .ok_or_else(|| format!("{}: no feed", of.feed.display()))?;
    entries.retain(|entry| entry["until"].as_u64().is_none_or(|until| until > now));
    entries.push(entry.clone());
    (feed["to"], feed["whole"]) = (number.into(), true.into());
    let text = serde_json::to_vec_pretty(&feed).map_err(words)?;
    // What a router would refuse is not written.
    ternpick_identity::Page::parse(&text).map_err(words)?;
    ternpick_store::replace_file(&of.feed, &text).map_err(words)?;
    match of.json {
        true => println!("{entry}"),
        false => {
            println!(
                "{kind} {name} is {}, as number {number}",
                if of.lift { "lifted" } else { "revoked" }
            )
        }
    }
    Ok(())
}

pub fn rights(command: RightsCommand) -> Result<(), String> {
    let RightsCommand::Explain {
        subject,
        settings,
        tenant,
        role,
        behalf,
        json,
    } = command;
    let read = settings::read(&settings)?;
    let identity = read
        .identity
        .ok_or_else(|| format!("{}: no identity in it", settings.display()))?;
    let mut rights = Rights::default();
    rights.told_of(&identity.terms).map_err(words)?;
    let caller = Caller {
        subject: Subject::from(subject.as_str()),
        tenant: Tenant::from(tenant.as_str()),
        roles: role.iter().map(|role| Role::from(role.as_str())).collect(),
        proof: Proof::Token {
            key: KeyId::from("-"),
            id: None,
        },
        until: Micros(u64::MAX),
    };
    let lines = rights.explain(&caller, behalf.as_deref(), Micros(now() * 1_000_000));
    let until = |at: Option<Micros>| {
        at.filter(|at| at.0 < u64::MAX)
            .map(|at| time(at.0 / 1_000_000))
    };
    if json {
        let row = |line: &ternpick_identity::Explained| {
            let (allowed, why) = match &line.allowed {
                Ok(by) => (true, by),
                Err(why) => (false, why),
            };
            json!({"index": line.index, "act": line.act.word(), "allowed": allowed, "why": why,
                "until": until(line.until)})
        };
        println!("{}", Value::from(lines.iter().map(row).collect::<Vec<_>>()));
        return Ok(());
    }
    for line in &lines {
        let (index, act) = (&line.index, line.act.word());
        match &line.allowed {
            Ok(by) => {
                let until = until(line.until).unwrap_or_else(|| "its proof ends".into());
                println!("{index:<20} {act:<6} allowed by {by}, until {until}");
            }
            Err(why) => println!("{index:<20} {act:<6} denied: {why}"),
        }
    }
    Ok(())
}
