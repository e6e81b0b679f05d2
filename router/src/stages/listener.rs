//! Take in: accepts clients' connections, reads their requests one at a time, and writes the answers.

use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use ternpick::io_errors::{self, AcceptFailures};
use ternpick::types::Micros;

use crate::lifecycle::tls::Tls;
use crate::router::Router;
use crate::stages::admission::{self, Admitted};
use crate::stages::dispatch;
use crate::stages::stream::Stream;
use crate::state::budget::Share;
use crate::state::client_transfer::PassedClient;
use crate::state::clients::{Answer, Reply, State};
use crate::state::descriptors::{Peer, Permit};
use ternpick_wire::http::{self, Fault, Reader, BODY_BOUND, HEAD_BOUND};
use ternpick_wire::ring::Ring;

/// Clients send one request at a time; a whole further one may stand behind it.
const IN_BOUND: usize = HEAD_BOUND + BODY_BOUND;
/// Reads in a row before others have their turn.
const READS: usize = 64;
/// Between the reads of what is thrown away.
const FLOOD_PAUSE: Duration = Duration::from_millis(1);
/// The longest answer: as long a body as the protocol knows, and its head.
const OUT_BOUND: usize = BODY_BOUND + HEAD_BOUND;

/// How long a connection that is told to give way may take to free its descriptor.
const TELL_ANOTHER: Duration = Duration::from_millis(5);

/// A request that is not whole so long after its connection was accepted, or after its first byte on one that is
/// kept, gets an error; a connection that has brought none by then is closed.
const WHOLE_WITHIN: Micros = Micros(2_500_000);

/// How much and how long is read on behind the last answer.
const LINGER_BYTES: usize = 4 * BODY_BOUND;
const LINGER: Duration = Duration::from_secs(1);

/// Accepts connections until the router is told that the listener is to go, and then what still waits.
pub async fn accept(router: Rc<Router>, listener: Async<TcpListener>, tls: Option<Rc<Tls>>) {
    let closing = router.listener.closing();
    let mut failures = AcceptFailures::default();
    future::or(
        async {
            loop {
                let changed = router.listener.accepting_changed();
                if !router.listener.is_accepting() {
                    changed.await;
                    continue;
                }
                let permit = permit(&router).await;
                // What waits in the listener is the other process's once this one accepts no more.
                let stops = async {
                    changed.await;
                    None
                };
                let Some(accepted) =
                    future::or(stops, async { Some(listener.accept().await) }).await
                else {
                    continue;
                };
                match accepted {
                    Ok((stream, _)) => {
                        failures.passed();
                        spawn(&router, stream, permit, tls.as_ref());
                    }
                    Err(e) => rest(failed(&mut failures, &router, &e)).await,
                }
            }
        },
        closing,
    )
    .await;
    while let (true, Some(permit)) = (
        router.listener.is_accepting(),
        router.descriptors.take(Peer::Client),
    ) {
        let stream = match listener.get_ref().accept() {
            Ok((stream, _)) => stream,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            // Given up at the first failure, those that waited behind it were reset with their requests.
            Err(e) => {
                rest(failed(&mut failures, &router, &e)).await;
                if failures.lasts() {
                    break;
                }
                continue;
            }
        };
        failures.passed();
        match Async::new(stream) {
            Ok(stream) => spawn(&router, stream, permit, tls.as_ref()),
            Err(e) => tracing::warn!("cannot accept: {e}"),
        }
    }
    // The control socket holds the listener too, to pass it on: while this process answers what it has taken, the system
    // would go on taking connections that nobody serves. Where another process accepts, the listener is that one's.
    if router.listener.is_accepting() {
        if let Err(e) = rustix::net::shutdown(listener.get_ref(), rustix::net::Shutdown::Both) {
            tracing::debug!("the listener cannot be shut, {e}");
        }
    }
}

/// What follows a failed accept, said once in a while.
fn failed(failures: &mut AcceptFailures, router: &Router, e: &std::io::Error) -> Micros {
    let errno = e.raw_os_error().unwrap_or(0);
    let (pause, said) = failures.next(errno, router.clock.now());
    if let Some(count) = said {
        let owner = io_errors::accept(errno);
        tracing::warn!("cannot accept: {e}, {owner:?}'s; {count} such since this was last said");
    }
    pause
}

/// Lets others have their turn: what fails at once, time after time, shuts nobody out.
async fn rest(pause: Micros) {
    match pause {
        Micros(0) => future::yield_now().await,
        pause => {
            Timer::after(Duration::from_micros(pause.0)).await;
        }
    }
}

/// Waits for a descriptor for a client; the connection idle longest makes room, else the request that is longest in
/// coming: peers that say nothing, or half of something, shut nobody out.
async fn permit(router: &Router) -> Permit {
    loop {
        let freed = router.descriptors.freed();
        if let Some(permit) = router.descriptors.take(Peer::Client) {
            return permit;
        }
        router.clients.close_longest();
        // One that is told as its request becomes whole is served, and frees nothing: then another is told.
        let again = async {
            Timer::after(TELL_ANOTHER).await;
        };
        future::or(freed, again).await;
    }
}

fn spawn(router: &Rc<Router>, stream: Async<TcpStream>, permit: Permit, tls: Option<&Rc<Tls>>) {
    let stream = match tls {
        None => Stream::Plain(stream),
        Some(tls) => match Stream::secure(stream, tls) {
            Ok(stream) => stream,
            Err(what) => return tracing::warn!("tls: a connection cannot begin, {what}"),
        },
    };
    let task = client(Rc::clone(router), stream, permit, Vec::new());
    router.executor.spawn(task).detach();
}

/// A client's connection, its buffers, and its descriptor, given back in this order when the task ends.
struct Line {
    stream: Stream,
    input: Ring,
    output: Ring,
    share: Share,
    /// From when on its next request is awaited, until it has brought one.
    accepted: Option<Micros>,
    /// What its lines in the log are known by, when it was accepted, and how many requests it has brought.
    number: u64,
    opened: Micros,
    requests: u64,
    /// Why it ends.
    ends: &'static str,
    /// It ends here and goes on in another process.
    handed: bool,
    /// Since when the first of the bytes that were sent ahead wait: a client's time counts from when it sent them, and a
    /// request behind a slow one was passed on with the whole of it.
    ahead: Option<Micros>,
    /// Its client has sent more ahead than may wait: that is read, thrown away, and the connection ends with the next answer.
    floods: bool,
    /// Its client has ended it, or takes nothing more: nobody is there to read on for.
    gone: bool,
    _permit: Permit,
}

impl Line {
    /// Says how much is held: its buffers, what `more` there is of a request, and what its stream takes up.
    fn holds(&mut self, more: usize) -> usize {
        let held = self.input.size() + self.output.size() + more;
        self.share.set(held + self.stream.size());
        held
    }

    fn make_room(&mut self) {
        if self.input.room() == 0 {
            self.overrun();
        }
    }

    fn overrun(&mut self) {
        self.floods = true;
        self.input.consume(usize::MAX);
    }
}

/// A connection's whole life: one request after the other.
async fn client(router: Rc<Router>, stream: Stream, permit: Permit, unread: Vec<u8>) {
    stream.set_nodelay();
    let (mut input, output) = (Ring::new(IN_BOUND), Ring::new(OUT_BOUND));
    if !input.push(&unread) {
        return tracing::warn!("a connection that was handed over has sent more than its bound");
    }
    let (share, opened) = (router.budget.share(), router.clock.now());
    let mut line = Line {
        stream,
        input,
        output,
        share,
        accepted: Some(opened),
        number: router.clients.number(),
        opened,
        requests: 0,
        ends: "",
        handed: false,
        ahead: None,
        floods: false,
        gone: false,
        _permit: permit,
    };
    let mut request = Reader::of_requests();
    line.holds(0);
    tracing::debug!("client {}: accepted", line.number);
    while one_request(&router, &mut line, &mut request).await {}
    let age = router.clock.now().since(line.opened).0 / 1000;
    tracing::debug!(
        "client {}: ends, {}, after {} requests, {age} ms old",
        line.number,
        line.ends,
        line.requests
    );
    // Whole requests that wait and idle connections go on in the new process. TLS has its state here, and ends.
    if !(line.handed && matches!(line.stream, Stream::Plain(_))) {
        return if line.gone {
            line.stream.finish()
        } else {
            linger(&router, &mut line).await
        };
    }
    let Line { stream, input, .. } = line;
    if let Stream::Plain(socket) = stream {
        if let Ok(socket) = socket.into_inner() {
            router.client_transfer.push(PassedClient {
                socket,
                unread: input.to_vec(),
            });
        }
    }
}

/// A connection that another process has handed over, with what its client has sent already.
pub fn adopt(router: &Rc<Router>, socket: TcpStream, unread: &[u8]) -> Result<(), &'static str> {
    let permit = router
        .descriptors
        .take(Peer::Client)
        .ok_or("no descriptor is left")?;
    let stream = Async::new(socket).map_err(|_| "it cannot be used")?;
    let task = client(
        Rc::clone(router),
        Stream::Plain(stream),
        permit,
        unread.to_vec(),
    );
    router.executor.spawn(task).detach();
    Ok(())
}

/// Reads and answers one request; false if the connection ends with it.
async fn one_request(router: &Rc<Router>, line: &mut Line, request: &mut Reader) -> bool {
    if router.client_transfer.is_active() {
        (line.handed, line.ends) = (true, "it goes to the new process");
        return false;
    }
    let ahead = line.ahead.take().filter(|_| !line.input.is_empty());
    if line.input.is_empty() && !idle(router, line).await {
        return false;
    }
    let now = router.clock.now();
    let (from, began) = (line.accepted.take().unwrap_or(now), ahead.unwrap_or(now));
    let whole = router
        .bounds
        .longest_deadline
        .map_or(WHOLE_WITHIN, |longest| longest.min(WHOLE_WITHIN));
    let read = router
        .with_deadline(
            Some(from + whole),
            read_request(router, line, request, from),
        )
        .await;
    let read = read.unwrap_or(Err(Stop::Fault(Fault::TooSlow)));
    let (answer, mut last) = match read {
        Err(Stop::Ended) => {
            line.ends = "the client left in the middle of a request";
            return false;
        }
        Err(Stop::Fault(fault)) => {
            let (status, what) = fault.status();
            line.ends = what;
            (admission::line(status, what), true)
        }
        Ok(()) => {
            if let Some(fleet) = &router.fleet {
                fleet.settled(router).await;
            }
            line.requests += 1;
            line.ahead = Some(began).filter(|_| !line.input.is_empty());
            let (id, age) = (
                request.header("req-id").unwrap_or("-"),
                router.clock.now().since(line.opened).0 / 1000,
            );
            tracing::debug!(
                "client {}: request {} is whole, id {id}, connection {age} ms old",
                line.number,
                line.requests
            );
            // Requests that were sent ahead, or waited to be accepted, may have lost their client meanwhile: nothing of
            // theirs is begun. Whoever asks for health alone may have shut its way here and still listen.
            let there = is_there(line);
            if !line.input.is_empty() {
                line.ahead = line.ahead.or(Some(now));
            }
            if !there && !admission::is_health(request) {
                line.ends = "the client left before its request was begun";
                return false;
            }
            let (closes, admitted) = (
                request.closes(),
                admission::admit(router, request, began, line.stream.certificate()),
            );
            line.holds(request.body().len());
            request.forget_body();
            let answer = match admitted {
                Admitted::Answer(answer) => answer,
                Admitted::Held(id, reply) => match wait(router, line, &reply).await {
                    Some(answer) => answer,
                    None => {
                        dispatch::lapse(router, id);
                        line.ends = "the client left before its answer";
                        return false;
                    }
                },
            };
            (answer, closes)
        }
    };
    let (status, headers, body) = answer;
    // After a request that made no sense, what follows on its connection may make none either.
    let bad = matches!(status, 400..=499 | 501 | 505) && !matches!(status, 401 | 403 | 429);
    last |= bad || line.floods || router.is_stopping();
    let body = if request.method() == "HEAD" {
        String::new()
    } else {
        body
    };
    if !line
        .output
        .push(&http::answer(status, &headers, &body, last))
    {
        tracing::warn!("an answer of {} bytes is longer than its bound", body.len());
        line.ends = "an answer longer than its bound";
        return false;
    }
    line.holds(0);
    // After the longest time that any client waits, a slow one holds nothing up.
    let last_byte = router
        .bounds
        .longest_deadline
        .map(|longest| router.clock.now() + longest);
    let last_byte = router.before_shutdown(last_byte, |of| of.exit_by);
    let written = router
        .with_deadline(last_byte, write_all(line))
        .await
        .unwrap_or(false);
    line.gone |= !written;
    line.holds(0);
    tracing::debug!(
        "client {}: answered {status}, written whole: {written}",
        line.number
    );
    line.ends = if written {
        "its answer was the last"
    } else {
        "the answer could not be written"
    };
    written && !last
}

/// Ends a connection in order: shuts the way to the client, reads what still comes up to its end, and throws it away. Closed
/// over bytes that were not read, a connection is reset, and an answer on its way goes with it. Nothing that is read here is
/// sent on: whoever sees the end before an answer asks again elsewhere. It gives its descriptor up first when one is wanted.
async fn linger(router: &Router, line: &mut Line) {
    let place = router.clients.wait(Micros(0), State::Closing);
    let told = place.told.listen();
    line.stream.finish();
    line.input.consume(usize::MAX);
    line.holds(0);
    let mut left = LINGER_BYTES;
    let drained = async {
        while let Ok(some) = take_bytes(line) {
            left = left.saturating_sub(line.input.filled().len());
            line.input.consume(usize::MAX);
            if left == 0 || !some && line.stream.readable().await.is_err() {
                return;
            }
        }
    };
    let late = async {
        Timer::after(LINGER).await;
    };
    future::or(future::or(drained, late), told).await;
}

/// Waits on a connection between requests; false if it is to end.
async fn idle(router: &Router, line: &mut Line) -> bool {
    // One that has brought nothing yet stands with the requests that are not whole, by its age.
    let since = line.accepted.unwrap_or_else(|| router.clock.now());
    let state = if line.accepted.is_none() {
        State::Resting
    } else {
        State::New
    };
    let place = router.clients.wait(since, state);
    let mut told = place.told.listen();
    router.clients.keep_idle(router.descriptors.kept_idle());
    loop {
        let hands = router.client_transfer.active_changed();
        if router.client_transfer.is_active() {
            (line.handed, line.ends) = (true, "it goes to the new process");
            return false;
        }
        // In a stop, one that has brought no request yet is told when it is to end.
        let rests = line.accepted.is_none();
        let waits_on = !(rests && router.listener.is_closed()) && {
            let more = async { line.stream.readable().await.is_ok() };
            let ends = async {
                (&mut told).await;
                false
            };
            let handed = async {
                hands.await;
                true
            };
            let waits = future::or(more, future::or(ends, handed));
            let silent = line.accepted.map(|at| at + WHOLE_WITHIN);
            router.with_deadline(silent, waits).await.unwrap_or(false)
        };
        // A request that has come meanwhile is still served; a wake-up without bytes begins none.
        match take_bytes(line) {
            Ok(false) if waits_on => {}
            taken => {
                line.ends = if line.gone {
                    "the client left"
                } else {
                    "it rested, and gave way"
                };
                return taken.unwrap_or(false);
            }
        }
    }
}

/// Why no request could be read.
enum Stop {
    Ended,
    Fault(Fault),
}

/// Reads bytes that are there; false if there are none just now.
fn take_bytes(line: &mut Line) -> Result<bool, Stop> {
    let free = line.input.free();
    if free.is_empty() {
        return Ok(true);
    }
    loop {
        match line.stream.read(free) {
            Ok(count) if count > 0 => {
                line.input.filled_more(count);
                return Ok(true);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                line.input.rest();
                return Ok(false);
            }
            _ => {
                line.gone = true;
                return Err(Stop::Ended);
            }
        }
    }
}

/// Whether the client is still there, as far as what it has sent tells; that is read, and waits.
fn is_there(line: &mut Line) -> bool {
    for _ in 0..READS {
        line.make_room();
        match take_bytes(line) {
            Ok(true) => {}
            Ok(false) => return true,
            Err(_) => return false,
        }
    }
    true
}

async fn read_request(
    router: &Router,
    line: &mut Line,
    request: &mut Reader,
    since: Micros,
) -> Result<(), Stop> {
    let place = router.clients.wait(since, State::Partial);
    let mut told = place.told.listen();
    loop {
        if request.read(&mut line.input).map_err(Stop::Fault)? {
            return Ok(());
        }
        let held = line.holds(request.size());
        place.holds(held);
        if router.budget.is_over() {
            router.clients.close_largest();
        }
        let more = async { line.stream.readable().await.map_err(|_| Stop::Ended) };
        let gives_way = async {
            (&mut told).await;
            Err(Stop::Fault(Fault::NoRoom))
        };
        future::or(gives_way, more).await?;
        take_bytes(line)?;
    }
}

/// Waits for a lookup's answer; none if the client has left before it.
async fn wait(router: &Router, line: &mut Line, reply: &Reply) -> Option<Answer> {
    let answer = async { Some(reply.wait().await) };
    future::or(answer, left(router, line)).await
}

/// Ends when the client has left. What it sends ahead waits, within its bound and while there is memory. A client's end stands
/// behind all that it has sent: one that sent much at once and went had its parts sent on for as long as its lookup lasted.
async fn left<T>(router: &Router, line: &mut Line) -> Option<T> {
    loop {
        line.make_room();
        for _ in 0..READS {
            match take_bytes(line) {
                Ok(true) if line.input.room() > 0 => {}
                Ok(_) => break,
                Err(_) => return None,
            }
        }
        if !line.input.is_empty() {
            line.ahead = line.ahead.or(Some(router.clock.now()));
        }
        if line.holds(0) > 0 && router.budget.is_over() {
            line.overrun();
        }
        if line.floods {
            // Whoever floods costs no more than a part of the time.
            Timer::after(FLOOD_PAUSE).await;
        }
        if line.stream.readable().await.is_err() {
            line.gone = true;
            return None;
        }
    }
}

async fn write_all(line: &mut Line) -> bool {
    while !line.output.is_empty() {
        match line.stream.write(line.output.filled()) {
            Ok(0) => return false,
            Ok(count) => line.output.consume(count),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                if line.stream.writable().await.is_err() {
                    return false;
                }
            }
            Err(_) => return false,
        }
    }
    loop {
        match line.stream.flush() {
            Ok(true) => return true,
            Ok(false) if line.stream.writable().await.is_ok() => {}
            _ => return false,
        }
    }
}
