//! `ternpick token`: signs tokens and prints the contents of tokens.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use ring::rand::{SecureRandom, SystemRandom};
use serde_json::{json, Value};
use ternpick_identity::key_manager::{self, Claims, UnverifiedToken};

use super::error::KeyCommandError;
use super::key_folder::KeyFolder;
use super::{as_micros, format_time, wall_clock_seconds};

/// The number of random bytes in a generated token id.
const TOKEN_ID_BYTES: usize = 12;

/// The claims of a new token.
#[derive(Args)]
pub(crate) struct NewToken {
    /// The issuer (iss)
    #[arg(long)]
    issuer: String,
    /// The audience (aud)
    #[arg(long)]
    audience: String,
    /// The subject (sub)
    #[arg(long)]
    subject: String,
    /// The tenant of the subject
    #[arg(long)]
    tenant: String,
    /// A role of the subject; may be given several times
    #[arg(long)]
    role: Vec<String>,
    /// How long the token is valid
    #[arg(long, default_value = "10min", value_parser = humantime::parse_duration)]
    life: Duration,
    /// The token's id (jti), by which it can be revoked; random if left out
    #[arg(long)]
    id: Option<String>,
}

/// Commands `ternpick token ...`.
#[derive(Subcommand)]
pub(crate) enum Token {
    /// Signs a token and prints it
    Mint {
        #[command(flatten)]
        folder: KeyFolder,
        #[command(flatten)]
        token: NewToken,
    },
    /// Reads a token from standard input and prints its header and claims, but not its signature
    Inspect {
        /// The published key set to verify the signature with
        #[arg(long)]
        jwks: Option<PathBuf>,
        /// Prints JSON, for scripts
        #[arg(long)]
        json: bool,
    },
}

/// Runs a command `ternpick token ...`.
pub(crate) fn token(command: Token) -> Result<(), String> {
    let result = match command {
        Token::Mint { folder, token } => mint(&folder, token),
        Token::Inspect { jwks, json } => inspect(jwks.as_deref(), json),
    };
    result.map_err(|error| error.to_string())
}

fn mint(folder: &KeyFolder, token: NewToken) -> Result<(), KeyCommandError> {
    let now = wall_clock_seconds();
    let keys = folder.load()?;
    let id = match token.id {
        Some(id) => id,
        None => random_token_id()?,
    };
    let claims = Claims {
        iss: token.issuer,
        aud: token.audience,
        sub: token.subject,
        tenant: token.tenant,
        roles: token.role,
        jti: id,
        iat: now,
        nbf: now,
        exp: now + token.life.as_secs(),
    };
    let signed = keys.mint(&claims, now)?;
    if folder.json {
        println!("{}", json!({"token": signed, "claims": claims}));
    } else {
        println!("{signed}");
    }
    Ok(())
}

fn random_token_id() -> Result<String, KeyCommandError> {
    let mut bytes = [0; TOKEN_ID_BYTES];
    SystemRandom::new()
        .fill(&mut bytes)
        .map_err(|_| KeyCommandError::NoRandom)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

fn inspect(jwks: Option<&Path>, json: bool) -> Result<(), KeyCommandError> {
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(KeyCommandError::StandardInput)?;
    let token = text.trim();
    let seen = key_manager::inspect(token)?;
    let verified = jwks.map(|path| verify(token, path)).transpose()?;
    if json {
        println!(
            "{}",
            json!({"header": seen.header, "claims": seen.claims, "verified": verified})
        );
        return Ok(());
    }
    print_fields(&seen);
    match verified {
        Some(true) => println!("signature right, by a key of the set that is in use"),
        Some(false) => println!("signature WRONG, or of no key of the set that is in use"),
        None => println!("signature not verified (give --jwks)"),
    }
    Ok(())
}

/// Returns whether a key of a published key set has signed the token.
fn verify(token: &str, jwks: &Path) -> Result<bool, KeyCommandError> {
    let key_set = std::fs::read(jwks).map_err(KeyCommandError::at(jwks))?;
    let now = as_micros(wall_clock_seconds());
    Ok(key_manager::verify(token, &key_set, now)?)
}

/// Prints a line for each field of the header and the claims, with times in RFC 3339.
fn print_fields(token: &UnverifiedToken) {
    let header = token.header.as_object().into_iter().flatten();
    let claims = token.claims.as_object().into_iter().flatten();
    for (name, value) in header.chain(claims) {
        print_field(name, value);
    }
}

fn print_field(name: &str, value: &Value) {
    match (name, value.as_u64()) {
        ("exp" | "nbf" | "iat", Some(seconds)) => {
            println!("{name:<8} {} ({seconds})", format_time(seconds));
        }
        _ => println!("{name:<8} {value}"),
    }
}
