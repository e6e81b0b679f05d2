//! `ternpick rights`: tells what a subject may do, by which grant, until when.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_identity::{Caller, ExplainedRight, KeyId, Proof, Rights, Role, Subject, Tenant};

use super::error::KeyCommandError;
use super::{as_micros, format_time, wall_clock_seconds};
use crate::lifecycle::settings;

/// Whose permissions are explained.
#[derive(Args)]
pub(crate) struct ExplainOptions {
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
}

impl ExplainOptions {
    /// A caller whose proof never ends: only the grants limit what it may do.
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
    /// Tells what a subject may do, by which grant, until when
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

/// When a permission ends; none: with the proof.
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
