//! The old side of an upgrade, driven: starts the new process, carries out what [`ternpick_hot_restart::OldProcess`] says, and
//! passes clients' connections on. Also how a lease is put to use, on both sides.

use std::cell::{Cell, RefCell};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;
use rustix::process::{kill_process, Pid, Signal};
use ternpick::types::Micros;
use ternpick_hot_restart::{Effect, Lease, Message, NewProcessEvent, OldProcess, StepTimeouts};

use crate::lifecycle::hot_restart_link::Link;
use crate::lifecycle::settings::ControlTerms;
use crate::lifecycle::snapshot::Snapshot;
use crate::router::Router;
use crate::state::client_transfer::PassedClient;
use crate::state::descriptors::OWN;

/// How often it is looked whether the new process lives, and whether anything is left here.
const LOOK: Micros = Micros(10_000);
/// A link that has ended while the process lives is only broken once the process had the time to be seen dead.
const SEEN_DEAD: Micros = Micros(200_000);
/// Bytes of the snapshot in one message.
const PIECE: usize = 64 * 1024;
/// Connections to nodes that a draining process may still open for what it has in hand.
const SPARE_SOCKETS: usize = 8;

/// Lookups and parts that each client's connection may still bring here.
const HELD_A_CLIENT: usize = 4;

/// What a router may use in all, and how much of it this process does while another has a part.
pub struct Share {
    whole: Lease,
    /// What this process may use now.
    has: Cell<Lease>,
    total: usize,
    memory: usize,
}

impl Share {
    pub fn of(router: &Router) -> Share {
        let desk = router.decisions.borrow();
        let number = |of: usize| u32::try_from(of).unwrap_or(u32::MAX);
        let (total, memory) = (router.descriptors.total(), router.budget.limit());
        let whole = Lease {
            held: desk.effects.bounds.most_held.map_or(u32::MAX, number),
            extra: desk.engine.config.retry_budget_min.clamp(0.0, 1e9) as u32,
            // The new process has descriptors of its own beside its peers', out of the same number.
            sockets: number(total.saturating_sub(OWN)),
            memory: memory as u64,
        };
        Share {
            whole,
            has: Cell::new(whole),
            total,
            memory,
        }
    }

    pub fn whole(&self) -> Lease {
        self.whole
    }

    /// What is in use here now.
    fn uses(&self, router: &Router) -> Lease {
        // Requests that are half read here are taken here.
        let half_read = HELD_A_CLIENT * router.descriptors.clients();
        let held = router.decisions.borrow().effects.in_flight.held() + half_read;
        let sockets = router.descriptors.held() + SPARE_SOCKETS;
        let number = |of: usize| u32::try_from(of).unwrap_or(u32::MAX);
        Lease {
            held: number(held),
            extra: 0,
            sockets: number(sockets),
            memory: router.budget.used() as u64,
        }
    }

    /// Puts a lease to use. `goes_on`: this process takes in new lookups.
    pub fn put_to_use(&self, router: &Router, lease: Lease, goes_on: bool) {
        let whole = lease == self.whole;
        self.has.set(lease);
        let mut desk = router.decisions.borrow_mut();
        let desk = &mut *desk;
        desk.effects.shared_limit =
            (!whole && lease.held < u32::MAX).then_some(lease.held as usize);
        if whole {
            desk.engine.serve_whole();
            if let Some(limits) = &mut desk.effects.limits {
                limits.other_done();
            }
            router.descriptors.set_total(self.total);
            router.budget.set_limit(self.memory);
            return;
        }
        desk.engine.serve_share(f64::from(lease.extra), goes_on);
        router.descriptors.set_total(lease.sockets as usize);
        router
            .budget
            .set_limit(usize::try_from(lease.memory).unwrap_or(usize::MAX));
    }
}

/// What a new process is started as.
#[derive(Clone, Debug)]
pub struct Start {
    pub program: PathBuf,
    pub config: PathBuf,
    pub settings: PathBuf,
}

pub fn patience(of: &ControlTerms) -> StepTimeouts {
    let (hello, step) = (Micros(of.hello), Micros(of.step));
    StepTimeouts {
        hello,
        step,
        ready: Micros(of.ready),
        silence: Micros(of.silence),
    }
}

pub struct Upgrades {
    pub machine: RefCell<OldProcess>,
    pub share: Rc<Share>,
    pub listeners: Vec<OwnedFd>,
    /// The process that has taken over, for who stays as its parent.
    pub heir: RefCell<Option<Child>>,
    pub begun: Cell<u32>,
}

/// What a wait has brought.
enum Came {
    Message(Message),
    Broke,
    Nothing,
}

struct Run<'a> {
    router: &'a Rc<Router>,
    of: &'a Upgrades,
    start: &'a Start,
    link: Option<Link>,
    child: Option<Child>,
    asked_to_end: bool,
    broke: Option<Micros>,
    left: bool,
    why: String,
}

impl Run<'_> {
    fn spawn(&mut self) -> Result<(), String> {
        let (ours, theirs) = UnixStream::pair().map_err(|e| format!("no link: {e}"))?;
        let Start {
            program,
            config,
            settings,
        } = self.start;
        let mut command = Command::new(program);
        command
            .arg("serve")
            .arg("--config")
            .arg(config)
            .arg("--settings")
            .arg(settings)
            .arg("--take-over")
            .arg(std::process::id().to_string());
        command.stdin(Stdio::from(OwnedFd::from(theirs)));
        self.child = Some(
            command
                .spawn()
                .map_err(|e| format!("{} cannot be started: {e}", program.display()))?,
        );
        self.link = Some(Link::new(ours).map_err(|e| format!("no link: {e}"))?);
        Ok(())
    }

    async fn send(&mut self, message: &Message, listeners: bool) {
        let fds: Vec<_> = match listeners {
            true => self.of.listeners.iter().map(AsFd::as_fd).collect(),
            false => Vec::new(),
        };
        let Some(link) = &self.link else { return };
        // A new process that reads nothing is found out by the time of the step.
        let due = self.of.machine.borrow().next_timeout();
        let sent = self
            .router
            .with_deadline(due, link.send(message, &fds))
            .await;
        if !matches!(sent, Some(Ok(()))) {
            self.broke = self.broke.or(Some(self.router.clock.now()));
        }
    }

    /// Ends the new process: asked, and the second time for good.
    fn end_peer(&mut self) {
        let Some(child) = &mut self.child else { return };
        let pid = Pid::from_child(child);
        let ended = match std::mem::replace(&mut self.asked_to_end, true) {
            false => kill_process(pid, Signal::TERM).is_ok(),
            true => child.kill().is_ok(),
        };
        if !ended {
            tracing::debug!("upgrade: the new process is gone already");
        }
    }

    async fn carry_out(&mut self, effects: Vec<Effect>, say: &mut dyn FnMut(&str)) {
        let router = self.router;
        for effect in effects {
            match effect {
                Effect::Spawn => {
                    if let Err(what) = self.spawn() {
                        say(&what);
                        self.why = what;
                        self.child = None;
                    }
                }
                Effect::Send(message) => self.send(&message, false).await,
                Effect::PassListeners => {
                    let count = u8::try_from(self.of.listeners.len()).unwrap_or(u8::MAX);
                    self.send(&Message::Descriptors { count }, true).await;
                }
                Effect::PassState => {
                    let bytes = Snapshot::take(router).bytes();
                    say(&format!("state: {} bytes", bytes.len()));
                    let pieces: Vec<&[u8]> = bytes.chunks(PIECE).collect();
                    for (at, piece) in pieces.iter().enumerate() {
                        let left = u32::try_from(pieces.len() - 1 - at).unwrap_or(u32::MAX);
                        self.send(
                            &Message::State {
                                left,
                                piece: piece.to_vec(),
                            },
                            false,
                        )
                        .await;
                    }
                }
                Effect::Accept(accepts) => {
                    router.listener.set_accepting(accepts);
                }
                Effect::PassClients(hands) => {
                    router.client_transfer.set_active(hands);
                }
                Effect::Use(lease) => {
                    let goes_on = self.of.machine.borrow().is_serving();
                    self.of.share.put_to_use(router, lease, goes_on);
                }
                Effect::EndPeer => self.end_peer(),
                Effect::Exit => self.left = true,
                Effect::Log(line) => {
                    tracing::info!("{line}");
                    say(&line);
                    if let Some((_, why)) = line.split_once("given up, ") {
                        self.why = why.to_owned();
                    }
                }
                // Of the other side.
                Effect::BindAnew => {}
            }
        }
    }

    /// Clients' connections that have become idle go over.
    async fn pass_clients(&mut self) {
        loop {
            let next = self.router.client_transfer.pop();
            let Some(PassedClient { socket, unread }) = next else {
                return;
            };
            let Some(link) = &self.link else { return };
            let message = Message::Client { unread };
            let fds = [socket.as_fd()];
            let late = self.router.clock.now() + LOOK.times(100.0);
            let sent = self
                .router
                .with_deadline(Some(late), link.send(&message, &fds))
                .await;
            if matches!(sent, Some(Ok(()))) {
                continue;
            }
            // Where nothing of it can have gone over, it stays here: its client has lost nothing.
            if let (Some(Err(_)), Message::Client { unread }) = (sent, message) {
                self.router
                    .client_transfer
                    .put_back(PassedClient { socket, unread });
            }
            self.broke = self.broke.or(Some(self.router.clock.now()));
            return;
        }
    }

    async fn wait(&mut self) -> Came {
        let router = self.router;
        let soon = async {
            Timer::at(router.clock.instant(router.clock.now() + LOOK)).await;
            Came::Nothing
        };
        let more = router.client_transfer.added();
        let handed = async {
            more.await;
            Came::Nothing
        };
        let link = self.link.as_mut().filter(|_| self.broke.is_none());
        let heard = async {
            match link {
                Some(link) => match link.receive().await {
                    Ok(message) => Came::Message(message),
                    Err(_) => Came::Broke,
                },
                None => future::pending().await,
            }
        };
        future::or(heard, future::or(handed, soon)).await
    }

    /// What the last wait means to the machine.
    fn event(&mut self, came: Came) -> Option<NewProcessEvent> {
        let now = self.router.clock.now();
        if let Came::Message(message) = came {
            return Some(NewProcessEvent::Received(message));
        }
        if matches!(came, Came::Broke) {
            self.broke = self.broke.or(Some(now));
        }
        let dead = match &mut self.child {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => true,
        };
        if dead {
            return Some(NewProcessEvent::ProcessDied);
        }
        let broke = self.broke.is_some_and(|at| now.since(at) >= SEEN_DEAD);
        broke.then_some(NewProcessEvent::LinkBroken)
    }
}

/// One upgrade, from its beginning to its end; `say` hears the steps as they happen. What went wrong comes back, and
/// then this process serves as before.
pub async fn upgrade(
    router: &Rc<Router>,
    of: &Upgrades,
    start: &Start,
    say: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let effects = of
        .machine
        .borrow_mut()
        .start(router.clock.now(), of.share.has.get())
        .map_err(str::to_owned)?;
    of.begun.set(of.begun.get() + 1);
    let mut run = Run {
        router,
        of,
        start,
        link: None,
        child: None,
        asked_to_end: false,
        broke: None,
        left: false,
        why: "the new process has ended".into(),
    };
    run.carry_out(effects, say).await;
    let mut told_broke = false;
    loop {
        let came = run.wait().await;
        if router.is_stopping() && !of.machine.borrow().is_draining() {
            // Told to stop: there is to be no heir that nobody has asked for.
            if let Some(child) = &mut run.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let (now, uses) = (router.clock.now(), of.share.uses(router));
        let effects = match run.event(came) {
            Some(NewProcessEvent::LinkBroken) if std::mem::replace(&mut told_broke, true) => {
                Vec::new()
            }
            Some(event) => of.machine.borrow_mut().handle_event(now, event, uses),
            None => Vec::new(),
        };
        run.carry_out(effects, say).await;
        let effects = of.machine.borrow_mut().handle_timeout(now);
        run.carry_out(effects, say).await;
        if of.machine.borrow().is_serving() {
            // Connections that were on their way over stay here.
            while let Some(PassedClient { socket, unread }) = router.client_transfer.pop() {
                if let Err(what) = crate::stages::listener::adopt(router, socket, &unread) {
                    tracing::warn!("upgrade: a connection is closed, {what}");
                }
            }
            return Err(run.why);
        }
        run.pass_clients().await;
        let nothing = router.descriptors.clients() == 0 && router.client_transfer.is_empty();
        if nothing && router.decisions.borrow().effects.in_flight.lookups() == 0 {
            let effects = of.machine.borrow_mut().drain_finished();
            run.carry_out(effects, say).await;
        }
        if run.left {
            of.heir.replace(run.child.take());
            return Ok(());
        }
    }
}

/// The old side of a router that serves, for upgrades to come.
pub fn upgrades(
    share: &Rc<Share>,
    terms: &ControlTerms,
    digest: u64,
    listeners: Vec<OwnedFd>,
) -> Upgrades {
    let machine = RefCell::new(OldProcess::new(patience(terms), share.whole(), digest));
    Upgrades {
        machine,
        share: Rc::clone(share),
        listeners,
        heir: RefCell::default(),
        begun: Cell::new(0),
    }
}
