//! The server side of the control socket: accepts connections of the router's owner, reads one request from each, and
//! answers it. `fleet::commands` answers requests about the fleet, and `lifecycle::upgrade` performs upgrades.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::os::unix::fs::{FileTypeExt, MetadataExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use rustix::fs::Mode;
use rustix::net::sockopt::socket_peercred;
use rustix::process::{geteuid, umask};
use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_hot_restart::{Request, Requester};

use super::client::ControlError;
use super::status::status;
use super::{Control, SocketFile};
use crate::fleet::commands;
use crate::lifecycle::requests;
use crate::lifecycle::socket_io::{uninterrupted, write_all};
use crate::lifecycle::upgrade::{self, LaunchSpec};
use crate::router::Router;
use crate::state::turns::Stage;

/// The longest request, in bytes.
const MAX_REQUEST_BYTES: usize = 32 * 1024;
/// How long a request may take to arrive.
const REQUEST_TIMEOUT: Micros = Micros(2_000_000);
/// The number of connections that are answered at a time. There may be several because fleet commands wait for their
/// outcome.
const MAX_CONNECTIONS: usize = 32;
/// The delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The interval between attempts to open the socket.
const OPEN_RETRY: Duration = Duration::from_millis(200);

/// Writes this process's id to the pid file, if one is configured, and binds the socket.
///
/// # Errors
/// The pid file cannot be written, or the socket cannot be bound.
pub(crate) fn open(control: &Control) -> Result<Async<UnixListener>, ControlError> {
    if let Some(path) = &control.config.pid_file {
        let text = format!("{}\n", std::process::id());
        ternpick_store::replace_file(path.as_ref(), text.as_bytes())?;
    }
    let path = control.config.socket.as_ref();
    let listener = bind(path)?;
    control.bound.set(socket_file(path));
    Ok(listener)
}

/// Identifies the file at a path; `None` if there is none.
fn socket_file(path: &Path) -> Option<SocketFile> {
    let found = std::fs::symlink_metadata(path).ok()?;
    Some(SocketFile {
        device: found.dev(),
        inode: found.ino(),
    })
}

/// Writes the pid file and binds the socket again if a new process that has ended had done so. Commands found nobody
/// otherwise, although this process serves.
fn take_back(router: &Rc<Router>, control: &Rc<Control>) {
    let path: &Path = control.config.socket.as_ref();
    if socket_file(path) == control.bound.get() {
        return;
    }
    tracing::info!("control: opening the socket again, the new process has ended");
    control.bound_anew.notify(usize::MAX);
    let task = open_again(Rc::clone(router), Rc::clone(control));
    router.spawn(Stage::Control, 0, task).detach();
}

async fn open_again(router: Rc<Router>, control: Rc<Control>) {
    match open(&control) {
        Ok(listener) => serve(router, control, listener).await,
        Err(error) => {
            tracing::warn!(%error, "control: cannot be opened yet");
            open_later(router, control).await;
        }
    }
}

/// Retries until the socket can be opened, then serves on it.
pub(crate) async fn open_later(router: Rc<Router>, control: Rc<Control>) {
    loop {
        async_io::Timer::after(OPEN_RETRY).await;
        match open(&control) {
            Ok(listener) => return serve(router, control, listener).await,
            Err(error) => tracing::debug!(%error, "control: cannot be opened yet"),
        }
    }
}

/// Binds the socket with access for its owner only. Replaces a socket file that an ended process has left or that the
/// old process of a hot restart still has open.
fn bind(path: &Path) -> Result<Async<UnixListener>, ControlError> {
    let at_path = ControlError::at(path);
    match std::fs::symlink_metadata(path) {
        Ok(found) if found.file_type().is_socket() => {
            std::fs::remove_file(path).map_err(at_path)?;
        }
        Ok(_) => {
            return Err(at_path(std::io::Error::other(
                "the path exists and is not a socket",
            )))
        }
        Err(e) if e.kind() == ErrorKind::NotFound => {}
        Err(e) => return Err(at_path(e)),
    }
    // The umask sets the mode, not a later chmod: otherwise other users could connect in between.
    let previous_mask = umask(Mode::from_raw_mode(0o177));
    let bound = UnixListener::bind(path);
    umask(previous_mask);
    Async::new(bound.map_err(at_path)?).map_err(at_path)
}

/// Accepts connections until this process binds the socket anew, and answers each in its own task.
pub(crate) async fn serve(router: Rc<Router>, control: Rc<Control>, listener: Async<UnixListener>) {
    let bound_anew = control.bound_anew.listen();
    let accepting = accept_connections(&router, &control, &listener);
    future::or(accepting, bound_anew).await;
}

async fn accept_connections(
    router: &Rc<Router>,
    control: &Rc<Control>,
    listener: &Async<UnixListener>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                accept(router, control, stream);
                // Accepting does not wait while connections are pending.
                future::yield_now().await;
            }
            Err(error) => {
                tracing::warn!(%error, "control: cannot accept");
                async_io::Timer::after(ACCEPT_RETRY).await;
            }
        }
    }
}

fn accept(router: &Rc<Router>, control: &Rc<Control>, stream: Async<UnixStream>) {
    if !is_owner(&stream) {
        tracing::warn!(reason = "not the owner", "control: connection rejected");
        return;
    }
    if control.open_connections.get() >= MAX_CONNECTIONS {
        tracing::warn!(
            reason = "too many connections",
            "control: connection rejected"
        );
        return;
    }
    control
        .open_connections
        .set(control.open_connections.get() + 1);
    let router = Rc::clone(router);
    let control = Rc::clone(control);
    let spawner = Rc::clone(&router);
    let task = async move {
        answer(&router, &control, stream).await;
        control
            .open_connections
            .set(control.open_connections.get() - 1);
    };
    spawner.spawn(Stage::Control, 0, task).detach();
}

/// Whether the peer runs as this process's user, or as root.
fn is_owner(stream: &Async<UnixStream>) -> bool {
    socket_peercred(stream.get_ref()).is_ok_and(|peer| peer.uid == geteuid() || peer.uid.is_root())
}

async fn read_request(stream: &Async<UnixStream>) -> Option<Value> {
    let mut line = Vec::new();
    while !line.ends_with(b"\n") {
        if line.len() > MAX_REQUEST_BYTES {
            return None;
        }
        let mut chunk = [0; 1024];
        let count = stream
            .read_with(|mut stream| uninterrupted(|| stream.read(&mut chunk)))
            .await
            .ok()?;
        if count == 0 {
            return None;
        }
        line.extend_from_slice(&chunk[..count]);
    }
    serde_json::from_slice(&line).ok()
}

async fn write_line(stream: &Async<UnixStream>, line: &Value) {
    // An error is ignored: the client may have disconnected.
    let _ = write_all(stream, format!("{line}\n").as_bytes()).await;
}

async fn answer(router: &Rc<Router>, control: &Rc<Control>, stream: Async<UnixStream>) {
    let deadline = router.clock.now() + REQUEST_TIMEOUT;
    let Some(request) = router
        .with_deadline(Some(deadline), read_request(&stream))
        .await
        .flatten()
    else {
        return;
    };
    let last_line = match request["do"].as_str() {
        Some("status") => json!({"done": true, "ok": true, "status": status(router, control)}),
        Some("turns") => json!({"done": true, "ok": true, "turns": router.turns.status()}),
        Some("fleet") => answer_fleet(router, &request).await,
        Some("drain") => drain(router),
        Some("upgrade") => return answer_upgrade(router, control, &stream, &request).await,
        _ => refused("ask for status, turns, fleet, upgrade or drain"),
    };
    write_line(&stream, &last_line).await;
}

fn refused(line: &str) -> Value {
    json!({"done": true, "ok": false, "line": line})
}

async fn answer_fleet(router: &Router, request: &Value) -> Value {
    match &router.fleet {
        Some(fleet) => commands::answer(router, fleet, request).await,
        None => refused("this router belongs to no fleet: none is in its settings"),
    }
}

fn drain(router: &Router) -> Value {
    let now = router.clock.now();
    requests::handle(router, Request::Stop, Requester::Operator, now);
    json!({"done": true, "ok": true, "line": "this process answers what it has taken, and leaves"})
}

async fn answer_upgrade(
    router: &Rc<Router>,
    control: &Rc<Control>,
    stream: &Async<UnixStream>,
    request: &Value,
) {
    if !control.config.upgrade {
        let line = refused("upgrades are off: control.upgrade is not set");
        return write_line(stream, &line).await;
    }
    let path = |key: &str, own: &PathBuf| {
        request[key]
            .as_str()
            .map_or_else(|| own.clone(), PathBuf::from)
    };
    let launch_spec = LaunchSpec {
        program: path("program", &control.launch_spec.program),
        config: path("config", &control.launch_spec.config),
        settings: path("settings", &control.launch_spec.settings),
    };
    // An upgrade that is in progress refuses another one.
    let is_first = !router.requests.is_upgrading();
    router.requests.set_upgrading(true);
    match upgrade_with_progress(router, control, stream, &launch_spec).await {
        Ok(()) => {
            let line = json!({"done": true, "ok": true, "line": "upgraded"});
            write_line(stream, &line).await;
            router.shutdown.mark_handed_over();
        }
        Err(reason) => {
            // Not while another upgrade is in progress: its new process may have bound them.
            if is_first {
                take_back(router, control);
            }
            write_line(stream, &refused(&reason)).await;
        }
    }
    if is_first {
        router.requests.set_upgrading(false);
    }
}

/// Runs an upgrade and writes its steps as they happen. The upgrade continues if the client disconnects.
async fn upgrade_with_progress(
    router: &Rc<Router>,
    control: &Control,
    stream: &Async<UnixStream>,
    launch_spec: &LaunchSpec,
) -> Result<(), String> {
    let steps = RefCell::new(VecDeque::new());
    let step_added = Event::new();
    let started_at = router.clock.now();
    let mut note = |line: &str| {
        let after_ms = router.clock.now().since(started_at).0 / 1000;
        steps
            .borrow_mut()
            .push_back(json!({"line": line, "after_ms": after_ms}));
        step_added.notify(1);
    };
    let upgrade = upgrade::upgrade(router, &control.upgrades, launch_spec, &mut note);
    let outcome = future::or(upgrade, write_steps_forever(stream, &steps, &step_added)).await;
    write_steps(stream, &steps).await;
    outcome.map_err(|reason| reason.to_string())
}

/// Writes steps as they are added and never returns; `T` is the result of the future that it runs alongside.
async fn write_steps_forever<T>(
    stream: &Async<UnixStream>,
    steps: &RefCell<VecDeque<Value>>,
    step_added: &Event,
) -> T {
    loop {
        let added = step_added.listen();
        write_steps(stream, steps).await;
        added.await;
    }
}

async fn write_steps(stream: &Async<UnixStream>, steps: &RefCell<VecDeque<Value>>) {
    loop {
        let Some(step) = steps.borrow_mut().pop_front() else {
            return;
        };
        write_line(stream, &step).await;
    }
}
