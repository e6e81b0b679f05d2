//! The commands `ternpick works ...`: what operators ask, see and hand back.

use std::process::{Command, ExitCode, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use serde_json::{json, Value};

use crate::fleet::chance;
use crate::fleet::cli::{finish, nobody, to_fleet, word, Done, Wait};
use crate::lifecycle::control::Socket;

/// How often a command that waits looks.
const LOOK: Duration = Duration::from_millis(200);
/// What a command ends with that has run nothing because its turn did not come.
const NOT_YET: u8 = 4;

#[derive(Args)]
pub struct Which {
    /// Machines by the names that discovery gives them
    machines: Vec<String>,
    /// All machines of a group
    #[arg(long)]
    group: Vec<u64>,
    /// All machines of a zone
    #[arg(long)]
    zone: Vec<String>,
    /// Of these, or of all, only machines that have been up for so long
    #[arg(long, value_parser = humantime::parse_duration)]
    up_for: Option<Duration>,
    /// How long the work on one machine takes
    #[arg(long, default_value = "30m", value_parser = humantime::parse_duration)]
    lasts: Duration,
    /// Not before so long from now
    #[arg(long = "in", value_parser = humantime::parse_duration)]
    after: Option<Duration>,
    /// Done within so long from now
    #[arg(long, value_parser = humantime::parse_duration)]
    within: Option<Duration>,
    /// Higher goes first
    #[arg(long, default_value_t = 0)]
    priority: u8,
    /// All at once, or none
    #[arg(long)]
    together: bool,
}

#[derive(Subcommand)]
pub enum Works {
    /// Asks for machines; tells at once if that can't be met, and what would have to give
    Ask {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        #[command(flatten)]
        which: Which,
        #[arg(long)]
        why: String,
        #[arg(long)]
        by: String,
    },
    /// Tells what would be done with these machines as well, in which order, how long it takes, and what binds
    Plan {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        which: Which,
    },
    /// Lists the machines in work: states, since when, who waits for what
    List {
        #[command(flatten)]
        socket: Socket,
    },
    /// Shows one request
    Show {
        #[command(flatten)]
        socket: Socket,
        request: u64,
    },
    /// Waits until a permit is there to be taken, and tells it
    Next {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        /// Only of this request
        #[arg(long)]
        request: Option<u64>,
    },
    /// Takes a permit: from here on the machine is yours
    Begin {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        permit: u64,
        #[arg(long)]
        by: String,
    },
    /// Gives a permit back
    Done {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        permit: u64,
        #[arg(long)]
        by: String,
        /// The machine is not fit, and stays out
        #[arg(long)]
        failed: Option<String>,
    },
    /// Lets nothing more go out; what is out stays out
    Hold {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        #[arg(long)]
        by: String,
        #[arg(long)]
        why: String,
    },
    /// Ends a hold, the fleet's own too
    Resume {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        #[arg(long)]
        by: String,
    },
    /// Gives an open request another time by which it is wanted, and another priority
    Change {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        request: u64,
        /// Done within so long from now; without it there is no such time
        #[arg(long, value_parser = humantime::parse_duration)]
        within: Option<Duration>,
        #[arg(long, default_value_t = 0)]
        priority: u8,
        #[arg(long)]
        by: String,
    },
    /// Cancels what has no permit yet of a request
    Cancel {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        request: u64,
        #[arg(long)]
        by: String,
    },
    /// Tells what has happened
    History {
        #[command(flatten)]
        socket: Socket,
    },
    /// Takes the next machine of a request when its turn comes, runs a command (TERNPICK_MACHINE, TERNPICK_PERMIT), and gives
    /// it back by its exit status. Run again after it was killed, it goes on with the machine it had
    Exec {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        #[arg(long)]
        request: u64,
        #[arg(long)]
        by: String,
        #[arg(last = true, required = true)]
        command: Vec<String>,
    },
}

/// When so much time will have passed, by the wall clock in milliseconds.
fn from_now(span: Duration) -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.saturating_add(span).as_millis()).unwrap_or(u64::MAX)
}

fn micros(of: Duration) -> u64 {
    u64::try_from(of.as_micros()).unwrap_or(u64::MAX)
}

fn request(which: &Which, why: &str, by: &str) -> Value {
    let request = json!({"machines": [], "why": why, "by": by, "lasts": micros(which.lasts),
        "not_before": which.after.map(from_now), "by_when": which.within.map(from_now), "priority": which.priority,
        "together": which.together});
    json!({"ask": "works", "request": request, "machines": which.machines, "groups": which.group, "zones": which.zone,
        "up_for": which.up_for.map(micros)})
}

fn put(socket: &Socket, wait: &Wait, mut question: Value) -> Result<Value, String> {
    let op = wait.op.unwrap_or_else(chance);
    question["ask"] = "works".into();
    question["op"] = op.into();
    question["wait_ms"] = (micros(wait.timeout) / 1000).into();
    let mut said = to_fleet(socket, question)?;
    if said["unknown"] == true {
        said["line"] = format!("{} (--op {op})", said["line"].as_str().unwrap_or_default()).into();
    }
    said["op"] = op.into();
    Ok(said)
}

fn entry(socket: &Socket, wait: &Wait, entry: Value) -> Result<Value, String> {
    put(socket, wait, json!({"entry": entry}))
}

/// What the one that carries the work on sees; none: nobody that leads is reached.
fn look(socket: &Socket) -> Result<Result<Value, Value>, String> {
    let said = to_fleet(
        socket,
        json!({"ask": "works", "what": "works", "wait_ms": 3000}),
    )?;
    let seen = said["look"].clone();
    Ok(if seen.is_object() {
        Ok(seen)
    } else {
        Err(said)
    })
}

fn span(ms: &Value) -> String {
    let ms = ms.as_u64().unwrap_or(0);
    humantime::format_duration(Duration::from_secs(ms / 1000)).to_string()
}

fn names(of: &Value) -> String {
    of.as_array()
        .into_iter()
        .flatten()
        .map(word)
        .collect::<Vec<_>>()
        .join(", ")
}

fn rows(rows: &[&Value]) {
    println!(
        "{:<8} {:<20} {:<17} {:>10} {:>8}  waits for",
        "request", "machine", "state", "for", "permit"
    );
    for row in rows {
        let waits = match (
            names(&row["waits_for"]),
            &row["binds"],
            &row["begun"],
            &row["failed"],
        ) {
            (members, ..) if !members.is_empty() => format!("{members} to be quiet there"),
            (_, Value::String(binds), ..) => binds.clone(),
            (_, _, _, Value::String(failed)) => format!("{}: {failed}", word(&row["begun"])),
            (_, _, Value::String(begun), _) => {
                format!(
                    "{begun}{}",
                    if row["overdue"] == true {
                        ", overdue"
                    } else {
                        ""
                    }
                )
            }
            _ => String::new(),
        };
        let waiting = row["state"] == "waits";
        println!(
            "{:<8} {:<20} {:<17} {:>10} {:>8}  {waits}",
            word(&row["request"]),
            word(&row["machine"]),
            word(&row["state"]),
            if waiting {
                "-".into()
            } else {
                span(&row["for_ms"])
            },
            word(&row["permit"])
        );
    }
}

fn head(seen: &Value) {
    println!(
        "{} carries the work on, number {}",
        word(&seen["carrier"]),
        word(&seen["fence"])
    );
    if seen["hold"].is_object() {
        println!(
            "held by {}: {}",
            word(&seen["hold"]["by"]),
            word(&seen["hold"]["why"])
        );
    }
}

fn plan(of: &Value) {
    let rounds: Vec<&Value> = of["rounds"].as_array().into_iter().flatten().collect();
    println!(
        "{} rounds (at least {}), {} of work",
        rounds.len(),
        word(&of["bound"]),
        span(&of["lasts_ms"])
    );
    for (at, round) in rounds.iter().enumerate() {
        println!(
            "{:>4}  {:<10} {}",
            at + 1,
            span(&round["lasts_ms"]),
            names(&round["machines"])
        );
    }
    for cannot in of["cannot"].as_array().into_iter().flatten() {
        println!(
            "never  {}: {}",
            names(&cannot["machines"]),
            word(&cannot["binds"])
        );
    }
}

/// A permit that nobody has taken, or that this one has.
fn mine(seen: &Value, request: Option<u64>, by: Option<&str>) -> Option<Value> {
    let rows = seen["rows"].as_array().into_iter().flatten();
    let own = rows.filter(|row| request.is_none() || row["request"].as_u64() == request);
    let free = |row: &&Value| {
        let begun = row["begun"].as_str();
        match row["state"].as_str() {
            Some("permitted") => true,
            Some("in work") => by.is_some() && begun == by,
            _ => false,
        }
    };
    // What it had before goes first.
    own.filter(free)
        .max_by_key(|row| row["state"] == "in work")
        .cloned()
}

/// Whether a request is open.
fn is_open(seen: &Value, request: u64) -> bool {
    let mut rows = seen["rows"].as_array().into_iter().flatten();
    rows.any(|row| row["request"] == request)
}

fn next(socket: &Socket, wait: &Wait, request: Option<u64>) -> Done {
    let began = Instant::now();
    loop {
        if let Ok(seen) = look(socket)? {
            if let Some(row) = mine(&seen, request, None) {
                let said = json!({"ok": true, "permit": row["permit"], "machine": row["machine"], "request": row["request"]});
                let line = format!(
                    "permit {} for {}",
                    word(&row["permit"]),
                    word(&row["machine"])
                );
                return finish(socket, &said, || line);
            }
        }
        if began.elapsed() >= wait.timeout {
            let said = json!({"ok": false, "unknown": true, "line": "no permit is there yet"});
            return finish(socket, &said, String::new);
        }
        std::thread::sleep(LOOK);
    }
}

fn exec(socket: &Socket, wait: &Wait, request: u64, by: &str, command: &[String]) -> Done {
    let began = Instant::now();
    let row = loop {
        if let Ok(seen) = look(socket)? {
            if let Some(row) = mine(&seen, Some(request), Some(by)) {
                break row;
            }
            if !is_open(&seen, request) {
                let said = json!({"ok": false, "line": format!("request {request} is not open")});
                return finish(socket, &said, String::new);
            }
        }
        if began.elapsed() >= wait.timeout {
            eprintln!("ternpick: the turn of request {request} has not come yet; nothing was run");
            return Ok(ExitCode::from(NOT_YET));
        }
        std::thread::sleep(LOOK);
    };
    let (permit, machine) = (row["permit"].as_u64().unwrap_or(0), word(&row["machine"]));
    let said = entry(socket, wait, json!({"begin": {"permit": permit, "by": by}}))?;
    if said["ok"] != true {
        // Nothing was run: whoever runs this again finds the permit as it is.
        return finish(socket, &said, String::new);
    }
    let mut run = Command::new(&command[0]);
    run.args(&command[1..])
        .env("TERNPICK_MACHINE", &machine)
        .env("TERNPICK_PERMIT", permit.to_string());
    let failed = match run.stdin(Stdio::inherit()).status() {
        Ok(status) if status.success() => None,
        Ok(status) => Some(format!("{} ended with {status}", command[0])),
        Err(e) => Some(format!("{} could not be run: {e}", command[0])),
    };
    let op = chance();
    let late = Instant::now();
    loop {
        let wait = Wait {
            timeout: Duration::from_secs(3),
            op: Some(op),
        };
        let said = entry(
            socket,
            &wait,
            json!({"done": {"permit": permit, "by": by, "failed": failed}}),
        )?;
        if said["unknown"] != true || late.elapsed() >= wait.timeout * 20 {
            if let Some(words) = &failed {
                let said = json!({"ok": false, "machine": machine, "permit": permit,
                    "line": format!("{machine} stays out: {words}")});
                return finish(socket, &said, String::new);
            }
            return finish(socket, &said, || format!("{machine} is given back"));
        }
        std::thread::sleep(LOOK);
    }
}

pub fn works(of: Works) -> Done {
    match of {
        Works::Ask {
            socket,
            wait,
            which,
            why,
            by,
        } => {
            let said = put(&socket, &wait, request(&which, &why, &by))?;
            finish(&socket, &said, || {
                format!("request {} is taken", said["number"])
            })
        }
        Works::Plan { socket, which } => {
            let mut question = request(&which, "", "");
            question["what"] = "works-plan".into();
            question["wait_ms"] = 3000.into();
            let said = to_fleet(&socket, question)?;
            match said["look"].is_object() {
                true if socket.json => println!("{}", said["look"]),
                true => plan(&said["look"]),
                false => return finish(&socket, &said, String::new),
            }
            Ok(ExitCode::SUCCESS)
        }
        Works::List { socket } => match look(&socket)? {
            Ok(seen) if socket.json => {
                println!("{seen}");
                Ok(ExitCode::SUCCESS)
            }
            Ok(seen) => {
                head(&seen);
                rows(
                    &seen["rows"]
                        .as_array()
                        .into_iter()
                        .flatten()
                        .collect::<Vec<_>>(),
                );
                Ok(ExitCode::SUCCESS)
            }
            Err(said) if said["unknown"] == true => nobody(&socket),
            Err(said) => finish(&socket, &said, String::new),
        },
        Works::Show { socket, request } => match look(&socket)? {
            Ok(seen) => {
                let all = seen["rows"].as_array().into_iter().flatten();
                let own: Vec<&Value> = all.filter(|row| row["request"] == request).collect();
                if own.is_empty() {
                    let said =
                        json!({"ok": false, "line": format!("request {request} is not open")});
                    return finish(&socket, &said, String::new);
                }
                if socket.json {
                    println!("{}", json!(own));
                } else {
                    println!(
                        "request {request} by {}: {}",
                        word(&own[0]["by"]),
                        word(&own[0]["why"])
                    );
                    rows(&own);
                }
                Ok(ExitCode::SUCCESS)
            }
            Err(said) => finish(&socket, &said, String::new),
        },
        Works::Next {
            socket,
            wait,
            request,
        } => next(&socket, &wait, request),
        Works::Begin {
            socket,
            wait,
            permit,
            by,
        } => {
            let said = entry(
                &socket,
                &wait,
                json!({"begin": {"permit": permit, "by": by}}),
            )?;
            finish(&socket, &said, || format!("permit {permit} is {by}'s"))
        }
        Works::Done {
            socket,
            wait,
            permit,
            by,
            failed,
        } => {
            let said = entry(
                &socket,
                &wait,
                json!({"done": {"permit": permit, "by": by, "failed": failed}}),
            )?;
            finish(&socket, &said, || format!("permit {permit} is given back"))
        }
        Works::Hold {
            socket,
            wait,
            by,
            why,
        } => {
            let said = entry(&socket, &wait, json!({"hold": {"by": by, "why": why}}))?;
            finish(&socket, &said, || "nothing more goes out".into())
        }
        Works::Resume { socket, wait, by } => {
            let said = entry(&socket, &wait, json!({"resume": {"by": by}}))?;
            finish(&socket, &said, || "it goes on".into())
        }
        Works::Change {
            socket,
            wait,
            request,
            within,
            priority,
            by,
        } => {
            let by_when = within.map(from_now);
            let of =
                json!({"request": request, "by_when": by_when, "priority": priority, "by": by});
            let said = entry(&socket, &wait, json!({"change": of}))?;
            finish(&socket, &said, || format!("request {request} is changed"))
        }
        Works::Cancel {
            socket,
            wait,
            request,
            by,
        } => {
            let said = entry(
                &socket,
                &wait,
                json!({"cancel": {"request": request, "by": by}}),
            )?;
            finish(&socket, &said, || {
                format!(
                    "{} machines of request {request} are cancelled",
                    said["number"]
                )
            })
        }
        Works::History { socket } => match look(&socket)? {
            Ok(seen) if socket.json => {
                println!("{}", seen["past"]);
                Ok(ExitCode::SUCCESS)
            }
            Ok(seen) => {
                for past in seen["past"].as_array().into_iter().flatten() {
                    println!("{:>8}  {}", word(&past["at"]), word(&past["words"]));
                }
                Ok(ExitCode::SUCCESS)
            }
            Err(said) => finish(&socket, &said, String::new),
        },
        Works::Exec {
            socket,
            wait,
            request,
            by,
            command,
        } => exec(&socket, &wait, request, &by, &command),
    }
}
