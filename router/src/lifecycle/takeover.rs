//! The new process's side of a hot restart: exchanges messages with the old process over standard input, takes over its
//! listeners and its snapshot, and keeps receiving from it while it drains.
//!
//! [`NewProcess`] implements the protocol, and this module carries out its effects. `start` calls it if `--take-over`
//! is given.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::rc::Rc;

use async_io::Timer;
use rustix::process::{getppid, Pid};
use ternpick::types::Micros;
use ternpick_hot_restart::{Effect, Message, NewProcess, OldProcessEvent, Phase, StepTimeouts};

use crate::lifecycle::capacity_share::{CapacityShare, Role};
use crate::lifecycle::forwarded_ids;
use crate::lifecycle::hot_restart_link::Link;
use crate::lifecycle::requests;
use crate::lifecycle::snapshot::Snapshot;
use crate::router::Router;
use crate::stages::listener;

/// The interval between checks whether the old process has ended, after the link has ended.
const DEATH_CHECK_INTERVAL: Micros = Micros(10_000);
/// The number of these checks before the old process is taken to be alive.
const DEATH_CHECKS: u32 = 20;
/// The interval between rounds of checks for an old process that is alive although the link has ended.
const DEPARTURE_CHECK_INTERVAL: Micros = Micros(1_000_000);

/// Why a process could not take over.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TakeoverError {
    /// The link to the old process cannot be used.
    #[error("the link to the old process cannot be used: {0}")]
    Link(io::Error),
    /// Standard input is not the link.
    #[error("--take-over needs a socket to the old process on standard input; only an upgrade uses this flag")]
    NoOldProcess,
    /// The protocol ended without a takeover.
    #[error("the takeover was abandoned; the old process keeps serving")]
    NotTakenOver,
    /// The old process sent fewer listeners than it announced.
    #[error("the old process sent {received} of {announced} listeners")]
    ListenersMissing { received: usize, announced: u8 },
}

/// The old process, which started this one and which this one replaces.
pub(crate) struct PreviousProcess {
    /// The link to it.
    pub(crate) link: Link,
    /// Its process id.
    pub(crate) id: u32,
}

/// The result of a takeover.
pub(crate) struct TakenOver {
    /// The listeners; none if the old process died before it passed them, and this process has to bind them.
    pub(crate) listeners: Option<Vec<TcpListener>>,
    /// The version of the endpoint list in the snapshot; none without a usable snapshot.
    pub(crate) list_version: Option<u64>,
    /// The old process, while it drains.
    pub(crate) old: DrainingProcess,
}

/// The new process's view of the old one while that drains.
pub(crate) struct DrainingProcess {
    link: Link,
    machine: NewProcess,
    parent: Option<Pid>,
}

/// Returns the link to the old process, which is standard input.
pub(crate) fn link() -> Result<Link, TakeoverError> {
    let fd = std::io::stdin()
        .as_fd()
        .try_clone_to_owned()
        .map_err(TakeoverError::Link)?;
    let stream = UnixStream::from(fd);
    if stream.peer_addr().is_err() {
        return Err(TakeoverError::NoOldProcess);
    }
    Link::new(stream).map_err(TakeoverError::Link)
}

/// Returns whether the old process is still running. It is checked for up to 200 ms, because its link may end before it
/// does.
async fn old_process_lives(router: &Router, parent: Option<Pid>) -> bool {
    for _ in 0..DEATH_CHECKS {
        if getppid() != parent {
            return false;
        }
        let next = router.clock.now() + DEATH_CHECK_INTERVAL;
        Timer::at(router.clock.instant(next)).await;
    }
    true
}

/// Takes over from the old process. Returns once this process has to accept clients.
pub(crate) async fn take_over(
    router: &Router,
    share: &CapacityShare,
    previous: PreviousProcess,
    timeouts: StepTimeouts,
    digest: u64,
) -> Result<TakenOver, TakeoverError> {
    let program = format!(
        "ternpick {} (process {})",
        env!("CARGO_PKG_VERSION"),
        std::process::id()
    );
    let (machine, effects) = NewProcess::start(timeouts, digest, &program, router.clock.now());
    // The id is an argument and not from `getppid`, because the old process may have died before this one started.
    let parent = i32::try_from(previous.id).ok().and_then(Pid::from_raw);
    router.requests.set_other_process(parent);
    requests::enter(router, Phase::TakingOver);
    let takeover = Takeover {
        router,
        share,
        link: previous.link,
        parent,
        machine,
        listeners: None,
        snapshot: Vec::new(),
        list_version: None,
    };
    takeover.run(effects).await
}

/// A takeover in progress.
struct Takeover<'a> {
    router: &'a Router,
    share: &'a CapacityShare,
    link: Link,
    parent: Option<Pid>,
    machine: NewProcess,
    listeners: Option<Vec<TcpListener>>,
    /// The pieces of the snapshot received so far.
    snapshot: Vec<u8>,
    list_version: Option<u64>,
}

impl Takeover<'_> {
    async fn run(mut self, first: Vec<Effect>) -> Result<TakenOver, TakeoverError> {
        let mut effects = first;
        loop {
            self.carry_out(effects).await?;
            if self.machine.is_serving() {
                forwarded_ids::await_predecessor(self.router);
                return Ok(TakenOver {
                    listeners: self.listeners,
                    list_version: self.list_version,
                    old: DrainingProcess {
                        link: self.link,
                        machine: self.machine,
                        parent: self.parent,
                    },
                });
            }
            effects = self.receive().await?;
        }
    }

    async fn carry_out(&mut self, effects: Vec<Effect>) -> Result<(), TakeoverError> {
        for effect in effects {
            match effect {
                Effect::Send(message) => self.send(&message).await,
                Effect::ApplyLease(lease) => self.share.apply(self.router, lease, Role::Serving),
                Effect::Log(step) => tracing::info!(step, "hot restart: new process"),
                Effect::Exit => return Err(TakeoverError::NotTakenOver),
                Effect::BindListeners => self.listeners = None,
                // Effects of the old process, or of a process that serves already.
                Effect::Spawn
                | Effect::PassListeners
                | Effect::PassState
                | Effect::Accept(_)
                | Effect::PassClients(_)
                | Effect::ShutDownListeners
                | Effect::EndPeer => {}
            }
        }
        Ok(())
    }

    async fn send(&self, message: &Message) {
        let deadline = self.machine.next_timeout();
        let sent = self
            .router
            .with_deadline(deadline, self.link.send(message, &[]))
            .await;
        if !matches!(sent, Some(Ok(()))) {
            let message = message.name();
            tracing::debug!(message_name = message, "hot restart: message not sent");
        }
    }

    /// Waits for the next message, the end of the link or the timeout of the step.
    async fn receive(&mut self) -> Result<Vec<Effect>, TakeoverError> {
        let deadline = self.machine.next_timeout();
        let received = self
            .router
            .with_deadline(deadline, self.link.receive())
            .await;
        let now = self.router.clock.now();
        match received {
            None => Ok(self.machine.handle_timeout(now)),
            Some(Err(_)) => Ok(self.handle_lost_link().await),
            Some(Ok(message)) => self.handle_message(message),
        }
    }

    async fn handle_lost_link(&mut self) -> Vec<Effect> {
        let old_process_runs = old_process_lives(self.router, self.parent).await;
        if !old_process_runs {
            requests::handle_death_of_old_process(self.router);
        }
        self.handle_event(OldProcessEvent::LinkLost { old_process_runs })
    }

    /// Passes an event to the protocol. The phase changes before the effects are carried out: a stop that arrives
    /// meanwhile finds a process that serves.
    fn handle_event(&mut self, event: OldProcessEvent) -> Vec<Effect> {
        let now = self.router.clock.now();
        let effects = self.machine.handle_event(now, event, self.share.all());
        if self.machine.is_serving() {
            requests::enter(self.router, self.machine.phase());
        }
        effects
    }

    fn handle_message(&mut self, message: Message) -> Result<Vec<Effect>, TakeoverError> {
        let mut snapshot_complete = false;
        match &message {
            Message::Descriptors { count } => self.take_listeners(*count)?,
            Message::State { left, piece } => {
                self.snapshot.extend_from_slice(piece);
                snapshot_complete = *left == 0;
            }
            _ => {}
        }
        let mut effects = self.handle_event(OldProcessEvent::Received(message));
        if snapshot_complete {
            let loaded = self.apply_snapshot();
            effects.extend(self.handle_event(OldProcessEvent::SnapshotLoaded(loaded)));
        }
        Ok(effects)
    }

    fn take_listeners(&mut self, count: u8) -> Result<(), TakeoverError> {
        let fds: Vec<OwnedFd> = (0..count).filter_map(|_| self.link.fd()).collect();
        if fds.len() != usize::from(count) {
            return Err(TakeoverError::ListenersMissing {
                received: fds.len(),
                announced: count,
            });
        }
        self.listeners = Some(fds.into_iter().map(TcpListener::from).collect());
        Ok(())
    }

    /// Applies the snapshot. Returns false if it cannot be used.
    fn apply_snapshot(&mut self) -> bool {
        let bytes = std::mem::take(&mut self.snapshot);
        let applied = Snapshot::parse(&bytes).and_then(|snapshot| snapshot.apply(self.router));
        if let Err(error) = &applied {
            tracing::warn!(%error, "hot restart: snapshot unusable");
        }
        self.list_version = applied.ok();
        self.list_version.is_some()
    }
}

/// Receives client connections and messages from the old process until that has ended.
pub(crate) async fn follow(router: Rc<Router>, share: Rc<CapacityShare>, mut old: DrainingProcess) {
    let mut adopted: u32 = 0;
    loop {
        let received = old.link.receive().await;
        let link_lost = received.is_err();
        let has_returned_share = old.machine.lease() == share.all();
        let effects = match received {
            Ok(Message::Client { unread }) => {
                adopted += u32::from(adopt(&router, old.link.fd(), &unread));
                continue;
            }
            Ok(Message::State { left, piece }) => {
                forwarded_ids::restore(&router, left, &piece);
                continue;
            }
            Ok(message) => {
                let event = OldProcessEvent::Received(message);
                old.machine
                    .handle_event(router.clock.now(), event, share.all())
            }
            Err(_) => old.wait_until_gone(&router, &share).await,
        };
        old.carry_out(&router, &share, effects).await;
        if link_lost {
            if !has_returned_share {
                requests::handle_death_of_old_process(&router);
            }
            requests::enter(&router, Phase::Alone);
            router.requests.set_other_process(None);
        }
        if link_lost || old.machine.is_exiting() {
            tracing::info!(
                connections = adopted,
                "hot restart: the old process has ended"
            );
            return;
        }
    }
}

/// Serves a client connection that the old process has passed on. Returns false if it cannot be served.
fn adopt(router: &Rc<Router>, fd: Option<OwnedFd>, unread: &[u8]) -> bool {
    let Some(fd) = fd else {
        tracing::warn!("hot restart: client connection came without its descriptor");
        return false;
    };
    let now = router.clock.now();
    match listener::adopt(router, TcpStream::from(fd), unread, now) {
        Ok(()) => true,
        Err(error) => {
            tracing::warn!(%error, "hot restart: client connection closed");
            false
        }
    }
}

impl DrainingProcess {
    /// Waits until the old process has ended, after its link has. Until then it uses the share of the capacity that it
    /// kept.
    async fn wait_until_gone(&mut self, router: &Router, share: &CapacityShare) -> Vec<Effect> {
        router.requests.note_link_lost();
        while !self.machine.is_exiting()
            && self.machine.lease() != share.all()
            && old_process_lives(router, self.parent).await
        {
            let next = router.clock.now() + DEPARTURE_CHECK_INTERVAL;
            Timer::at(router.clock.instant(next)).await;
        }
        self.machine.handle_event(
            router.clock.now(),
            OldProcessEvent::LinkLost {
                old_process_runs: false,
            },
            share.all(),
        )
    }

    async fn carry_out(&self, router: &Router, share: &CapacityShare, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(message) => {
                    let sent = self.link.send(&message, &[]).await;
                    let message_name = message.name();
                    tracing::debug!(message_name, ?sent, "hot restart: message sent");
                }
                Effect::ApplyLease(lease) => share.apply(router, lease, Role::Serving),
                Effect::Accept(accepts) => router.listener.set_accepting(accepts),
                Effect::Log(step) => tracing::warn!(step, "hot restart: new process"),
                Effect::Exit => router.shutdown.request(router.clock.now()),
                // Effects of the old process, or of a process that does not serve yet.
                Effect::Spawn
                | Effect::PassListeners
                | Effect::PassState
                | Effect::PassClients(_)
                | Effect::ShutDownListeners
                | Effect::EndPeer
                | Effect::BindListeners => {}
            }
        }
    }
}
