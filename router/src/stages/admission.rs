//! Admission: decides what becomes of a complete request, and enters a query in the in-flight table.
//!
//! The order of the checks is part of the behaviour: health, authorisation (`auth_filter.rs`), the fields of the request
//! (`query_request.rs`), duplicates, the limit on what is in flight, the fleet's lease, the tenant's limits. Called by
//! `client_connection.rs`; what is admitted goes to `dispatch.rs`.

use std::rc::Rc;

use serde_json::Value;
use ternpick::types::{CustomerNo, IndexNo, Micros, QueryId, RetrySemantics};
use ternpick_identity::{Ask, Certificate};
use ternpick_wire::http::Reader;
use ternpick_wire::query;

use crate::fleet::Mark;
use crate::router::Router;
use crate::stages::auth_filter;
use crate::stages::dispatch::{self, NewQuery, NewShardRequest};
use crate::stages::query_request::{self, QueryRequest};
use crate::state::clients::{Answer, PendingResponse};
use crate::state::in_flight::AdmissionRecord;

/// What becomes of a request.
pub(crate) enum Admitted {
    /// It is answered at once.
    Answer(Answer),
    /// It is a query in flight, whose answer comes in the reply.
    InFlight(QueryId, Rc<PendingResponse>),
}

/// Who sends a request, as far as its connection and its first byte tell.
struct Arrival {
    /// When its first byte arrived.
    began: Micros,
    /// The certificate that its client has shown.
    certificate: Option<Rc<Certificate>>,
}

/// An answer whose body is one line of text.
pub(crate) fn line(status: u16, text: &str) -> Answer {
    (status, String::new(), format!("{text}\n"))
}

/// Whether a request asks for the router's health, and so begins nothing.
pub(crate) fn is_health(request: &Reader) -> bool {
    request.path() == "/_health"
}

/// Admits a request whose first byte came at `began`, on a connection that has shown `certificate`.
pub(crate) fn admit(
    router: &Router,
    request: &Reader,
    began: Micros,
    certificate: Option<Rc<Certificate>>,
) -> Admitted {
    if is_health(request) {
        return Admitted::Answer(health(router, request));
    }
    let arrival = Arrival { began, certificate };
    admit_query(router, request, &arrival).unwrap_or_else(Admitted::Answer)
}

fn health(router: &Router, request: &Reader) -> Answer {
    if !matches!(request.method(), "GET" | "HEAD") {
        return (405, "Allow: GET, HEAD\r\n".into(), "only GET\n".into());
    }
    if router.is_stopping() {
        return line(503, "stopping");
    }
    line(200, "{}")
}

fn admit_query(router: &Router, request: &Reader, arrival: &Arrival) -> Result<Admitted, Answer> {
    let index = query_request::find_index(&router.bounds, query_request::index_name(request));
    let fields = query::parse(request.body());
    // Before anything is told of what exists.
    let tenant = authorise(
        router,
        request,
        arrival.certificate.as_ref(),
        index,
        fields.as_ref().ok(),
    )?;
    let checked = query_request::check(router, request, index, &fields)?;
    let now = router.clock.now();
    let mark = check_capacity(router, checked.request_id)?;
    let time_left = checked.deadline.since(now.since(arrival.began));
    reserve_for_tenant(router, now, tenant, checked.is_retry)?;
    Ok(enter(router, now, time_left, tenant, mark, checked))
}

/// Whether a request would be refused now for want of what a source of keys or revocations is just about to bring.
pub(super) fn awaits_source(
    router: &Router,
    request: &Reader,
    certificate: Option<&Rc<Certificate>>,
) -> bool {
    let Some(auth) = &router.auth else {
        return false;
    };
    let index = query_request::find_index(&router.bounds, query_request::index_name(request));
    let fields = query::parse(request.body()).ok();
    ask(router, request, certificate, index, fields.as_ref())
        .is_ok_and(|asked| auth.may_learn_more(router, &asked))
}

/// Asks the authorisation filter, if there is one; returns the tenant.
fn authorise(
    router: &Router,
    request: &Reader,
    certificate: Option<&Rc<Certificate>>,
    index: Option<IndexNo>,
    fields: Option<&Value>,
) -> Result<Option<CustomerNo>, Answer> {
    let Some(auth) = &router.auth else {
        return Ok(None);
    };
    let asked = ask(router, request, certificate, index, fields)?;
    auth.check(router, request, &asked)
        .map(|pass| Some(pass.tenant))
}

/// What the authorisation filter is asked about a request.
fn ask<'a>(
    router: &Router,
    request: &'a Reader,
    certificate: Option<&'a Rc<Certificate>>,
    index: Option<IndexNo>,
    fields: Option<&'a Value>,
) -> Result<Ask<'a>, Answer> {
    let token = auth_filter::bearer_token(request)?;
    let idempotent = index.is_none_or(|index| {
        let decisions = router.decisions.borrow();
        decisions.engine.config.indexes[index.as_usize()].retry_semantics
            == RetrySemantics::Idempotent
    });
    let statement = fields
        .and_then(|fields| query::statement(fields).ok())
        .unwrap_or_default();
    Ok(Ask {
        token,
        certificate: certificate.map(Rc::as_ref),
        behalf: request.header("on-behalf-of"),
        index: query_request::index_name(request),
        idempotent,
        statement,
    })
}

/// Checks a well-formed query against what is in flight and the fleet's lease; returns the policy that it is decided under.
fn check_capacity(router: &Router, request_id: &str) -> Result<Option<Mark>, Answer> {
    let mut decisions = router.decisions.borrow_mut();
    if decisions.effects.in_flight.has_request(request_id) {
        return Err(line(400, "Req-Id is in hand already"));
    }
    if decisions.effects.is_full() {
        return Err(line(503, "too many lookups in hand"));
    }
    // By the clock as it stands in this very turn: a process that was stopped finds its lease expired.
    router
        .fleet
        .as_ref()
        .map(|fleet| fleet.admit(router.clock.now()))
        .transpose()
}

/// Reserves a place among the tenant's queries. From here on it belongs to the query, and is released where that is closed.
fn reserve_for_tenant(
    router: &Router,
    now: Micros,
    tenant: Option<CustomerNo>,
    is_retry: bool,
) -> Result<(), Answer> {
    let mut decisions = router.decisions.borrow_mut();
    match (&mut decisions.effects.limits, tenant) {
        (Some(limits), Some(tenant)) => auth_filter::reserve(limits, now, tenant, is_retry),
        _ => Ok(()),
    }
}

/// Enters a query in the in-flight table, and hands it to the decision module.
fn enter(
    router: &Router,
    now: Micros,
    time_left: Micros,
    tenant: Option<CustomerNo>,
    mark: Option<Mark>,
    checked: QueryRequest,
) -> Admitted {
    let reply = Rc::new(PendingResponse::default());
    let mut decisions = router.decisions.borrow_mut();
    let latency_objective =
        decisions.engine.config.indexes[checked.index.as_usize()].latency_objective;
    let taken = AdmissionRecord {
        tenant,
        admitted_at: now,
        latency_objective,
        mark,
        span: tracing::debug_span!(
            "query",
            request_id = checked.request_id,
            index = checked.index_name
        ),
    };
    let shards = checked.shard_requests.iter().map(|fields| fields.shard);
    let (query, ids) = decisions.effects.in_flight.open(
        checked.request_id,
        checked.statement,
        checked.idempotency_key,
        shards,
        Rc::clone(&reply),
        taken,
    );
    drop(decisions);
    let shard_requests = ids
        .into_iter()
        .zip(checked.shard_requests)
        .map(|(id, fields)| NewShardRequest { id, fields })
        .collect();
    dispatch::start_query(
        router,
        NewQuery {
            id: query,
            index: checked.index,
            tenant: tenant.unwrap_or_default(),
            time_left,
            is_retry: checked.is_retry,
            shard_requests,
        },
    );
    Admitted::InFlight(query, reply)
}
