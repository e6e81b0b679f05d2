//! `ternpick rights`: explains what a subject may do, by which grant, and until when.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_identity::{Caller, ExplainedRight, KeyId, Proof, Rights, Role, Subject, Tenant};

use super::error::KeyCommandError;
use super::{as_micros, format_time, wall_clock_seconds};
use crate::lifecycle::settings;

/// The caller whose permissions are explained.
#[derive(Args)]
pub(crate) struct ExplainOptions {
    /// The subject of the caller's token or certificate
    subject: String,
    /// The settings file
    #[arg(long)]
    settings: PathBuf,
    /// The caller's tenant
    #[arg(long)]
    tenant: String,
    /// A role that the caller's token names; may be given several times
    #[arg(long)]
    role: Vec<String>,
    /// The tenant on whose behalf the caller acts
    #[arg(long)]
    behalf: Option<String>,
    /// Prints JSON, for scripts
    #[arg(long)]
    json: bool,
}

impl ExplainOptions {
    /// Returns a caller whose proof does not expire, so that only the grants limit its permissions.
    fn caller(&self) -> Caller {
        Caller {
            subject: Subject::from(self.subject.as_str()),
            tenant: Tenant::from(self.tenant.as_str()),
            roles: self
                .role
                .iter()
                .map(|role| Role::from(role.as_str()))
                .collect(),
            proof: Proof::Token {
                key: KeyId::from("-"),
                id: None,
            },
            until: Micros(u64::MAX),
        }
    }
}

/// Commands `ternpick rights ...`.
#[derive(Subcommand)]
pub(crate) enum RightsCommand {
    /// Prints what a subject may do, by which grant, and until when
    Explain(ExplainOptions),
}

/// Runs a command `ternpick rights ...`.
pub(crate) fn rights(command: RightsCommand) -> Result<(), String> {
    let RightsCommand::Explain(options) = command;
    explain(&options).map_err(|error| error.to_string())
}

fn explain(options: &ExplainOptions) -> Result<(), KeyCommandError> {
    let rights = load_rights(&options.settings)?;
    let now = as_micros(wall_clock_seconds());
    let lines = rights.explain(&options.caller(), options.behalf.as_deref(), now);
    if options.json {
        let rows: Vec<Value> = lines.iter().map(json_row).collect();
        println!("{}", Value::from(rows));
    } else {
        lines.iter().for_each(print_line);
    }
    Ok(())
}

fn load_rights(path: &Path) -> Result<Rights, KeyCommandError> {
    let settings =
        settings::read(path).map_err(|error| KeyCommandError::Settings(error.to_string()))?;
    let Some(identity) = settings.identity else {
        return Err(KeyCommandError::NoIdentity {
            settings: path.to_owned(),
        });
    };
    let mut rights = Rights::default();
    rights.update(&identity.terms)?;
    Ok(rights)
}

/// Returns when a permission ends; none if it ends with the caller's proof.
fn ends_at(line: &ExplainedRight) -> Option<String> {
    line.until
        .filter(|at| *at < Micros(u64::MAX))
        .map(|at| format_time(at.0 / 1_000_000))
}

fn json_row(line: &ExplainedRight) -> Value {
    let why = match &line.allowed {
        Ok(why) | Err(why) => why,
    };
    json!({
        "index": line.index,
        "act": line.act.name(),
        "allowed": line.allowed.is_ok(),
        "why": why,
        "until": ends_at(line),
    })
}

fn print_line(line: &ExplainedRight) {
    let index = &line.index;
    let act = line.act.name();
    match &line.allowed {
        Ok(grant) => {
            let until = ends_at(line).unwrap_or_else(|| "its proof ends".into());
            println!("{index:<20} {act:<6} allowed by {grant}, until {until}");
        }
        Err(why) => println!("{index:<20} {act:<6} denied: {why}"),
    }
}
