//! The command line: defines the commands and calls the module that runs each of them.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ternpick::types::{Micros, PlatformConfig};
use ternpick_identity::Identity;
use ternpick_platform_config::Bounds;

use crate::fleet::cli as fleet;
use crate::fleet::maintenance_cli;
use crate::lifecycle::config::RouterConfig;
use crate::lifecycle::reload::StartupFiles;
use crate::lifecycle::settings::Settings;
use crate::lifecycle::start::Origin;
use crate::lifecycle::takeover::PreviousProcess;
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
    /// Serves queries until it is stopped (SIGTERM, SIGINT or `ternpick drain`)
    Serve {
        /// The configuration file
        #[arg(long, env = "ROUTER_CONFIG")]
        config: PathBuf,
        /// The settings file: log, control socket, identity, TLS and fleet. All but the log are off without it
        #[arg(long, env = "ROUTER_SETTINGS")]
        settings: Option<PathBuf>,
        /// The id of the old process that this one replaces in a hot restart; standard input is the link to it
        #[arg(long, hide = true)]
        take_over: Option<u32>,
    },
    /// Checks a configuration file, a settings file or both, and prints the values that a router would use
    Check {
        /// The configuration file
        #[arg(long, env = "ROUTER_CONFIG", required_unless_present = "settings")]
        config: Option<PathBuf>,
        /// The settings file; each value is printed with its origin
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Creates, lists, rotates and retires the keys that sign tokens
    #[command(subcommand)]
    Keys(key_commands::Keys),
    /// Signs tokens and prints the contents of tokens
    #[command(subcommand)]
    Token(key_commands::Token),
    /// Revokes a token, a subject, a key or a certificate, or lifts a revocation
    Revoke(key_commands::Revoke),
    #[command(flatten)]
    Control(control::ControlCommand),
    /// Shows, checks, proposes, confirms and withdraws the fleet's policy
    #[command(subcommand)]
    Policy(fleet::PolicyCommand),
    /// Shows and changes the members of the fleet and its voters
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Takes machines out of service for maintenance and returns them, in an order that the routers agree on
    #[command(subcommand, name = "maintenance", visible_alias = "works")]
    Works(maintenance_cli::MaintenanceCommand),
    /// Explains the permissions of callers
    #[command(subcommand)]
    Rights(key_commands::RightsCommand),
    /// Prints the version
    Version,
}

/// The result of a command. The last line of an error names the attempted action and the cause.
type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// Parses the command line and runs its command.
pub(crate) fn run() -> ExitCode {
    run_command(Cli::parse().command).unwrap_or_else(|error| {
        eprintln!("ternpick: {error}");
        ExitCode::FAILURE
    })
}

fn run_command(command: Command) -> CommandResult {
    match command {
        Command::Serve {
            config,
            settings,
            take_over,
        } => serve(config, settings, take_over)?,
        Command::Check { config, settings } => check(config, settings)?,
        Command::Keys(command) => key_commands::keys(command)?,
        Command::Token(command) => key_commands::token(command)?,
        Command::Revoke(command) => key_commands::revoke(command)?,
        Command::Rights(command) => key_commands::rights(command)?,
        Command::Control(command) => return Ok(control::run(command)?),
        Command::Policy(command) => return Ok(fleet::policy(command)?),
        Command::Fleet(command) => return Ok(fleet::fleet(command)?),
        Command::Works(command) => return Ok(maintenance_cli::maintenance(command)?),
        Command::Version => println!("ternpick {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}

fn serve(
    config_path: PathBuf,
    settings_path: Option<PathBuf>,
    take_over: Option<u32>,
) -> Result<(), Box<dyn Error>> {
    let config = config::read(&config_path)?;
    let settings = match &settings_path {
        Some(path) => settings::read(path)?,
        None => Settings::default(),
    };
    let files = StartupFiles {
        config: config_path,
        settings: settings_path,
        fixed: config.fixed.clone(),
    };
    let origin = match take_over {
        Some(id) => Origin::Replaces(PreviousProcess {
            link: takeover::link()?,
            id,
        }),
        None => Origin::Fresh,
    };
    start::serve(config, settings, files, origin)?;
    Ok(())
}

fn check(
    config_path: Option<PathBuf>,
    settings_path: Option<PathBuf>,
) -> Result<(), Box<dyn Error>> {
    if let Some(path) = config_path {
        print_config(&config::read(&path)?);
    }
    if let Some(path) = settings_path {
        let settings = settings::read(&path)?;
        for line in &settings.used {
            println!("{line}");
        }
        if let Some(identity) = settings.identity {
            Identity::new(identity.terms).map_err(|error| format!("identity: {error}"))?;
        }
        if let Some(tls) = settings.tls {
            Tls::new(tls)?;
        }
    }
    Ok(())
}

fn print_config(config: &RouterConfig) {
    println!(
        "name {}, listens on {}, discovery at {}",
        config.name, config.listen, config.discovery
    );
    println!(
        "descriptors: {}, memory: {} MB",
        config.descriptor_limit,
        config.memory_bytes >> 20
    );
    let known = config.known_endpoints["endpoints"].as_array();
    println!("nodes known: {}", known.map_or(0, Vec::len));
    print_platform(&config.platform, &config.bounds);
}

fn print_platform(platform: &PlatformConfig, bounds: &Bounds) {
    let millis =
        |time: Option<Micros>| time.map_or("none".into(), |t| format!("{} ms", t.0 / 1000));
    for (name, index) in bounds.index_names.iter().zip(&platform.indexes) {
        println!(
            "index {name}: soft deadline {}, {:?}",
            millis(Some(index.latency_objective)),
            index.retry_semantics
        );
    }
    println!(
        "load reports: {:?}, metrics {}",
        platform.load_reporting,
        bounds.load_metric_names.join(", ")
    );
    println!(
        "shard requests: at most {} per call, attempts: at most {} per connection",
        bounds.max_shard_requests_per_call, bounds.max_attempts_per_connection
    );
    let max_in_flight = bounds
        .max_in_flight
        .map_or("no limit".into(), |most| most.to_string());
    println!("queries and shard requests in flight, at most: {max_in_flight}");
    println!(
        "dial timeout {}, idle close {}",
        millis(bounds.dial_timeout),
        millis(bounds.idle_timeout)
    );
}
