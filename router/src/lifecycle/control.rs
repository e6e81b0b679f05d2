//! The control socket: a Unix socket for the router's owner alone. One line of JSON asks, lines of JSON answer, the last
//! of them with `done`. And the commands that speak to it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use clap::{Args, Subcommand};
use event_listener::Event;
use futures_lite::future;
use rustix::fs::Mode;
use rustix::net::sockopt::socket_peercred;
use rustix::process::{geteuid, umask};
use serde_json::{json, Value};
use ternpick::types::Micros;

use crate::fleet::commands;
use crate::lifecycle::settings::ControlTerms;
use crate::lifecycle::snapshot;
use crate::lifecycle::upgrade::{self, Start, Upgrades};
use crate::router::Router;

/// The longest question, and how long it may take to come.
const ASK_BOUND: usize = 32 * 1024;
const ASK_WITHIN: Micros = Micros(2_000_000);
/// The most that ask at a time: commands of a fleet wait for their outcome.
const MOST_ASKING: usize = 32;

pub struct Control {
    pub terms: ControlTerms,
    pub start: Start,
    pub upgrades: Upgrades,
    asking: Cell<usize>,
    /// What the router was started with, in a word: its name.
    pub name: String,
}

impl Control {
    pub fn new(terms: ControlTerms, start: Start, upgrades: Upgrades, name: &str) -> Self {
        Control {
            terms,
            start,
            upgrades,
            asking: Cell::new(0),
            name: name.to_owned(),
        }
    }
}

/// Binds the socket for its owner alone; one that a dead process has left, or the old one holds, is replaced.
pub fn bind(path: &Path) -> Result<Async<UnixListener>, String> {
    let words = |e: std::io::Error| format!("control socket {}: {e}", path.display());
    match std::fs::symlink_metadata(path) {
        Ok(found) if found.file_type().is_socket() => std::fs::remove_file(path).map_err(words)?,
        Ok(_) => return Err(words(std::io::Error::other("something else is there"))),
        Err(e) if e.kind() == ErrorKind::NotFound => {}
        Err(e) => return Err(words(e)),
    }
    // From its first moment nobody else may open it.
    let before = umask(Mode::from_raw_mode(0o177));
    let bound = UnixListener::bind(path);
    umask(before);
    Async::new(bound.map_err(words)?).map_err(words)
}

pub async fn serve(router: Rc<Router>, control: Rc<Control>, listener: Async<UnixListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let owner = socket_peercred(stream.get_ref()).map(|peer| peer.uid);
                let ours = owner.is_ok_and(|uid| uid == geteuid() || uid.is_root());
                if !ours || control.asking.get() >= MOST_ASKING {
                    tracing::warn!(
                        "control: somebody who may not, or one too many, is turned away"
                    );
                    continue;
                }
                control.asking.set(control.asking.get() + 1);
                let (router, control) = (Rc::clone(&router), Rc::clone(&control));
                let executor = Rc::clone(&router.executor);
                let task = async move {
                    answer(&router, &control, stream).await;
                    control.asking.set(control.asking.get() - 1);
                };
                executor.spawn(task).detach();
            }
            Err(e) => {
                tracing::warn!("control: {e}");
                async_io::Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn question(stream: &Async<UnixStream>) -> Option<Value> {
    let mut line = Vec::new();
    while !line.ends_with(b"\n") {
        if line.len() > ASK_BOUND {
            return None;
        }
        let mut some = [0; 1024];
        let count = stream
            .read_with(|mut stream| stream.read(&mut some))
            .await
            .ok()?;
        if count == 0 {
            return None;
        }
        line.extend_from_slice(&some[..count]);
    }
    serde_json::from_slice(&line).ok()
}

async fn say(stream: &Async<UnixStream>, line: &Value) {
    let text = format!("{line}\n");
    let mut rest = text.as_bytes();
    while !rest.is_empty() {
        match stream.write_with(|mut stream| stream.write(rest)).await {
            Ok(count) if count > 0 => rest = &rest[count..],
            _ => return,
        }
    }
}

/// Says the steps that wait.
async fn tell(stream: &Async<UnixStream>, steps: &RefCell<VecDeque<Value>>) {
    loop {
        let Some(step) = steps.borrow_mut().pop_front() else {
            return;
        };
        say(stream, &step).await;
    }
}

async fn answer(router: &Rc<Router>, control: &Control, stream: Async<UnixStream>) {
    let late = router.clock.now() + ASK_WITHIN;
    let Some(asked) = router
        .with_deadline(Some(late), question(&stream))
        .await
        .flatten()
    else {
        return;
    };
    let last = match asked["do"].as_str() {
        Some("status") => json!({"done": true, "ok": true, "status": status(router, control)}),
        Some("fleet") => match &router.fleet {
            Some(fleet) => commands::answer(router, fleet, &asked).await,
            None => {
                json!({"done": true, "ok": false, "line": "this router belongs to no fleet: none is in its settings"})
            }
        },
        Some("drain") => {
            router.shutdown.request();
            json!({"done": true, "ok": true, "line": "this process answers what it has taken, and leaves"})
        }
        Some("upgrade") if !control.terms.upgrade => {
            json!({"done": true, "ok": false, "line": "upgrades are off: control.upgrade is not set"})
        }
        Some("upgrade") => {
            let path =
                |key: &str, own: &PathBuf| asked[key].as_str().map_or(own.clone(), PathBuf::from);
            let start = Start {
                program: path("program", &control.start.program),
                config: path("config", &control.start.config),
                settings: path("settings", &control.start.settings),
            };
            // The steps go out as they happen; whoever asked may have left, and the upgrade goes on.
            let (steps, more, began) = (
                RefCell::new(VecDeque::new()),
                Event::new(),
                router.clock.now(),
            );
            let mut note = |line: &str| {
                let after = router.clock.now().since(began).0 / 1000;
                steps
                    .borrow_mut()
                    .push_back(json!({"line": line, "after_ms": after}));
                more.notify(1);
            };
            let upgraded = async {
                let done = upgrade::upgrade(router, &control.upgrades, &start, &mut note).await;
                Some(done)
            };
            let told = async {
                loop {
                    let listens = more.listen();
                    tell(&stream, &steps).await;
                    listens.await;
                }
            };
            let done = future::or(upgraded, told).await.unwrap_or(Ok(()));
            tell(&stream, &steps).await;
            if done.is_ok() {
                say(
                    &stream,
                    &json!({"done": true, "ok": true, "line": "upgraded"}),
                )
                .await;
                leave(router);
                return;
            }
            json!({"done": true, "ok": false, "line": done.err()})
        }
        _ => json!({"done": true, "ok": false, "line": "ask for status, fleet, upgrade or drain"}),
    };
    say(&stream, &last).await;
}

/// Nothing is left here: the process ends, or stays as the parent of its heir.
fn leave(router: &Router) {
    router.shutdown.mark_handed_over();
    router.shutdown.request();
}

fn status(router: &Router, control: &Control) -> Value {
    let (now, desk) = (router.clock.now(), router.decisions.borrow());
    let (brain, office) = (&desk.engine, &desk.effects);
    let nodes: Vec<Value> = office
        .nodes
        .all()
        .filter_map(|(id, name, address)| {
            let node = brain.nodes.get(&id)?;
            let latency = node.latency.map(|micros| (micros / 10.0).round() / 100.0);
            Some(
                json!({"node": snapshot::number(id), "name": name, "address": address.to_string(),
                "phase": format!("{:?}", node.endpoint.state).to_lowercase(), "latency_ms": latency,
                "report": node.reported_load, "parts_out": node.in_flight.len(),
                "doubted": node.suspected_for.and_then(|index| office.bounds.index_names.get(index.at())),
                "seen_ms_ago": node.latency.map(|_| now.since(node.latency_updated_at).0 / 1000)}),
            )
        })
        .collect();
    let machine = control.upgrades.machine.borrow();
    let limits = office
        .limits
        .as_ref()
        .map(|of| json!({"limit": of.limit(), "in_hand": of.in_flight()}));
    json!({
        "name": control.name, "version": env!("CARGO_PKG_VERSION"), "process": std::process::id(),
        "step": machine.step_name(), "upgrades_begun": control.upgrades.begun.get(),
        "accepts": router.listener.is_accepting(), "stopping": router.is_stopping(),
        "lookups": office.in_flight.lookups(), "held": office.in_flight.held(), "taken": office.counts.taken,
        "satisfied": office.counts.satisfied, "nacked": office.counts.nacked, "aborted": office.counts.aborted,
        "clients": router.descriptors.clients(), "descriptors": router.descriptors.held(),
        "descriptors_may": router.descriptors.total(), "memory_held": router.budget.used(),
        "roster_version": router.discovery.list_version(), "nodes": nodes,
        "identity": router.auth.as_ref().map(|gate| gate.status(router)), "limits": limits,
        "fleet": router.fleet.as_ref().map(|fleet| fleet.status(brain, now)),
    })
}

#[derive(Args)]
pub struct Socket {
    /// The control socket of the router, as its settings name it
    #[arg(long, env = "TERNPICK_SOCKET")]
    pub socket: PathBuf,
    /// Prints JSON, for scripts
    #[arg(long)]
    pub json: bool,
}

#[derive(Subcommand)]
pub enum ControlCommand {
    /// Tells what a router has in hand, what it believes of its nodes, and its versions
    Status {
        #[command(flatten)]
        socket: Socket,
        /// Again every so often, until it is interrupted
        #[arg(long, value_name = "EVERY", num_args = 0..=1, default_missing_value = "1s", value_parser = humantime::parse_duration)]
        watch: Option<Duration>,
    },
    /// Starts a new process that takes the router's place; exits with 0 once it serves, 1 if the old one goes on
    Upgrade {
        #[command(flatten)]
        socket: Socket,
        /// The program; the one that runs if left out
        #[arg(long)]
        program: Option<PathBuf>,
        #[arg(long)]
        config: Option<PathBuf>,
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Only has the new program check its files
        #[arg(long)]
        dry_run: bool,
    },
    /// Has a router answer what it has taken, and leave
    Drain {
        #[command(flatten)]
        socket: Socket,
    },
}

pub fn ask(socket: &Path, question: &Value, each: &mut dyn FnMut(&Value)) -> Result<Value, String> {
    ask_within(socket, question, None, each)
}

/// A router that stands still says nothing for so long: then nobody can tell what became of the question.
pub fn ask_within(
    socket: &Path,
    question: &Value,
    within: Option<Duration>,
    each: &mut dyn FnMut(&Value),
) -> Result<Value, String> {
    let words = |e: std::io::Error| format!("control socket {}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(words)?;
    stream.set_read_timeout(within).map_err(words)?;
    stream
        .write_all(format!("{question}\n").as_bytes())
        .map_err(words)?;
    for line in BufReader::new(stream).lines() {
        let silent = |e: &std::io::Error| {
            matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            )
        };
        if line.as_ref().is_err_and(silent) {
            let line = format!("the router at {} does not answer", socket.display());
            return Ok(json!({"done": true, "ok": false, "unknown": true, "line": line}));
        }
        let said: Value = serde_json::from_str(&line.map_err(words)?).map_err(|e| e.to_string())?;
        if said["done"] == true {
            return Ok(said);
        }
        each(&said);
    }
    Err("the router has ended before it answered".into())
}

fn show(status: &Value) {
    let word = |key: &str| {
        status[key]
            .as_str()
            .map_or_else(|| status[key].to_string(), str::to_owned)
    };
    println!(
        "{} {}, process {}, {}",
        word("name"),
        word("version"),
        word("process"),
        word("step")
    );
    println!(
        "lookups {} in hand, {} taken, {} satisfied, {} nacked, {} aborted; clients {}, descriptors {} of {}",
        word("lookups"),
        word("taken"),
        word("satisfied"),
        word("nacked"),
        word("aborted"),
        word("clients"),
        word("descriptors"),
        word("descriptors_may")
    );
    println!("roster version {}", word("roster_version"));
    for node in status["nodes"].as_array().into_iter().flatten() {
        let word = |key: &str| {
            node[key]
                .as_str()
                .map_or_else(|| node[key].to_string(), str::to_owned)
        };
        let doubted = node["doubted"]
            .as_str()
            .map_or(String::new(), |index| format!(", doubted for {index}"));
        println!(
            "  {:<4} {:<20} {:<22} {:<9} {} ms, {} out{doubted}",
            word("node"),
            word("name"),
            word("address"),
            word("phase"),
            word("latency_ms"),
            word("parts_out")
        );
    }
    if let Some(keys) = status["identity"]["keys"].as_array() {
        println!(
            "identity: {} keys, revocations up to {}",
            keys.len(),
            status["identity"]["revocations"]
        );
    }
}

fn absolute(path: Option<PathBuf>) -> Result<Option<PathBuf>, String> {
    path.map(|path| std::fs::canonicalize(&path).map_err(|e| format!("{}: {e}", path.display())))
        .transpose()
}

pub fn run(command: ControlCommand) -> Result<ExitCode, String> {
    match command {
        ControlCommand::Status { socket, watch } => loop {
            let said = ask(&socket.socket, &json!({"do": "status"}), &mut |_| ())?;
            match socket.json {
                true => println!("{}", said["status"]),
                false => show(&said["status"]),
            }
            match watch {
                Some(every) => std::thread::sleep(every),
                None => return Ok(ExitCode::SUCCESS),
            }
        },
        ControlCommand::Drain { socket } => finish(
            &socket,
            ask(&socket.socket, &json!({"do": "drain"}), &mut |_| ())?,
        ),
        ControlCommand::Upgrade {
            socket,
            program,
            config,
            settings,
            dry_run,
        } => {
            let (program, config, settings) =
                (absolute(program)?, absolute(config)?, absolute(settings)?);
            if dry_run {
                return check(program, config, settings);
            }
            let question = json!({"do": "upgrade", "program": program, "config": config, "settings": settings});
            let json = socket.json;
            let said = ask(&socket.socket, &question, &mut |step| match json {
                true => println!("{step}"),
                false => {
                    println!(
                        "{:>6} ms  {}",
                        step["after_ms"],
                        step["line"].as_str().unwrap_or_default()
                    )
                }
            })?;
            finish(&socket, said)
        }
    }
}

fn finish(socket: &Socket, said: Value) -> Result<ExitCode, String> {
    let line = said["line"].as_str().unwrap_or_default();
    match (socket.json, said["ok"] == true) {
        (true, ok) => {
            println!("{said}");
            Ok(if ok {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        (false, true) => {
            println!("{line}");
            Ok(ExitCode::SUCCESS)
        }
        (false, false) => Err(line.to_owned()),
    }
}

/// Has the new program look at the files that it would be started with.
fn check(
    program: Option<PathBuf>,
    config: Option<PathBuf>,
    settings: Option<PathBuf>,
) -> Result<ExitCode, String> {
    let program = match program {
        Some(program) => program,
        None => std::env::current_exe().map_err(|e| e.to_string())?,
    };
    let mut command = std::process::Command::new(&program);
    command.arg("check");
    for (flag, path) in [("--config", config), ("--settings", settings)] {
        if let Some(path) = path {
            command.arg(flag).arg(path);
        }
    }
    let done = command
        .status()
        .map_err(|e| format!("{}: {e}", program.display()))?;
    match done.success() {
        true => Ok(ExitCode::SUCCESS),
        false => Err(format!("{} does not take these files", program.display())),
    }
}
