//! The calls to discovery that are open at once: the current one, and earlier ones that are overdue.
//!
//! An overdue call is not closed, because discovery may only be slow: if each answer came just after the call's time,
//! every call would be closed before its answer, and the list would never be read. It is read on while further calls
//! are made, as `ternpick::watch_schedule` describes. `watch.rs` decides when calls begin, and what their answers change.

use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll as TaskPoll};

use async_io::Async;
use serde_json::Value;
use ternpick::types::Micros;
use ternpick::watch_schedule::{Poll, MAX_OVERDUE_CALLS, OVERDUE_READ_FOR};
use ternpick_wire::discovery;

use crate::lifecycle::endpoint_list::MalformedList;
use crate::lifecycle::http_client::{self, HttpError};
use crate::router::Router;
use crate::stages::upstream_writer;

/// Why a call of the watch failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The call is overdue.
    #[error("no complete response within the timeout")]
    TimedOut,
    /// The connection failed, or the response is no list.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// The list is not valid.
    #[error("{0}")]
    Malformed(#[from] MalformedList),
}

/// The response to a call.
pub(super) struct DiscoveryResponse {
    /// The endpoint list.
    pub(super) list: Value,
    /// The call's connection, if it can be reused.
    pub(super) connection: Option<Async<TcpStream>>,
}

/// What a call asks for, and when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallTerms {
    /// When the call began.
    pub(super) began: Micros,
    /// Its wait for a change, and when it is overdue.
    pub(super) poll: Poll,
    /// The version after which changes are requested; the complete list is requested without it.
    pub(super) after: Option<u64>,
}

/// A call that has ended.
pub(super) struct EndedCall {
    /// The terms of the call.
    pub(super) terms: CallTerms,
    /// Whether it was the current call, and not an overdue one.
    pub(super) was_current: bool,
    /// Its response.
    pub(super) result: Result<DiscoveryResponse, WatchError>,
}

type Exchange = Pin<Box<dyn Future<Output = Result<DiscoveryResponse, WatchError>>>>;

struct OpenCall {
    terms: CallTerms,
    exchange: Exchange,
}

impl OpenCall {
    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> TaskPoll<Result<DiscoveryResponse, WatchError>> {
        self.exchange.as_mut().poll(context)
    }
}

/// The open calls to discovery.
#[derive(Default)]
pub(super) struct OpenCalls {
    current: Option<OpenCall>,
    /// The earliest comes first.
    overdue: VecDeque<OpenCall>,
}

impl OpenCalls {
    /// Begins a call, which becomes the current one.
    pub(super) fn begin(
        &mut self,
        terms: CallTerms,
        exchange: impl Future<Output = Result<DiscoveryResponse, WatchError>> + 'static,
    ) {
        self.current = Some(OpenCall {
            terms,
            exchange: Box::pin(exchange),
        });
    }

    /// Whether there is a call that is not overdue.
    pub(super) fn has_current(&self) -> bool {
        self.current.is_some()
    }

    /// When the current call will be overdue.
    pub(super) fn overdue_at(&self) -> Option<Micros> {
        let terms = self.current.as_ref()?.terms;
        Some(terms.began + terms.poll.overdue_after)
    }

    /// Makes the current call an overdue one. If there are too many, the earliest is closed if it has been open for
    /// long enough, else this one.
    pub(super) fn mark_overdue(&mut self, now: Micros) {
        let Some(call) = self.current.take() else {
            return;
        };
        if self.overdue.len() >= MAX_OVERDUE_CALLS {
            let is_old = |call: &mut OpenCall| now.since(call.terms.began) > OVERDUE_READ_FOR;
            if self.overdue.pop_front_if(is_old).is_none() {
                return;
            }
        }
        self.overdue.push_back(call);
    }

    /// Closes the calls that began before `began`, because a later one has been answered.
    pub(super) fn close_earlier(&mut self, began: Micros) {
        self.overdue.retain(|call| call.terms.began > began);
    }

    /// Closes all calls.
    pub(super) fn close_all(&mut self) {
        *self = OpenCalls::default();
    }

    /// Waits for the next call to end, and removes it. Of several that have ended, the latest comes first.
    pub(super) async fn next_ended(&mut self) -> EndedCall {
        poll_fn(|context| self.poll_ended(context)).await
    }

    fn poll_ended(&mut self, context: &mut Context<'_>) -> TaskPoll<EndedCall> {
        if let Some(call) = &mut self.current {
            if let TaskPoll::Ready(result) = call.poll(context) {
                let terms = call.terms;
                self.current = None;
                return TaskPoll::Ready(EndedCall {
                    terms,
                    was_current: true,
                    result,
                });
            }
        }
        for index in (0..self.overdue.len()).rev() {
            if let TaskPoll::Ready(result) = self.overdue[index].poll(context) {
                let terms = self.overdue[index].terms;
                self.overdue.remove(index);
                return TaskPoll::Ready(EndedCall {
                    terms,
                    was_current: false,
                    result,
                });
            }
        }
        TaskPoll::Pending
    }
}

/// Makes one call on `connection`, or on a new one to `address`.
pub(super) async fn call(
    router: Rc<Router>,
    address: SocketAddr,
    connection: Option<Async<TcpStream>>,
    terms: CallTerms,
) -> Result<DiscoveryResponse, WatchError> {
    let stream = match connection {
        Some(stream) => stream,
        // The dial timeout detects an unreachable machine much earlier than the time after which the call is overdue.
        None => upstream_writer::dial(&router, address)
            .await
            .map_err(|_| HttpError::NotConnected)?,
    };
    let request = discovery::watch_request(&address.to_string(), terms.after, terms.poll.wait);
    let response = http_client::exchange(&stream, &request, discovery::MAX_LIST_BYTES).await?;
    let connection = (!response.closes_connection()).then_some(stream);
    let list = discovery::parse(response.body()).map_err(|error| MalformedList {
        reason: error.to_string(),
    })?;
    Ok(DiscoveryResponse { list, connection })
}

#[cfg(test)]
mod tests;
