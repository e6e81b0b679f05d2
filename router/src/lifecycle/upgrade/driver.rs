//! Carries out the effects of [`OldProcess`](ternpick_hot_restart::OldProcess): starts the new process, exchanges
//! messages with it over the link, and passes it the listeners, the snapshot and idle client connections.

use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;
use rustix::process::{kill_process, Pid, Signal};
use ternpick::types::Micros;
use ternpick_hot_restart::{Effect, Lease, Message, NewProcessEvent, Phase, Request, Requester};

use super::{LaunchSpec, UpgradeError, Upgrades};
use crate::lifecycle::capacity_share::Role;
use crate::lifecycle::forwarded_ids;
use crate::lifecycle::hot_restart_link::Link;
use crate::lifecycle::requests;
use crate::lifecycle::snapshot::Snapshot;
use crate::router::Router;
use crate::stages::listener;
use crate::state::client_transfer::TransferredClient;

/// The interval between checks whether the new process has ended, and whether this process has drained.
const CHECK_INTERVAL: Micros = Micros(10_000);
/// How long after the end of the link the driver waits for the new process's end. If it is still running then, the
/// driver reports the link as broken and not the process as dead.
const DEATH_DETECTION_WINDOW: Micros = Micros(200_000);
/// The timeout for passing a client connection to the new process.
const PASS_TIMEOUT: Micros = Micros(1_000_000);
/// The number of snapshot bytes in one message.
const SNAPSHOT_PIECE_BYTES: usize = 64 * 1024;

/// Why the new process could not be started.
#[derive(Debug, thiserror::Error)]
enum SpawnError {
    #[error("the link to the new process cannot be created: {0}")]
    Link(io::Error),
    #[error("{} cannot be started: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
}

/// The result of a wait.
enum Received {
    Message(Message),
    LinkBroken,
    /// The check interval has passed, or a client connection is ready to be passed on.
    Nothing,
}

/// How the new process has ended.
#[derive(Clone, Copy, Debug)]
struct NewProcessEnd {
    /// The signal that has ended it.
    signal: Option<Signal>,
}

/// An upgrade in progress.
pub(super) struct Driver<'a> {
    router: &'a Rc<Router>,
    upgrades: &'a Upgrades,
    launch_spec: &'a LaunchSpec,
    on_step: &'a mut dyn FnMut(&str),
    link: Option<Link>,
    /// Whether SIGTERM has been sent to the new process; the next attempt to end it kills it.
    termination_requested: bool,
    /// When the link was first found broken.
    link_broken_at: Option<Micros>,
    /// Whether the broken link has been reported to the protocol.
    link_broken_handled: bool,
    /// Whether this process has handed over everything.
    finished: bool,
    /// The reason that is returned if the upgrade fails.
    failure: String,
}

impl<'a> Driver<'a> {
    pub(super) fn new(
        router: &'a Rc<Router>,
        upgrades: &'a Upgrades,
        launch_spec: &'a LaunchSpec,
        on_step: &'a mut dyn FnMut(&str),
    ) -> Self {
        Driver {
            router,
            upgrades,
            launch_spec,
            on_step,
            link: None,
            termination_requested: false,
            link_broken_at: None,
            link_broken_handled: false,
            finished: false,
            failure: "the new process has ended".into(),
        }
    }

    /// Runs the upgrade to its end. After a success `Upgrades::successor` is the process that has taken over.
    pub(super) async fn run(mut self, first: Vec<Effect>) -> Result<(), UpgradeError> {
        self.carry_out(first).await;
        loop {
            let received = self.wait().await;
            self.note_stop();
            let now = self.router.clock.now();
            self.handle(received, now).await;
            let effects = self.upgrades.machine.borrow_mut().handle_timeout(now);
            self.carry_out(effects).await;
            if !self.router.client_transfer.is_active() {
                self.take_clients_back();
            }
            if self.upgrades.machine.borrow().is_serving() {
                self.upgrades.successor.take();
                self.router.requests.set_other_process(None);
                return Err(UpgradeError::Abandoned {
                    reason: self.failure,
                });
            }
            self.pass_clients().await;
            self.finish_if_drained().await;
            if self.finished {
                return Ok(());
            }
        }
    }

    /// Waits for a message, a client connection to pass on, or the next check.
    async fn wait(&mut self) -> Received {
        let router = self.router;
        let check = async {
            let next_check = router.clock.now() + CHECK_INTERVAL;
            Timer::at(router.clock.instant(next_check)).await;
            Received::Nothing
        };
        let client_added = router.client_transfer.added();
        let client = async {
            client_added.await;
            Received::Nothing
        };
        let link = self.link.as_mut().filter(|_| self.link_broken_at.is_none());
        let message = async {
            let Some(link) = link else {
                return future::pending().await;
            };
            match link.receive().await {
                Ok(message) => Received::Message(message),
                Err(_) => Received::LinkBroken,
            }
        };
        future::or(message, future::or(client, check)).await
    }

    /// Tells the protocol that the router stops, before it learns that the new process has.
    fn note_stop(&self) {
        if let Some(requested_at) = self.router.shutdown.requested_at() {
            super::note_stop(self.router, self.upgrades, requested_at);
        }
    }

    async fn handle(&mut self, received: Received, now: Micros) {
        let in_use: Lease = self.upgrades.share.in_use(self.router);
        let Some(event) = self.event(received) else {
            return;
        };
        if event == NewProcessEvent::LinkBroken {
            if self.link_broken_handled {
                return;
            }
            self.link_broken_handled = true;
        }
        let effects = self
            .upgrades
            .machine
            .borrow_mut()
            .handle_event(now, event, in_use);
        self.carry_out(effects).await;
    }

    /// Converts the result of a wait to an event of the protocol.
    fn event(&mut self, received: Received) -> Option<NewProcessEvent> {
        match received {
            Received::Message(message) => return Some(NewProcessEvent::Received(message)),
            Received::LinkBroken => self.note_broken_link(),
            Received::Nothing => {}
        }
        if let Some(ended_by) = self.new_process_end() {
            self.act_on_signal(ended_by);
            return Some(NewProcessEvent::ProcessDied);
        }
        let now = self.router.clock.now();
        let broken_since = self.link_broken_at?;
        (now.since(broken_since) >= DEATH_DETECTION_WINDOW).then_some(NewProcessEvent::LinkBroken)
    }

    /// Returns how the new process has ended; `None` while it runs.
    fn new_process_end(&self) -> Option<NewProcessEnd> {
        let mut successor = self.upgrades.successor.borrow_mut();
        let Some(child) = successor.as_mut() else {
            return Some(NewProcessEnd { signal: None });
        };
        let status = child.try_wait().ok().flatten()?;
        let signal = status.signal().and_then(Signal::from_named_raw);
        Some(NewProcessEnd { signal })
    }

    /// Acts on a signal that has ended the new process before it had handlers: the operator has sent it to the router.
    fn act_on_signal(&self, end: NewProcessEnd) {
        if self.router.requests.phase() != Phase::Launching {
            return;
        }
        let request = match end.signal {
            Some(Signal::TERM | Signal::INT) => Request::Stop,
            Some(Signal::HUP) => Request::Reload,
            _ => return,
        };
        let now = self.router.clock.now();
        requests::handle(self.router, request, Requester::Operator, now);
        self.note_stop();
    }

    fn note_broken_link(&mut self) {
        if self.link_broken_at.is_none() {
            self.link_broken_at = Some(self.router.clock.now());
        }
    }

    async fn carry_out(&mut self, effects: Vec<Effect>) {
        // First: a request that arrives during the effects finds what the new process may own by then.
        let phase = self.upgrades.machine.borrow().phase();
        requests::enter(self.router, phase);
        for effect in effects {
            match effect {
                Effect::Spawn => self.spawn(),
                Effect::Send(message) => self.send(&message, &[]).await,
                Effect::PassListeners => self.pass_listeners().await,
                Effect::PassState => self.pass_snapshot().await,
                Effect::Accept(accepts) => self.router.listener.set_accepting(accepts),
                Effect::PassClients(true) => {
                    self.router.client_transfer.begin(self.router.clock.now());
                    self.pass_forwarded_ids().await;
                }
                Effect::PassClients(false) => self.router.client_transfer.end(),
                Effect::ApplyLease(lease) => self.apply_share(lease),
                Effect::EndPeer => self.end_new_process(),
                Effect::ShutDownListeners => self.shut_down_listeners(),
                Effect::Exit => self.finished = true,
                Effect::Log(step) => self.log(&step),
                // An effect of the new process only.
                Effect::BindListeners => {}
            }
        }
    }

    fn spawn(&mut self) {
        match start_process(self.launch_spec) {
            Ok((child, link)) => {
                let process = Pid::from_child(&child);
                self.router.requests.set_other_process(Some(process));
                self.upgrades.successor.replace(Some(child));
                self.link = Some(link);
            }
            Err(error) => {
                self.failure = error.to_string();
                (self.on_step)(&self.failure);
                self.upgrades.successor.take();
            }
        }
    }

    async fn send(&mut self, message: &Message, fds: &[BorrowedFd<'_>]) {
        let Some(link) = &self.link else {
            return;
        };
        // The step's timeout detects a new process that does not read.
        let deadline = self.upgrades.machine.borrow().next_timeout();
        let sent = self
            .router
            .with_deadline(deadline, link.send(message, fds))
            .await;
        if !matches!(sent, Some(Ok(()))) {
            self.note_broken_link();
        }
    }

    async fn pass_listeners(&mut self) {
        let upgrades = self.upgrades;
        let fds: Vec<_> = upgrades.listeners.iter().map(AsFd::as_fd).collect();
        let count = u8::try_from(fds.len()).unwrap_or(u8::MAX);
        self.send(&Message::Descriptors { count }, &fds).await;
    }

    async fn pass_snapshot(&mut self) {
        let bytes = Snapshot::take(self.router).bytes();
        (self.on_step)(&format!("state: {} bytes", bytes.len()));
        let pieces = bytes.chunks(SNAPSHOT_PIECE_BYTES);
        let count = pieces.len();
        for (index, piece) in pieces.enumerate() {
            let left = u32::try_from(count - 1 - index).unwrap_or(u32::MAX);
            let piece = piece.to_vec();
            self.send(&Message::State { left, piece }, &[]).await;
        }
    }

    async fn pass_forwarded_ids(&mut self) {
        let pieces = forwarded_ids::pieces(self.router);
        let count = pieces.len();
        for (index, piece) in pieces.into_iter().enumerate() {
            let left = u32::try_from(count - 1 - index).unwrap_or(u32::MAX);
            self.send(&Message::State { left, piece }, &[]).await;
        }
    }

    fn shut_down_listeners(&self) {
        for listener in &self.upgrades.listeners {
            listener::shut_down(listener.get_ref());
        }
    }

    fn apply_share(&self, lease: Lease) {
        let role = if self.upgrades.machine.borrow().is_serving() {
            Role::Serving
        } else {
            Role::Draining
        };
        self.upgrades.share.apply(self.router, lease, role);
    }

    /// Ends the new process: sends SIGTERM the first time, and kills it the second time.
    fn end_new_process(&mut self) {
        let mut successor = self.upgrades.successor.borrow_mut();
        let Some(child) = successor.as_mut() else {
            return;
        };
        let ended = if self.termination_requested {
            child.kill().is_ok()
        } else {
            kill_process(Pid::from_child(child), Signal::TERM).is_ok()
        };
        self.termination_requested = true;
        if !ended {
            tracing::debug!("hot restart: the new process has ended already");
        }
    }

    fn log(&mut self, step: &str) {
        tracing::info!(step, "hot restart: old process");
        (self.on_step)(step);
        if let Some((_, reason)) = step.split_once("given up, ") {
            self.failure = reason.to_owned();
        }
    }

    /// Passes client connections that have become idle to the new process.
    async fn pass_clients(&mut self) {
        if !self.upgrades.machine.borrow().is_draining() {
            return;
        }
        while let Some(client) = self.router.client_transfer.pop() {
            if !self.pass_client(client).await {
                return;
            }
        }
    }

    /// Passes one client connection on. Returns false if the link is broken.
    async fn pass_client(&mut self, client: TransferredClient) -> bool {
        let Some(link) = &self.link else {
            return false;
        };
        let TransferredClient {
            socket,
            unread,
            set_aside_at,
        } = client;
        let message = Message::Client { unread };
        let fds = [socket.as_fd()];
        let deadline = self.router.clock.now() + PASS_TIMEOUT;
        let sent = self
            .router
            .with_deadline(Some(deadline), link.send(&message, &fds))
            .await;
        if matches!(sent, Some(Ok(()))) {
            return true;
        }
        // If sending failed, the new process cannot have received it, so this process keeps it and the client loses
        // nothing.
        if let (Some(Err(_)), Message::Client { unread }) = (sent, message) {
            self.router.client_transfer.put_back(TransferredClient {
                socket,
                unread,
                set_aside_at,
            });
        }
        self.note_broken_link();
        false
    }

    /// Serves the connections that were set aside again, once no more are passed on.
    fn take_clients_back(&self) {
        while let Some(client) = self.router.client_transfer.pop() {
            let TransferredClient {
                socket,
                unread,
                set_aside_at,
            } = client;
            let adopted = listener::adopt(self.router, socket, &unread, set_aside_at);
            if let Err(error) = adopted {
                tracing::warn!(%error, "hot restart: client connection closed");
            }
        }
    }

    /// Reports the end of draining to the protocol once no query is in flight and no client connection is open.
    async fn finish_if_drained(&mut self) {
        let router = self.router;
        let no_clients = router.descriptors.clients() == 0 && router.client_transfer.is_empty();
        if no_clients && router.decisions.borrow().effects.in_flight.query_count() == 0 {
            let effects = self.upgrades.machine.borrow_mut().drain_finished();
            self.carry_out(effects).await;
        }
    }
}

/// Starts the new process with its end of the link as standard input.
fn start_process(launch_spec: &LaunchSpec) -> Result<(Child, Link), SpawnError> {
    let (ours, theirs) = UnixStream::pair().map_err(SpawnError::Link)?;
    let child = Command::new(&launch_spec.program)
        .arg("serve")
        .arg("--config")
        .arg(&launch_spec.config)
        .arg("--settings")
        .arg(&launch_spec.settings)
        .arg("--take-over")
        .arg(std::process::id().to_string())
        .stdin(Stdio::from(OwnedFd::from(theirs)))
        .spawn()
        .map_err(|source| SpawnError::Program {
            program: launch_spec.program.clone(),
            source,
        })?;
    let link = Link::new(ours).map_err(SpawnError::Link)?;
    Ok((child, link))
}
