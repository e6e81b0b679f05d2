//! The routers of a load: processes of the real program, sampled, killed, restarted and upgraded.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::{EventKind, Failed, Load};
use crate::process::{self, sample};

const BOUND: Duration = Duration::from_secs(10);
const TURN: Duration = Duration::from_millis(2);
struct Router {
    address: SocketAddr,
    config: PathBuf,
    settings: PathBuf,
    socket: PathBuf,
    pid_file: PathBuf,
    child: Child,
    /// Processor time of processes that have gone, and the last of the one that serves, by number; microseconds.
    gone: u64,
    last: (u32, u64),
}

pub struct Routers {
    program: PathBuf,
    routers: Vec<Router>,
    memory: u64,
    descriptors: u64,
}

fn config(
    load: &Load,
    at: usize,
    listen: SocketAddr,
    listed: &str,
    discovery: SocketAddr,
) -> String {
    format!(
        r#"{{"name":"n{at}","listen":"{listen}","discovery":"{discovery}","seed":"{at}7",
            "limits":{{"sockets":{},"memory_mb":{}}},"known":{{"index":1,"snapshot":true,"endpoints":[{listed}]}},
            "settings":{{"areas":["a"],"balancers":{},"zone":0,"tick":1000,"discovery":"on_request",
            "classes":[{{"name":"plain","semantics":"idempotent","onTime":1000000,"deadline":3000000}}],
            "ceilings":{{"attemptsCap":3,"cancel":true,"dialTimeout":250000,"idleClose":9000000,"mostHeld":20000,
                "secondCopies":true,"streamsPerConn":64}},
            "extra":{{"bundleMax":8,"positions":1,"reach":1,"shards":{}}},
            "report":{{"via":"inline","columns":["depth"]}},"rules":{{"askWithin":60000000}}}}}}"#,
        load.sockets, load.memory_mb, load.routers, load.parts
    )
}

impl Router {
    /// The process that serves now, as it has written down.
    fn pid(&self) -> Option<u32> {
        std::fs::read_to_string(&self.pid_file)
            .ok()?
            .trim()
            .parse()
            .ok()
    }
}

impl Routers {
    pub fn start(
        load: &Load,
        program: &Path,
        folder: &Path,
        listed: &str,
        discovery: SocketAddr,
    ) -> Result<Routers, Failed> {
        let mut of = Routers {
            program: program.to_owned(),
            routers: Vec::new(),
            memory: 0,
            descriptors: 0,
        };
        for at in 0..load.routers {
            let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
            let path = |name: &str| folder.join(format!("{name}{at}"));
            let (socket, pid_file) = (path("control"), path("pid"));
            std::fs::write(path("router"), config(load, at, address, listed, discovery))?;
            let control =
                format!("control: {{socket: {socket:?}, upgrade: true, pid_file: {pid_file:?}}}\n");
            std::fs::write(path("settings"), control)?;
            let (config, settings) = (path("router"), path("settings"));
            let child = process::serve(&of.program, &config, &settings).spawn()?;
            let mut router = Router {
                address,
                config,
                settings,
                socket,
                pid_file,
                child,
                gone: 0,
                last: (0, 0),
            };
            let serves = process::listens(&mut router.child, address);
            of.routers.push(router);
            serves?;
        }
        Ok(of)
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.address).collect()
    }

    pub fn sample(&mut self) {
        let (mut memory, mut descriptors) = (0, 0);
        for router in &mut self.routers {
            let Some(pid) = router.pid() else { continue };
            let Some((cpu, kib, fds)) = sample(pid) else {
                continue;
            };
            if router.last.0 != pid {
                router.gone += router.last.1;
            }
            router.last = (pid, cpu);
            (memory, descriptors) = (memory + kib, descriptors + fds);
        }
        (self.memory, self.descriptors) =
            (self.memory.max(memory), self.descriptors.max(descriptors));
    }

    /// Processor time of all so far, in microseconds.
    pub fn cpu(&self) -> u64 {
        self.routers
            .iter()
            .map(|router| router.gone + router.last.1)
            .sum()
    }

    /// Resident KiB of all together, at the highest.
    pub fn most_memory(&self) -> u64 {
        self.memory
    }

    pub fn most_descriptors(&self) -> u64 {
        self.descriptors
    }

    pub fn play(&mut self, kind: EventKind, at: usize) -> Result<String, Failed> {
        let program = self.program.clone();
        let router = &mut self.routers[at];
        let pid = router.pid().unwrap_or_else(|| router.child.id());
        let signal = match kind {
            EventKind::Upgrade => {
                let out = Command::new(&program)
                    .arg("upgrade")
                    .arg("--socket")
                    .arg(&router.socket)
                    .output()?;
                let said = if out.status.success() {
                    &out.stdout
                } else {
                    &out.stderr
                };
                return Ok(String::from_utf8_lossy(said)
                    .lines()
                    .last()
                    .unwrap_or_default()
                    .to_owned());
            }
            EventKind::Kill => Signal::KILL,
            EventKind::Restart => Signal::TERM,
        };
        process::signal(pid, signal);
        let late = Instant::now() + BOUND;
        while sample(pid).is_some() && Instant::now() < late {
            std::thread::sleep(TURN);
        }
        // One that was started here is waited for; heirs of upgrades are nobody's.
        router.child.try_wait()?;
        router.child = process::serve(&program, &router.config, &router.settings).spawn()?;
        process::listens(&mut router.child, router.address)?;
        Ok("serves again".into())
    }
}

impl Drop for Routers {
    fn drop(&mut self) {
        for router in &mut self.routers {
            // Heirs of upgrades are no children of this process; they are known by their numbers.
            if let Some(pid) = router.pid().filter(|pid| *pid != router.child.id()) {
                process::signal(pid, Signal::KILL);
            }
            let _ = router.child.kill();
            let _ = router.child.wait();
        }
    }
}
