//! The new side of an upgrade, driven: speaks to the old process on its standard input, takes its listeners and state,
//! and goes on hearing from it while it drains.

use std::cell::Cell;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::rc::Rc;

use async_io::Timer;
use rustix::process::{getppid, Pid};
use ternpick::types::Micros;
use ternpick_hot_restart::{Effect, Message, NewProcess, OldProcessEvent, StepTimeouts};

use crate::lifecycle::hot_restart_link::Link;
use crate::lifecycle::snapshot::Snapshot;
use crate::lifecycle::upgrade::Share;
use crate::router::Router;
use crate::stages::listener;

/// How long the end of the old process may take to show after its link has ended.
const SEEN_DEAD: u32 = 20;
const LOOK: Micros = Micros(10_000);
/// How often it is looked whether an old process, whose link is gone, has left at last.
const LOOK_ON: Micros = Micros(1_000_000);

/// What a process has when it may serve.
pub struct Taken {
    /// None: the old one died before it gave any; they are to be bound anew.
    pub listeners: Option<Vec<TcpListener>>,
    pub version: Option<u64>,
    follow: Follow,
}

struct Follow {
    link: Link,
    machine: NewProcess,
    parent: Option<Pid>,
}

/// The link that an old process has left on standard input.
pub fn link() -> Result<Link, String> {
    let fd = std::io::stdin()
        .as_fd()
        .try_clone_to_owned()
        .map_err(|e| format!("no link: {e}"))?;
    let stream = UnixStream::from(fd);
    stream
        .peer_addr()
        .map_err(|_| "--take-over is for a process that another one starts".to_owned())?;
    Link::new(stream).map_err(|e| format!("no link: {e}"))
}

/// Whether the process that started this one lives.
async fn old_lives(router: &Router, parent: Option<Pid>) -> bool {
    for _ in 0..SEEN_DEAD {
        if getppid() != parent {
            return false;
        }
        Timer::at(router.clock.instant(router.clock.now() + LOOK)).await;
    }
    true
}

/// Takes over, or says why not. Returns once this process is to accept.
pub async fn take_over(
    router: &Rc<Router>,
    share: &Share,
    (mut link, old): (Link, u32),
    patience: StepTimeouts,
    digest: u64,
) -> Result<Taken, String> {
    // It may have died before this process began.
    let parent = i32::try_from(old).ok().and_then(Pid::from_raw);
    let program = format!(
        "ternpick {} (process {})",
        env!("CARGO_PKG_VERSION"),
        std::process::id()
    );
    let (mut machine, mut effects) =
        NewProcess::start(patience, digest, &program, router.clock.now());
    let (mut listeners, mut state, mut version) = (None::<Vec<TcpListener>>, Vec::new(), None);
    loop {
        for effect in std::mem::take(&mut effects) {
            match effect {
                Effect::Send(message) => {
                    let due = machine.next_timeout();
                    let sent = router.with_deadline(due, link.send(&message, &[])).await;
                    if !matches!(sent, Some(Ok(()))) {
                        tracing::debug!("upgrade: {} could not be said", message.name());
                    }
                }
                Effect::Use(lease) => share.put_to_use(router, lease, true),
                Effect::Log(line) => tracing::info!("{line}"),
                Effect::Exit => return Err("not taken over".into()),
                Effect::BindAnew => listeners = None,
                _ => {}
            }
        }
        if machine.is_serving() {
            return Ok(Taken {
                listeners,
                version,
                follow: Follow {
                    link,
                    machine,
                    parent,
                },
            });
        }
        let heard = router
            .with_deadline(machine.next_timeout(), link.receive())
            .await;
        let now = router.clock.now();
        effects = match heard {
            None => machine.handle_timeout(now),
            Some(Err(_)) => {
                let old_lives = old_lives(router, parent).await;
                machine.handle_event(
                    router.clock.now(),
                    OldProcessEvent::LinkLost { old_lives },
                    share.whole(),
                )
            }
            Some(Ok(message)) => {
                let mut last = false;
                match &message {
                    Message::Descriptors { count } => {
                        let fds: Vec<OwnedFd> = (0..*count).filter_map(|_| link.fd()).collect();
                        if fds.len() != usize::from(*count) {
                            return Err("listeners are missing".into());
                        }
                        listeners = Some(fds.into_iter().map(TcpListener::from).collect());
                    }
                    Message::State { left, piece } => {
                        state.extend_from_slice(piece);
                        last = *left == 0;
                    }
                    _ => {}
                }
                let mut effects =
                    machine.handle_event(now, OldProcessEvent::Received(message), share.whole());
                if last {
                    let applied =
                        Snapshot::parse(&state).and_then(|snapshot| snapshot.apply(router));
                    state = Vec::new();
                    if let Err(what) = &applied {
                        tracing::warn!("upgrade: the state cannot be used, {what}");
                    }
                    version = applied.as_ref().ok().copied();
                    effects.extend(machine.handle_event(
                        now,
                        OldProcessEvent::SnapshotLoaded(applied.is_ok()),
                        share.whole(),
                    ));
                }
                effects
            }
        };
    }
}

/// Hears on from the old process, until its link ends: clients' connections, its questions, its end.
pub async fn follow(router: Rc<Router>, share: Rc<Share>, taken: Taken) {
    let Follow {
        mut link,
        mut machine,
        parent,
    } = taken.follow;
    let adopted = Cell::new(0u32);
    loop {
        let heard = link.receive().await;
        let now = router.clock.now();
        let lost = heard.is_err();
        let effects = match heard {
            Ok(Message::Client { unread }) => {
                match link.fd().map(std::net::TcpStream::from) {
                    Some(socket) => match listener::adopt(&router, socket, &unread) {
                        Ok(()) => adopted.set(adopted.get() + 1),
                        Err(what) => tracing::warn!("upgrade: a connection is closed, {what}"),
                    },
                    None => tracing::warn!("upgrade: a connection has come without its descriptor"),
                }
                continue;
            }
            Ok(message) => {
                machine.handle_event(now, OldProcessEvent::Received(message), share.whole())
            }
            Err(_) => {
                // What it kept is its own until it has left, link or none.
                while !machine.is_over()
                    && machine.lease() != share.whole()
                    && old_lives(&router, parent).await
                {
                    Timer::at(router.clock.instant(router.clock.now() + LOOK_ON)).await;
                }
                machine.handle_event(
                    router.clock.now(),
                    OldProcessEvent::LinkLost { old_lives: false },
                    share.whole(),
                )
            }
        };
        for effect in effects {
            match effect {
                Effect::Send(message) => {
                    let said = link.send(&message, &[]).await;
                    tracing::debug!("upgrade: {} is said, {said:?}", message.name());
                }
                Effect::Use(lease) => share.put_to_use(&router, lease, true),
                Effect::Accept(accepts) => {
                    router.listener.set_accepting(accepts);
                }
                Effect::Log(line) => tracing::warn!("{line}"),
                Effect::Exit => {
                    router.shutdown.request();
                }
                _ => {}
            }
        }
        if lost || machine.is_over() {
            tracing::info!(
                "upgrade: the old process has left, {} connections came over",
                adopted.get()
            );
            return;
        }
    }
}
