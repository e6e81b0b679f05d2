//! Admission: answers or rejects a complete request, or enters its query in the in-flight table.
//!
//! The order of the checks is part of the behaviour: health, authorisation (`auth_filter.rs`), the fields of the
//! request (`query_request.rs`), repeats of queries that must not run twice, duplicates, the limit on queries in flight, the fleet's lease, the tenant's limits.
//! Called by `client_connection.rs`; passes admitted queries to `dispatch.rs`.

use std::rc::Rc;

use serde_json::Value;
use ternpick::types::{CustomerNo, IndexNo, Micros, QueryId, RetrySemantics};
use ternpick_identity::{AuthRequest, Certificate};
use ternpick_wire::http::Reader;
use ternpick_wire::query;

use crate::fleet::PolicyMark;
use crate::router::{Decisions, Router};
use crate::stages::auth_filter;
use crate::stages::dispatch::{self, NewQuery, NewShardRequest};
use crate::stages::query_request::{self, QueryRequest};
use crate::state::clients::{Answer, PendingResponse};
use crate::state::in_flight::AdmissionRecord;

/// The result of admission for one request.
pub(crate) enum AdmissionOutcome {
    /// The request is answered at once.
    Answer(Answer),
    /// The request is a query in flight; its answer will be in the pending response.
    InFlight(QueryId, Rc<PendingResponse>),
}

/// When a request arrived, and the client certificate of its connection.
struct Arrival {
    /// When the first byte of the request arrived.
    arrived_at: Micros,
    /// The certificate that the client has presented.
    certificate: Option<Rc<Certificate>>,
}

/// Returns an answer whose body is one line of text.
pub(crate) fn text_answer(status: u16, text: &str) -> Answer {
    (status, String::new(), format!("{text}\n"))
}

/// Whether a request is a health check of the router, which starts no query.
pub(crate) fn is_health(request: &Reader) -> bool {
    request.path() == "/_health"
}

/// Admits a request whose first byte arrived at `arrived_at`, on a connection that has presented `certificate`.
pub(crate) fn admit(
    router: &Router,
    request: &Reader,
    arrived_at: Micros,
    certificate: Option<Rc<Certificate>>,
) -> AdmissionOutcome {
    if is_health(request) {
        return AdmissionOutcome::Answer(health(router, request));
    }
    let arrival = Arrival {
        arrived_at,
        certificate,
    };
    admit_query(router, request, &arrival).unwrap_or_else(AdmissionOutcome::Answer)
}

fn health(router: &Router, request: &Reader) -> Answer {
    if !matches!(request.method(), "GET" | "HEAD") {
        return (405, "Allow: GET, HEAD\r\n".into(), "only GET\n".into());
    }
    if router.is_stopping() {
        return text_answer(503, "stopping");
    }
    text_answer(200, "{}")
}

fn admit_query(
    router: &Router,
    request: &Reader,
    arrival: &Arrival,
) -> Result<AdmissionOutcome, Answer> {
    let index = query_request::find_index(&router.bounds, query_request::index_name(request));
    let fields = query::parse(request.body());
    // Authorisation comes first, so that an unauthorised caller learns nothing about which indexes exist.
    let tenant = authorise(
        router,
        request,
        arrival.certificate.as_ref(),
        index,
        fields.as_ref().ok(),
    )?;
    let checked = query_request::check(router, request, index, &fields)?;
    let now = router.clock.now();
    check_repeat(router, &checked)?;
    let mark = check_capacity(router, checked.request_id)?;
    let time_left = checked.deadline.since(now.since(arrival.arrived_at));
    reserve_for_tenant(router, now, tenant, checked.is_retry)?;
    Ok(enter_in_flight_table(
        router, now, time_left, tenant, mark, checked,
    ))
}

/// Whether the request would be rejected now only because keys or revocations have not been read yet.
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
    authorisation_request(router, request, certificate, index, fields.as_ref())
        .is_ok_and(|asked| auth.may_pass_after_first_read(router, &asked))
}

/// Checks the request with the auth filter, if there is one; returns the caller's tenant.
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
    let asked = authorisation_request(router, request, certificate, index, fields)?;
    auth.check(router, request, &asked)
        .map(|pass| Some(pass.tenant))
}

/// Returns the facts about a request on which the auth filter decides.
fn authorisation_request<'a>(
    router: &Router,
    request: &'a Reader,
    certificate: Option<&'a Rc<Certificate>>,
    index: Option<IndexNo>,
    fields: Option<&'a Value>,
) -> Result<AuthRequest<'a>, Answer> {
    let token = auth_filter::bearer_token(request)?;
    let idempotent = index.is_none_or(|index| {
        let decisions = router.decisions.borrow();
        decisions.engine.config.indexes[index.as_usize()].retry_semantics
            == RetrySemantics::Idempotent
    });
    let statement = fields
        .and_then(|fields| query::statement(fields).ok())
        .unwrap_or_default();
    Ok(AuthRequest {
        token,
        certificate: certificate.map(Rc::as_ref),
        behalf: request.header("on-behalf-of"),
        index: query_request::index_name(request),
        idempotent,
        statement,
    })
}

/// Whether the request is a query that must not run twice.
pub(super) fn runs_once(router: &Router, request: &Reader) -> bool {
    let index = query_request::find_index(&router.bounds, query_request::index_name(request));
    let decisions = router.decisions.borrow();
    index.is_some_and(|index| {
        decisions.engine.config.indexes[index.as_usize()].retry_semantics
            == RetrySemantics::OnceOnly
    })
}

/// Rejects a query that must not run twice if one with its id may still run, whoever has sent that one.
fn check_repeat(router: &Router, checked: &QueryRequest) -> Result<(), Answer> {
    let mut decisions = router.decisions.borrow_mut();
    let Decisions { engine, effects } = &mut *decisions;
    let semantics = engine.config.indexes[checked.index.as_usize()].retry_semantics;
    if semantics != RetrySemantics::OnceOnly {
        return Ok(());
    }
    if router.client_transfer.is_active() {
        // The ids that this process knew have been passed on: the new process could not tell that it forwards a repeat.
        return Err(text_answer(503, "handing over to another process"));
    }
    let now = router.clock.now();
    if effects.forwarded_ids.contains(now, checked.request_id) {
        return Err(text_answer(
            502,
            "failed: a query with this Req-Id may have had its effect",
        ));
    }
    if effects.forwarded_ids.is_full(now) {
        return Err(text_answer(503, "too many queries that may still run"));
    }
    Ok(())
}

/// Checks a well-formed query against the queries in flight and the fleet's lease; returns the policy that applies to
/// it.
fn check_capacity(router: &Router, request_id: &str) -> Result<Option<PolicyMark>, Answer> {
    let mut decisions = router.decisions.borrow_mut();
    if decisions.effects.in_flight.has_request(request_id) {
        return Err(text_answer(400, "Req-Id is in hand already"));
    }
    if decisions.effects.is_full() {
        return Err(text_answer(503, "too many lookups in hand"));
    }
    // The clock is read in this same turn, so that a process that was suspended finds its lease expired.
    router
        .fleet
        .as_ref()
        .map(|fleet| fleet.admit(router.clock.now()))
        .transpose()
}

/// Reserves a place among the tenant's queries in flight. The query holds it until the query is closed.
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

/// Enters a query in the in-flight table, and passes it to the routing engine.
fn enter_in_flight_table(
    router: &Router,
    now: Micros,
    time_left: Micros,
    tenant: Option<CustomerNo>,
    mark: Option<PolicyMark>,
    checked: QueryRequest,
) -> AdmissionOutcome {
    let reply = Rc::new(PendingResponse::default());
    let mut decisions = router.decisions.borrow_mut();
    let index = &decisions.engine.config.indexes[checked.index.as_usize()];
    let latency_objective = index.latency_objective;
    let runs_once = index.retry_semantics == RetrySemantics::OnceOnly;
    let admission_record = AdmissionRecord {
        tenant,
        admitted_at: now,
        latency_objective,
        runs_once,
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
        admission_record,
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
    AdmissionOutcome::InFlight(query, reply)
}
