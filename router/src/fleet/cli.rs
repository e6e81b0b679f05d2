//! The commands `ternpick policy` and `ternpick fleet`, over a router's control socket. Exit statuses: 0 done, 1 refused or
//! not so, 2 the call's words are off, 3 not known: the outcome is open.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use serde_json::{json, Value};
use ternpick_consensus::Replica;
use ternpick_fleet_policy::{Member, PolicyState, Record};

use crate::fleet::{chance, founders, number_of, replica_file};
use crate::lifecycle::control::{ask_within, Socket};
use crate::lifecycle::{config, settings};

const OPEN: u8 = 3;
/// How often a command that waits looks again.
const LOOK: Duration = Duration::from_millis(50);
/// A router that has not answered for so long past its time stands still.
const SILENT: Duration = Duration::from_secs(2);

#[derive(Args)]
pub struct Wait {
    /// How long an outcome is waited for; past it the outcome is open (exit status 3), never "failed"
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    pub(super) timeout: Duration,
    /// The number of this command; said again with the same one it is done once
    #[arg(long)]
    pub(super) op: Option<u64>,
}

#[derive(Subcommand)]
pub enum Policy {
    /// Shows the policy that this router goes by
    Show {
        #[command(flatten)]
        socket: Socket,
    },
    /// Looks whether a policy can be read and stays within this router's own settings
    Check {
        #[command(flatten)]
        socket: Socket,
        file: PathBuf,
    },
    /// Tells what would change against the policy in force
    Diff {
        #[command(flatten)]
        socket: Socket,
        file: PathBuf,
    },
    /// Proposes a policy to the fleet
    Propose {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        file: PathBuf,
        /// The version that it was made from; refused if another is in force by now
        #[arg(long)]
        base: Option<u64>,
        /// Waits until it is in force or nowhere, and says for whom it waits
        #[arg(long = "wait")]
        waits: bool,
    },
    /// Confirms a proposal as a second person, where the fleet asks for one
    Confirm {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        number: u64,
        #[arg(long)]
        by: String,
    },
    /// Withdraws a proposal that is not in force yet
    Withdraw {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        number: u64,
        #[arg(long)]
        by: String,
        #[arg(long)]
        reason: String,
    },
    /// Lists the last proposals and what became of them
    History {
        #[command(flatten)]
        socket: Socket,
    },
    /// Tells each change that this router sees, until it is interrupted
    Watch {
        #[command(flatten)]
        socket: Socket,
    },
}

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Makes this router's state at the founding of a fleet; once, before its first start
    Init {
        /// The configuration file, for the router's name
        #[arg(long, env = "ROUTER_CONFIG")]
        config: PathBuf,
        #[arg(long, env = "ROUTER_SETTINGS")]
        settings: PathBuf,
    },
    /// Tells what this router holds, and what the one that leads sees of each member
    Status {
        #[command(flatten)]
        socket: Socket,
    },
    /// Lists the members with their seats
    Members {
        #[command(flatten)]
        socket: Socket,
    },
    /// Takes a router into the fleet
    Add {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        name: String,
        /// Where the others reach it
        #[arg(long)]
        address: String,
        #[arg(long, default_value = "")]
        zone: String,
        /// Gives it a vote, once it has learnt what was agreed
        #[arg(long)]
        vote: bool,
    },
    /// Takes a router out of the fleet; its vote first, if it has one
    Remove {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        name: String,
    },
    /// Gives a router a new seat in place of one whose state is lost or spoilt
    Replace {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        name: String,
    },
    /// Passes the lead to another router that votes
    Transfer {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        wait: Wait,
        name: String,
    },
}

pub(super) type Done = Result<ExitCode, String>;

fn text_of(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("cannot read {}: {e}", file.display()))
}

/// Asks the router; one that stands still is given up a little after the time in which it was to answer.
pub(super) fn to_fleet(socket: &Socket, question: Value) -> Result<Value, String> {
    let mut question = question;
    question["do"] = "fleet".into();
    let within =
        Duration::from_millis(question["wait_ms"].as_u64().unwrap_or(0)).saturating_add(SILENT);
    ask_within(&socket.socket, &question, Some(within), &mut |_| ())
}

fn look(socket: &Socket, what: &str) -> Result<Option<Value>, String> {
    let said = to_fleet(
        socket,
        json!({"ask": "look", "what": what, "wait_ms": 3000}),
    )?;
    Ok(Some(said["look"].clone()).filter(|look| look.is_object()))
}

/// Says how a command ended, and exits by it.
pub(super) fn finish(socket: &Socket, said: &Value, line: impl FnOnce() -> String) -> Done {
    let code = match (said["ok"] == true, said["unknown"] == true) {
        (true, _) => ExitCode::SUCCESS,
        (_, true) => ExitCode::from(OPEN),
        _ => ExitCode::FAILURE,
    };
    if socket.json {
        println!("{said}");
        return Ok(code);
    }
    match said["ok"] == true {
        true => println!("{}", line()),
        false => eprintln!("ternpick: {}", said["line"].as_str().unwrap_or("refused")),
    }
    Ok(code)
}

fn command(socket: &Socket, wait: &Wait, command: Value) -> Result<Value, String> {
    let op = wait.op.unwrap_or_else(chance);
    let wait_ms = u64::try_from(wait.timeout.as_millis()).unwrap_or(u64::MAX);
    let mut said = to_fleet(
        socket,
        json!({"ask": "do", "op": op, "command": command, "wait_ms": wait_ms}),
    )?;
    if said["unknown"] == true {
        said["line"] = format!("{} (--op {op})", said["line"].as_str().unwrap_or_default()).into();
    }
    said["op"] = op.into();
    Ok(said)
}

/// Words and numbers of a row, as a person reads them.
pub(super) fn word(of: &Value) -> String {
    match of {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        other => other.to_string(),
    }
}

pub fn policy(of: Policy) -> Done {
    match of {
        Policy::Show { socket } => {
            let said = to_fleet(&socket, json!({"ask": "show"}))?;
            finish(&socket, &said, || {
                let of = &said["in_force"];
                let head = format!("version {}, epoch {}", of["number"], said["epoch"]);
                match of["text"].as_str().filter(|text| !text.is_empty()) {
                    Some(text) => format!("// {head}\n{}", text.trim_end()),
                    None => format!("{head}: the platform's own settings"),
                }
            })
        }
        Policy::Check { socket, file } => {
            let question = json!({"ask": "check", "name": file.display().to_string(), "text": text_of(&file)?});
            let said = to_fleet(&socket, question)?;
            finish(&socket, &said, || {
                let lines = said["figures"].as_object().into_iter().flatten();
                let lines: Vec<String> = lines
                    .map(|(path, value)| format!("{path} = {}", word(value)))
                    .collect();
                format!("it fits this router\n{}", lines.join("\n"))
            })
        }
        Policy::Diff { socket, file } => {
            let new = Record::read(&file.display().to_string(), &text_of(&file)?)?;
            let said = to_fleet(&socket, json!({"ask": "show"}))?;
            if said["ok"] != true {
                return finish(&socket, &said, String::new);
            }
            let old = Record::read(
                "in force",
                said["in_force"]["text"].as_str().unwrap_or_default(),
            )?;
            let rows = new.differs(&old);
            if socket.json {
                println!(
                    "{}",
                    json!({"base": said["in_force"]["number"], "differs": rows})
                );
            } else if rows.is_empty() {
                println!(
                    "nothing differs from version {}",
                    said["in_force"]["number"]
                );
            } else {
                println!(
                    "{:<40} {:>16} {:>16}",
                    "",
                    format!("version {}", said["in_force"]["number"]),
                    "this file"
                );
                rows.iter()
                    .for_each(|(path, old, new)| println!("{path:<40} {old:>16} {new:>16}"));
            }
            Ok(ExitCode::SUCCESS)
        }
        Policy::Propose {
            socket,
            wait,
            file,
            base,
            waits,
        } => propose(&socket, &wait, &file, base, waits),
        Policy::Confirm {
            socket,
            wait,
            number,
            by,
        } => {
            let said = command(
                &socket,
                &wait,
                json!({"confirm": {"number": number, "by": by}}),
            )?;
            finish(&socket, &said, || {
                format!("proposal {number} is confirmed by {by}")
            })
        }
        Policy::Withdraw {
            socket,
            wait,
            number,
            by,
            reason,
        } => {
            let said = command(
                &socket,
                &wait,
                json!({"withdraw": {"number": number, "by": by, "reason": reason}}),
            )?;
            finish(&socket, &said, || format!("proposal {number} is withdrawn"))
        }
        Policy::History { socket } => {
            let Some(seen) = look(&socket, "policy")? else {
                return nobody(&socket);
            };
            if socket.json {
                println!("{}", seen["history"]);
                return Ok(ExitCode::SUCCESS);
            }
            for past in seen["history"].as_array().into_iter().flatten() {
                let why = past["why"].as_str().map_or(String::new(), |why| {
                    format!(" by {}: {why}", word(&past["by"]))
                });
                let now = if past["number"] == seen["in_force"]["number"] {
                    " (now)"
                } else {
                    ""
                };
                let (number, fate, author) = (
                    word(&past["number"]),
                    word(&past["fate"]),
                    word(&past["author"]),
                );
                println!(
                    "{number:>6}  {fate:<10}{now} {author}: {}{why}",
                    word(&past["reason"])
                );
            }
            Ok(ExitCode::SUCCESS)
        }
        Policy::Watch { socket } => {
            let mut last = Value::Null;
            loop {
                let said = to_fleet(&socket, json!({"ask": "status"}))?;
                if said["unknown"] == true {
                    eprintln!("ternpick: {}", word(&said["line"]));
                    continue;
                }
                let of = &said["fleet"];
                let state = json!([of["version"], of["next"], of["admission"], of["leader"]]);
                if state != last {
                    last = state;
                    show_line(&socket, of);
                }
                std::thread::sleep(LOOK);
            }
        }
    }
}

fn show_line(socket: &Socket, of: &Value) {
    if socket.json {
        return println!("{of}");
    }
    let next = match of["next"].as_object() {
        None => String::new(),
        Some(next) if next["takes_hold"] == true => format!(", {} takes hold", next["number"]),
        Some(next) if next["unconfirmed"] == true => {
            format!(", {} waits for a second person", next["number"])
        }
        Some(next) => format!(", {} is looked at", next["number"]),
    };
    let (member, version) = (word(&of["member"]), word(&of["version"]));
    println!(
        "{member}: version {version}{next}; {}; {} leads",
        word(&of["admission"]),
        word(&of["leader"])
    );
}

pub(super) fn nobody(socket: &Socket) -> Done {
    let said = json!({"ok": false, "unknown": true, "line": "nobody that leads is reached"});
    finish(socket, &said, String::new)
}

fn propose(socket: &Socket, wait: &Wait, file: &Path, base: Option<u64>, waits: bool) -> Done {
    let text = text_of(file)?;
    let record = Record::read(&file.display().to_string(), &text)?;
    let began = Instant::now();
    let of = json!({"propose": {"base": base, "text": text, "author": record.author, "reason": record.reason}});
    let said = command(socket, wait, of)?;
    let number = said["number"].clone();
    if said["ok"] != true || !waits {
        return finish(socket, &said, || format!("proposal {number} is on its way"));
    }
    let (terminal, mut told) = (
        std::io::stderr().is_terminal() && !socket.json,
        String::new(),
    );
    while began.elapsed() < wait.timeout {
        if let Some(seen) = look(socket, "members")? {
            let past = seen["history"]
                .as_array()
                .into_iter()
                .flatten()
                .find(|past| past["number"] == number)
                .cloned();
            let took = began.elapsed().as_millis();
            match past.as_ref().and_then(|past| past["fate"].as_str()) {
                Some("in_force") => {
                    let said = json!({"ok": true, "number": number, "fate": "in_force", "took_ms": took, "op": said["op"]});
                    return finish(socket, &said, || {
                        format!("version {number} is in force, after {took} ms")
                    });
                }
                Some(fate @ ("refused" | "withdrawn")) => {
                    let past = past.clone().unwrap_or_default();
                    let line = format!(
                        "{number} is nowhere: {fate} by {}, {}",
                        word(&past["by"]),
                        word(&past["why"])
                    );
                    let said = json!({"ok": false, "number": number, "fate": fate, "by": past["by"], "why": past["why"],
                        "line": line, "op": said["op"]});
                    return finish(socket, &said, String::new);
                }
                _ => {}
            }
            let line = waits_for(&seen);
            if terminal && line != told {
                eprintln!("{:>6} ms  {line}", began.elapsed().as_millis());
                told = line;
            }
        }
        std::thread::sleep(LOOK);
    }
    let line = format!(
        "proposal {number} is open: neither in force nor withdrawn after {:?}; {told}",
        wait.timeout
    );
    finish(
        socket,
        &json!({"ok": false, "unknown": true, "number": number, "line": line, "op": said["op"]}),
        String::new,
    )
}

/// Who has yet to confirm, who is silent, and until when it can take.
fn waits_for(seen: &Value) -> String {
    if seen["next"]["unconfirmed"] == true {
        return "it waits for a second person: ternpick policy confirm".into();
    }
    let rows = || seen["rows"].as_array().into_iter().flatten();
    let silent = |row: &&Value| row["heard_ms_ago"].as_u64().is_none_or(|ago| ago > 1000);
    let names = |rows: Vec<&Value>| {
        rows.iter()
            .map(|row| word(&row["member"]))
            .collect::<Vec<_>>()
            .join(", ")
    };
    let down = names(rows().filter(silent).collect());
    let missing = names(
        rows()
            .filter(|row| row["fits"] == false && !silent(row))
            .collect(),
    );
    let mut words = format!(
        "{} of {} have confirmed",
        word(&seen["next"]["fit"]),
        word(&seen["members"])
    );
    if !missing.is_empty() {
        words += &format!("; not yet: {missing}");
    }
    if !down.is_empty() {
        let latest = word(&seen["latest_ms"]);
        words += &format!("; silent: {down}, in force without them in {latest} ms at the latest");
    }
    words
}

pub fn fleet(of: FleetCommand) -> Done {
    match of {
        FleetCommand::Init { config, settings } => init(&config, &settings),
        FleetCommand::Status { socket } => status(&socket),
        FleetCommand::Members { socket } => {
            let Some(seen) = look(&socket, "members")? else {
                return nobody(&socket);
            };
            if socket.json {
                println!("{}", seen["rows"]);
            } else {
                rows(&seen);
            }
            Ok(ExitCode::SUCCESS)
        }
        FleetCommand::Add {
            socket,
            wait,
            name,
            address,
            zone,
            vote,
        } => {
            address
                .parse::<std::net::SocketAddr>()
                .map_err(|_| format!("{address} is no address and port"))?;
            let of = json!({"add": {"member": name, "address": address, "zone": zone}});
            let mut said = command(&socket, &wait, of)?;
            if said["ok"] == true && vote {
                said = command(
                    &socket,
                    &Wait { op: None, ..wait },
                    json!({"seat": {"member": name}}),
                )?;
            }
            finish(&socket, &said, || match said["seat"].as_u64() {
                Some(seat) => {
                    format!("{name} belongs to the fleet, and has seat {seat} once it has learnt")
                }
                None => format!("{name} belongs to the fleet"),
            })
        }
        FleetCommand::Remove { socket, wait, name } => {
            let Some(seen) = look(&socket, "members")? else {
                return nobody(&socket);
            };
            let mut of = seen["rows"].as_array().into_iter().flatten();
            let votes = of.any(|row| row["member"] == name && !row["seat"].is_null());
            if votes {
                let said = command(
                    &socket,
                    &Wait { op: None, ..wait },
                    json!({"unseat": {"member": name}}),
                )?;
                if said["ok"] != true {
                    return finish(&socket, &said, String::new);
                }
            }
            let said = command(&socket, &wait, json!({"remove": {"member": name}}))?;
            finish(&socket, &said, || {
                format!("{name} belongs to the fleet no longer")
            })
        }
        FleetCommand::Replace { socket, wait, name } => {
            let said = command(&socket, &wait, json!({"seat": {"member": name}}))?;
            finish(&socket, &said, || {
                format!(
                    "{name} has seat {} in place of any earlier one, and votes once it has learnt",
                    said["seat"]
                )
            })
        }
        FleetCommand::Transfer { socket, wait, name } => {
            let said = command(&socket, &wait, json!({"transfer": {"to": name}}))?;
            finish(&socket, &said, || format!("the lead is offered to {name}"))
        }
    }
}

fn init(config: &Path, path: &Path) -> Done {
    let opening = config::read(config)?;
    let settings = settings::read(path)?.for_router(&opening.name);
    let terms = settings
        .fleet
        .ok_or_else(|| format!("{}: no fleet in it", path.display()))?;
    let (members, me) = (founders(&terms), Member::from(opening.name.as_str()));
    let folder = PathBuf::from(&terms.folder);
    let Some(own) = members.get(&me) else {
        return Err(format!(
            "{}: {me} is no member of fleet {}",
            path.display(),
            terms.name
        ));
    };
    let Some(seat) = own.replica else {
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        println!("{me} has no vote and needs no state");
        return Ok(ExitCode::SUCCESS);
    };
    let Some(_held) = ternpick_store::lock_directory(&folder).map_err(|fault| fault.to_string())?
    else {
        return Err(format!("a router uses {} just now", folder.display()));
    };
    if replica_file::path(&folder).exists() {
        return Err(format!(
            "{} is there already: a fleet is founded once. A router that has lost its state gets a new seat by \
             'ternpick fleet replace {me}'",
            replica_file::path(&folder).display()
        ));
    }
    let voters: Vec<_> = members.values().filter_map(|of| of.replica).collect();
    let state = postcard::to_stdvec(&PolicyState::bootstrap(members)).map_err(|e| e.to_string())?;
    let image = Replica::bootstrap(number_of(&terms.name), seat, &voters, state);
    replica_file::keep(&folder, &mut None, 0, &image)?;
    println!(
        "{me} has seat {seat} of {} in fleet {}, kept in {}",
        voters.len(),
        terms.name,
        folder.display()
    );
    Ok(ExitCode::SUCCESS)
}

fn rows(seen: &Value) {
    println!(
        "{:<12} {:<22} {:<10} {:>5} {:>12} {:>9} {:>8} {:>8}",
        "member", "address", "zone", "seat", "heard ms ago", "knows to", "fits", "stopped"
    );
    for row in seen["rows"].as_array().into_iter().flatten() {
        let seat = word(&row["seat"]) + if row["learns"] == true { "*" } else { "" };
        println!(
            "{:<12} {:<22} {:<10} {seat:>5} {:>12} {:>9} {:>8} {:>8}",
            word(&row["member"]),
            word(&row["address"]),
            word(&row["zone"]),
            word(&row["heard_ms_ago"]),
            word(&row["knows_up_to"]),
            word(&row["fits"]),
            word(&row["stopped"])
        );
    }
}

fn status(socket: &Socket) -> Done {
    let said = to_fleet(socket, json!({"ask": "status"}))?;
    if said["unknown"] == true {
        return finish(socket, &said, String::new);
    }
    let seen = look(socket, "members")?;
    if socket.json {
        println!("{}", json!({"own": said["fleet"], "leader": seen}));
        return Ok(ExitCode::SUCCESS);
    }
    let of = &said["fleet"];
    println!(
        "fleet {}, this is {}",
        word(&of["fleet"]),
        word(&of["member"])
    );
    println!(
        "version {} (epoch {}, up to entry {}); {}; lease left {} ms",
        word(&of["version"]),
        word(&of["epoch"]),
        word(&of["knows_up_to"]),
        word(&of["admission"]),
        word(&of["lease_left_ms"])
    );
    match of["seat"].as_object() {
        Some(seat) => println!(
            "seat {}: {}, term {}, entries to {}, agreed to {}, played to {}",
            seat["seat"],
            word(&seat["standing"]),
            seat["term"],
            seat["last"],
            seat["agreed"],
            seat["played"]
        ),
        None => println!(
            "no vote{}",
            of["seat_words"]
                .as_str()
                .map_or(String::new(), |words| format!(": {words}"))
        ),
    }
    let Some(seen) = seen else {
        println!("nobody that leads is reached");
        return Ok(ExitCode::from(OPEN));
    };
    println!(
        "{} leads, entry {}, version {} in force",
        word(&seen["leader"]),
        seen["index"],
        seen["in_force"]["number"]
    );
    if seen["next"].is_object() {
        println!(
            "proposal {} by {}: {}",
            seen["next"]["number"],
            word(&seen["next"]["author"]),
            waits_for(&seen)
        );
    }
    rows(&seen);
    Ok(ExitCode::SUCCESS)
}
