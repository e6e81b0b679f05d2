//! The processes of a fleet, their files, and what is done to them from outside.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{json, Value};
use ternpick_history::EventKind;

use super::plan::FleetPlan;
use super::relay::{Pipe, Relay};
use super::History;
use crate::load::Failed;
use crate::process;
use crate::standins::{entry_of, Discovery};

const BOUND: Duration = Duration::from_secs(10);
const TURN: Duration = Duration::from_millis(2);

/// What a disk has when its router starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    AsItWas,
    /// Without the last thing that was written.
    WithoutLast,
    /// As it was copied some time before.
    Older,
    Nothing,
}

pub struct Router {
    pub name: String,
    pub address: SocketAddr,
    /// Where other routers reach it.
    pub fleet_address: SocketAddr,
    pub socket: PathBuf,
    config: PathBuf,
    settings: PathBuf,
    pub folder: PathBuf,
    pid_file: PathBuf,
    child: Option<Child>,
    pub discovery: Discovery,
    pub pipes: Vec<Pipe>,
    pub up: bool,
    pub stopped: bool,
    /// Nothing more can be written on its disk: a start fails there.
    full: bool,
    /// Its seat may be lost: it does not vote, or has yet to be seen doing so.
    pub unseated: bool,
    /// When it was last given another seat.
    pub replaced: Option<Instant>,
    /// Processor time of its processes that have gone, and the last of the one that serves; microseconds.
    cpu: (u64, (u32, u64)),
}

pub struct Routers {
    pub all: Vec<Router>,
    pub relay: Arc<Relay>,
    program: PathBuf,
    pub history: Arc<History>,
    pub voters: usize,
}

/// An address that nobody else is given: of a range of its own for each process, so that a port stays free while its
/// router is down.
fn free(number: usize) -> std::io::Result<SocketAddr> {
    let pid = std::process::id();
    let own = [
        127,
        1 + (pid % 250) as u8,
        1 + (pid / 250 % 250) as u8,
        (number % 250) as u8,
    ];
    TcpListener::bind(SocketAddr::from((own, 0)))?.local_addr()
}

fn config(plan: &FleetPlan, router: &Router, known: &str) -> String {
    let discovery = router.pipes[plan.nodes].address;
    format!(
        r#"{{"name":"{}","listen":"{}","discovery":"{discovery}","seed":"{:x}",
            "limits":{{"sockets":2048,"memory_mb":192}},"known":{{"index":1,"snapshot":true,"endpoints":[{known}]}},
            "settings":{{"areas":["a"],"balancers":{},"zone":0,"tick":1000,"discovery":"on_request",
            "classes":[{{"name":"half","semantics":"idempotent","onTime":600000,"deadline":1500000}},
                       {{"name":"whole","semantics":"idempotent","onTime":600000,"deadline":1500000}},
                       {{"name":"once","semantics":"at_most_once","onTime":600000,"deadline":1500000}}],
            "ceilings":{{"attemptsCap":{},"cancel":true,"dialTimeout":250000,"idleClose":9000000,"mostHeld":2000,
                "secondCopies":true,"streamsPerConn":64}},
            "extra":{{"bundleMax":8,"classNeed":[1,1,1],"minShare":[0.5,1,1],"positions":{},"reach":1,"shards":{}}},
            "report":{{"via":"inline","columns":["depth"]}},"rules":{{"askWithin":60000000,"warmWithin":{}}}}}}}"#,
        router.name,
        router.address,
        0x70 + router.address.port(),
        plan.routers,
        if plan
            .stricter
            .is_some_and(|at| router.name == format!("n{at}"))
        {
            2
        } else {
            4
        },
        plan.sets,
        plan.shards(),
        // A machine that comes back from work is cold for a second.
        if plan.fates { 1_000_000 } else { 0 }
    )
}

fn settings(
    plan: &FleetPlan,
    router: &Router,
    listen: SocketAddr,
    addresses: &[SocketAddr],
) -> String {
    let members: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(at, address)| {
            format!(
                "\t\tn{at}: {{address: \"{address}\", zone: \"z{}\", vote: {}}}\n",
                at % 3,
                at < plan.voters
            )
        })
        .collect();
    if plan.off {
        return format!(
            "control: {{socket: {:?}, pid_file: {:?}}}\n",
            router.socket, router.pid_file
        );
    }
    let works = match plan.works {
        true => "\tworks: {lingers: 1500ms, calm: 300ms, most_out: 0.5, zone_share: 0.3, back_within: 3s, late_over: 0.5}\n",
        false => "",
    };
    let (socket, pid, folder) = (&router.socket, &router.pid_file, &router.folder);
    format!(
        "control: {{socket: {socket:?}, upgrade: true, pid_file: {pid:?}}}\nfleet: {{\n\tname: \"rig\"\n\tlisten: \
         \"{listen}\"\n\tfolder: {folder:?}\n\tlease: {}us\n\trenew: {}us\n{works}\tmembers: {{\n{}\t}}\n}}\n",
        plan.lease,
        plan.renew,
        members.concat()
    )
}

impl Routers {
    /// Founds a fleet and starts it.
    pub fn start(
        plan: &FleetPlan,
        program: &Path,
        folder: &Path,
        nodes: &[SocketAddr],
        history: &Arc<History>,
        seed: u64,
    ) -> Result<Routers, Failed> {
        let names: Vec<String> = (0..plan.routers).map(|at| format!("n{at}")).collect();
        let listens = (0..plan.routers)
            .map(free)
            .collect::<std::io::Result<Vec<_>>>()?;
        let (relay, addresses) = Relay::start(names.clone(), listens.clone(), seed)?;
        let mut all = Vec::new();
        for (at, name) in names.into_iter().enumerate() {
            let own = folder.join(&name);
            std::fs::create_dir_all(&own)?;
            let discovery = Discovery::default();
            let mut pipes = nodes
                .iter()
                .map(|node| Pipe::start(*node))
                .collect::<std::io::Result<Vec<_>>>()?;
            let listed: Vec<String> = pipes
                .iter()
                .enumerate()
                .map(|(at, pipe)| {
                    entry_of(&format!("s{at}"), pipe.address, "Ready", at % plan.sets, 0)
                })
                .collect();
            let listed = listed.join(",");
            discovery.set(|roster| (roster.version, roster.changes) = (1, listed.clone()));
            pipes.push(Pipe::start(discovery.start())?);
            let path = |what: &str| own.join(what);
            let router = Router {
                address: free(plan.routers + at)?,
                fleet_address: addresses[at],
                socket: path("control"),
                config: path("router.json"),
                settings: path("fleet.cue"),
                folder: path("state"),
                pid_file: path("pid"),
                name,
                child: None,
                discovery,
                pipes,
                up: false,
                stopped: false,
                full: false,
                unseated: false,
                replaced: None,
                cpu: (0, (0, 0)),
            };
            std::fs::write(&router.config, config(plan, &router, &listed))?;
            std::fs::write(
                &router.settings,
                settings(plan, &router, listens[at], &addresses),
            )?;
            let founded = Command::new(program)
                .args(["fleet", "init", "--config"])
                .arg(&router.config)
                .arg("--settings")
                .arg(&router.settings)
                .output()?;
            if !plan.off && !founded.status.success() {
                return Err(Failed::NotServing(
                    String::from_utf8_lossy(&founded.stderr).into_owned(),
                ));
            }
            all.push(router);
        }
        let (program, history) = (program.to_owned(), Arc::clone(history));
        let mut routers = Routers {
            all,
            relay,
            program,
            history,
            voters: plan.voters,
        };
        for at in 0..plan.routers {
            routers.begin(at)?;
        }
        for router in &mut routers.all {
            router.listens()?;
        }
        Ok(routers)
    }

    /// Waits until all have their leases: the founding is over.
    pub fn admit(&self) -> Result<(), Failed> {
        let late = Instant::now() + BOUND;
        let has_lease = |router: &Router| {
            router
                .status()
                .is_some_and(|of| of["lease_left_ms"].is_u64())
        };
        while !self.all.iter().all(has_lease) {
            if Instant::now() > late {
                return Err(Failed::NotServing(
                    "the fleet agrees on nothing in time".into(),
                ));
            }
            std::thread::sleep(TURN * 10);
        }
        Ok(())
    }

    /// Starts a router's process, and does not wait for it.
    pub fn begin(&mut self, at: usize) -> Result<(), Failed> {
        let router = &mut self.all[at];
        let mut command = process::serve(&self.program, &router.config, &router.settings);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(router.folder.with_file_name("log"))?;
        command.env("RUST_LOG", "info").stdout(Stdio::null());
        // The log goes through a pipe: a disk that is full for the router is not for its log.
        command.stderr(Stdio::piped());
        let mut child = command.spawn()?;
        if let Some(told) = child.stderr.take() {
            std::thread::spawn(move || {
                let (mut told, mut log) = (told, log);
                // The process's end ends it.
                let _ = std::io::copy(&mut told, &mut log);
            });
        }
        router.child = Some(child);
        router.up = true;
        self.history.note(EventKind::Started {
            router: router.name.clone(),
        });
        Ok(())
    }

    fn ended(&self, at: usize) {
        self.history.note(EventKind::Ended {
            router: self.all[at].name.clone(),
        });
    }

    /// Whoever leads, as it says itself.
    pub fn leader(&self) -> Option<usize> {
        let leads = |router: &Router| {
            router.up && !router.stopped && router.status().is_some_and(|of| of["leads"] == true)
        };
        self.all.iter().position(leads)
    }

    /// Ends a router at once.
    pub fn kill(&mut self, at: usize) {
        if !self.all[at].up {
            return;
        }
        // Told before: whatever is asked of it until it starts again may be lost with it.
        self.ended(at);
        self.all[at].kill();
    }

    /// Tells a router to stop, and starts it again once it has.
    pub fn restart(&mut self, at: usize) -> Result<(), Failed> {
        if let Some(pid) = self.all[at]
            .pid()
            .filter(|_| self.all[at].up && !self.all[at].stopped)
        {
            process::signal(pid, Signal::TERM);
            let late = Instant::now() + BOUND;
            while process::sample(pid).is_some() {
                if Instant::now() > late {
                    return Err(Failed::NotServing(format!(
                        "{} does not stop when told",
                        self.all[at].name
                    )));
                }
                std::thread::sleep(TURN);
            }
            self.all[at].reap();
            self.begin(at)?;
        }
        Ok(())
    }

    /// Starts a router that was ended, with what its disk is to have.
    pub fn start_again(&mut self, at: usize, disk: Disk) -> Result<(), Failed> {
        let router = &mut self.all[at];
        if router.up {
            return Ok(());
        }
        let file = router.folder.join("seat");
        match disk {
            Disk::AsItWas => {}
            Disk::Nothing => {
                std::fs::remove_dir_all(&router.folder).or_else(missing)?;
                router.unseated = at < self.voters;
            }
            Disk::Older => {
                let copy = router.folder.with_file_name("seat.copy");
                if copy.exists() && file.exists() {
                    std::fs::copy(&copy, &file)?;
                    router.unseated = at < self.voters;
                }
            }
            Disk::WithoutLast => {
                if let Ok(whole) = std::fs::read(&file) {
                    let mark = b"ternpick-kept-1 ";
                    let starts: Vec<usize> = whole
                        .windows(mark.len())
                        .enumerate()
                        .filter(|(_, some)| some == mark)
                        .map(|(at, _)| at)
                        .collect();
                    if let Some(last) = starts.last().filter(|last| **last > 0) {
                        std::fs::write(&file, &whole[..*last])?;
                        router.unseated = at < self.voters;
                    }
                }
            }
        }
        self.begin(at)
    }

    /// Copies a router's disk, to be put back later.
    pub fn copy_disk(&self, at: usize) {
        let router = &self.all[at];
        // Where nothing is kept yet there is nothing to copy.
        let _ = std::fs::copy(
            router.folder.join("seat"),
            router.folder.with_file_name("seat.copy"),
        );
    }

    pub fn stop(&mut self, at: usize, stop: bool) {
        let router = &mut self.all[at];
        let Some(pid) = router.pid().filter(|_| router.up) else {
            return;
        };
        let name = router.name.clone();
        match (stop, router.stopped) {
            (true, false) => {
                self.history.note(EventKind::Paused { router: name });
                process::signal(pid, Signal::STOP);
                router.stopped = true;
            }
            (false, true) => {
                process::signal(pid, Signal::CONT);
                self.history.note(EventKind::Paused {
                    router: name.clone(),
                });
                self.history.note(EventKind::Resumed { router: name });
                router.stopped = false;
            }
            _ => {}
        }
    }

    pub fn full_disk(&mut self, at: usize, full: bool) {
        self.all[at].full = full;
        if let Some(pid) = self.all[at].pid().filter(|_| self.all[at].up) {
            process::full_disk(pid, full);
        }
    }

    /// Upgrades a router; whether it went through is its own matter.
    pub fn upgrade(&mut self, at: usize) -> std::io::Result<Child> {
        let mut command = Command::new(&self.program);
        command
            .arg("upgrade")
            .arg("--socket")
            .arg(&self.all[at].socket);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
    }

    /// Ends a router that has ended by itself, in the books: what it had taken is lost, and that is told.
    pub fn look(&mut self) -> Option<String> {
        let mut found = None;
        for at in 0..self.all.len() {
            let gone = self.all[at].up
                && self.all[at]
                    .pid()
                    .is_some_and(|pid| process::sample(pid).is_none());
            if gone && self.all[at].is_reaped() {
                self.all[at].up = false;
                self.ended(at);
                found = Some(self.all[at].name.clone())
                    .filter(|_| !self.all[at].full)
                    .or(found);
            }
        }
        found
    }
}

fn missing(error: std::io::Error) -> std::io::Result<()> {
    match error.kind() {
        std::io::ErrorKind::NotFound => Ok(()),
        _ => Err(error),
    }
}

impl Router {
    fn listens(&mut self) -> Result<(), Failed> {
        match &mut self.child {
            Some(child) => process::listens(child, self.address),
            None => Err(Failed::NotServing(format!("{} was not started", self.name))),
        }
    }

    /// The process that serves now, as it has written down.
    pub fn pid(&self) -> Option<u32> {
        let written = std::fs::read_to_string(&self.pid_file)
            .ok()
            .and_then(|text| text.trim().parse().ok());
        let child = self.child.as_ref().map(Child::id);
        // One that has just started has not written yet, and the file may name one long gone.
        written
            .filter(|pid| process::sample(*pid).is_some())
            .or(child)
    }

    fn kill(&mut self) {
        if let Some(pid) = self.pid() {
            process::signal(pid, Signal::KILL);
        }
        if let Some(child) = &mut self.child {
            // One that has ended already is as good.
            let _ = child.kill();
        }
        self.reap();
        (self.up, self.stopped) = (false, false);
    }

    fn reap(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.wait();
        }
        self.child = None;
        let _ = std::fs::remove_file(&self.pid_file);
    }

    fn is_reaped(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Asks its control socket; none: it does not answer.
    pub fn ask(&self, question: &Value, within: Duration) -> Option<Value> {
        let mut stream = UnixStream::connect(&self.socket).ok()?;
        stream.set_read_timeout(Some(within)).ok()?;
        stream.write_all(format!("{question}\n").as_bytes()).ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        serde_json::from_str(&line).ok()
    }

    /// How it stands in the fleet.
    pub fn status(&self) -> Option<Value> {
        let said = self.ask(
            &json!({"do": "fleet", "ask": "status"}),
            Duration::from_millis(300),
        )?;
        Some(said["fleet"].clone()).filter(Value::is_object)
    }

    /// Processor time so far, in microseconds.
    pub fn cpu(&mut self) -> u64 {
        let now = self
            .pid()
            .and_then(|pid| Some((pid, process::sample(pid)?.0)));
        if let Some((pid, cpu)) = now {
            let (gone, (last, known)) = self.cpu;
            self.cpu = if last == pid {
                (gone, (pid, cpu))
            } else {
                (gone + known, (pid, cpu))
            };
        }
        self.cpu.0 + self.cpu.1 .1
    }
}

impl Drop for Routers {
    fn drop(&mut self) {
        self.relay.end();
        for router in &mut self.all {
            router.kill();
        }
    }
}
