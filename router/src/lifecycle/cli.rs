//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ternpick::types::Micros;

use crate::fleet::cli as fleet;
use crate::fleet::maintenance_cli;
use crate::lifecycle::reload::Source;
use crate::lifecycle::tls::Tls;
use crate::lifecycle::{config, control, key_commands, settings, start, takeover};

/// The root node (query router) of a sharded search service.
#[derive(Parser)]
#[command(name = "ternpick", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves lookups until it is told to stop (SIGTERM)
    Serve {
        /// The configuration file
        #[arg(long, env = "ROUTER_CONFIG")]
        config: PathBuf,
        /// The settings file: identity, TLS, the fleet, the log. Without it none of these is on
        #[arg(long, env = "ROUTER_SETTINGS")]
        settings: Option<PathBuf>,
        /// Takes the place of the process that started this one, over its standard input
        #[arg(long, hide = true)]
        take_over: Option<u32>,
    },
    /// Reads a configuration, a settings file or both, and prints what would be used
    Check {
        /// The configuration file
        #[arg(long, env = "ROUTER_CONFIG", required_unless_present = "settings")]
        config: Option<PathBuf>,
        /// The settings file; each value is printed with where it came from
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Makes, lists and ends the keys that sign tokens
    #[command(subcommand)]
    Keys(key_commands::Keys),
    /// Signs tokens and tells what they say
    #[command(subcommand)]
    Token(key_commands::Token),
    /// Revokes a token, a subject, a key or a certificate
    Revoke(key_commands::Revoke),
    #[command(flatten)]
    Control(control::ControlCommand),
    /// Shows, proposes and withdraws the fleet's policy
    #[command(subcommand)]
    Policy(fleet::Policy),
    /// Tells and changes who belongs to the fleet, and who votes
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Takes machines out for work, in an order that the routers settle, and back again
    #[command(subcommand)]
    Works(maintenance_cli::Works),
    /// Tells what callers may do
    #[command(subcommand)]
    Rights(key_commands::RightsCommand),
    /// Prints the version
    Version,
}

fn serve(config: PathBuf, path: Option<PathBuf>, take_over: Option<u32>) -> Result<(), String> {
    let opening = config::read(&config)?;
    let settings = path
        .as_deref()
        .map(settings::read)
        .transpose()?
        .unwrap_or_default();
    let source = Source {
        path: config,
        settings: path,
        fixed: opening.fixed.clone(),
    };
    let from = match take_over {
        Some(old) => start::From::Process(takeover::link()?, old),
        None => start::From::Nothing,
    };
    start::serve(opening, settings, source, from)
}

fn check(config: Option<PathBuf>, path: Option<PathBuf>) -> Result<(), String> {
    if let Some(config) = config {
        print(&config::read(&config)?);
    }
    if let Some(path) = path {
        let settings = settings::read(&path)?;
        settings.used.iter().for_each(|line| println!("{line}"));
        if let Some(identity) = settings.identity {
            ternpick_identity::Identity::new(identity.terms)
                .map_err(|fault| format!("identity: {fault}"))?;
        }
        if let Some(terms) = settings.tls {
            Tls::new(terms)?;
        }
    }
    Ok(())
}

pub fn run() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve {
            config,
            settings,
            take_over,
        } => serve(config, settings, take_over),
        Command::Check { config, settings } => check(config, settings),
        Command::Keys(command) => key_commands::keys(command),
        Command::Token(command) => key_commands::token(command),
        Command::Revoke(of) => key_commands::revoke(of),
        Command::Rights(command) => key_commands::rights(command),
        Command::Control(command) => match control::run(command) {
            Ok(code) => return code,
            Err(what) => Err(what),
        },
        Command::Policy(command) => match fleet::policy(command) {
            Ok(code) => return code,
            Err(what) => Err(what),
        },
        Command::Fleet(command) => match fleet::fleet(command) {
            Ok(code) => return code,
            Err(what) => Err(what),
        },
        Command::Works(command) => match maintenance_cli::works(command) {
            Ok(code) => return code,
            Err(what) => Err(what),
        },
        Command::Version => {
            println!("ternpick {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("ternpick: {what}");
            ExitCode::FAILURE
        }
    }
}

fn print(of: &config::RouterConfig) {
    let (bounds, tariff) = (&of.bounds, &of.tariff);
    let millis =
        |time: Option<Micros>| time.map_or("none".into(), |t| format!("{} ms", t.0 / 1000));
    println!(
        "name {}, listens on {}, discovery at {}",
        of.name, of.listen, of.discovery
    );
    println!(
        "descriptors: {}, memory: {} MB",
        of.sockets,
        of.memory >> 20
    );
    println!(
        "nodes known: {}",
        of.known["endpoints"].as_array().map_or(0, Vec::len)
    );
    for (name, row) in bounds.index_names.iter().zip(&tariff.indexes) {
        println!(
            "index {name}: soft deadline {}, {:?}",
            millis(Some(row.latency_objective)),
            row.retry_semantics
        );
    }
    println!(
        "load reports: {:?}, of {}",
        tariff.load_reporting,
        bounds.columns.join(", ")
    );
    println!(
        "parts: {} a call, {} a connection",
        bounds.parts_a_call, bounds.parts_a_connection
    );
    println!(
        "held at most: {}",
        bounds
            .most_held
            .map_or("no limit".into(), |most| most.to_string())
    );
    println!(
        "dial timeout {}, idle close {}",
        millis(bounds.dial_timeout),
        millis(bounds.idle_close)
    );
}
