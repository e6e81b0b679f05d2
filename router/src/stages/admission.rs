//! Admit: checks a whole request, and writes a lookup in if the limits leave room for it.

use std::rc::Rc;

use serde_json::Value;
use ternpick::types::{CustomerNo, IndexNo, Micros, QueryId, RetrySemantics};
use ternpick_identity::Certificate;

use crate::router::Router;
use crate::stages::{auth_filter, dispatch};
use crate::state::clients::{Answer, Reply};
use crate::state::in_flight::Taken;
use ternpick_wire::http::Reader;
use ternpick_wire::query;

/// What becomes of a request: an answer at once, or a lookup in hand.
pub enum Admitted {
    Answer(Answer),
    Held(QueryId, Rc<Reply>),
}

/// An answer of one line.
pub fn line(status: u16, what: &str) -> Answer {
    (status, String::new(), format!("{what}\n"))
}

/// Whether a request begins nothing.
pub fn is_health(request: &Reader) -> bool {
    request.path() == "/_health"
}

/// Takes a request whose first byte came at `began`, on a connection that has shown `certificate`.
pub fn admit(
    router: &Router,
    request: &Reader,
    began: Micros,
    certificate: Option<Rc<Certificate>>,
) -> Admitted {
    match (request.method(), request.path()) {
        ("GET" | "HEAD", "/_health") if router.is_stopping() => {
            Admitted::Answer(line(503, "stopping"))
        }
        ("GET" | "HEAD", "/_health") => Admitted::Answer(line(200, "{}")),
        (_, "/_health") => {
            Admitted::Answer((405, "Allow: GET, HEAD\r\n".into(), "only GET\n".into()))
        }
        _ => lookup(router, request, began, certificate).unwrap_or_else(Admitted::Answer),
    }
}

/// Asks the gate, if there is one, before anything is told of what exists; the tenant comes back.
fn gate(
    router: &Router,
    request: &Reader,
    certificate: Option<&Rc<Certificate>>,
    segment: &str,
    index: Option<IndexNo>,
    fields: Option<&Value>,
) -> Result<Option<CustomerNo>, Answer> {
    let Some(gate) = &router.auth else {
        return Ok(None);
    };
    let token = auth_filter::token(request)?;
    let repeat = |index: IndexNo| {
        router.decisions.borrow().engine.config.indexes[index.at()].retry_semantics
    };
    let idempotent = index
        .map(repeat)
        .is_none_or(|repeat| repeat == RetrySemantics::Idempotent);
    let statement = fields
        .and_then(|fields| query::statement(fields).ok())
        .unwrap_or_default();
    let ask = auth_filter::ask(token, certificate, request, segment, idempotent, statement);
    gate.check(router, request, &ask)
        .map(|pass| Some(pass.tenant))
}

fn lookup(
    router: &Router,
    request: &Reader,
    began: Micros,
    certificate: Option<Rc<Certificate>>,
) -> Result<Admitted, Answer> {
    let bounds = &router.bounds;
    let segment = request.path().split('/').nth(1).unwrap_or_default();
    let at = bounds.index_names.iter().position(|name| name == segment);
    let (index, fields) = (at.map(|at| IndexNo(at as u8)), query::parse(request.body()));
    let tenant = gate(
        router,
        request,
        certificate.as_ref(),
        segment,
        index,
        fields.as_ref().ok(),
    )?;
    let index = index.ok_or_else(|| line(404, "no such index"))?;
    if request.method() != "POST" {
        return Err((405, "Allow: POST\r\n".into(), "only POST\n".into()));
    }
    let bad = |what: &str| line(400, what);
    if request
        .header("req-kind")
        .is_some_and(|kind| kind != segment)
    {
        return Err(bad("Req-Kind is not the path's"));
    }
    let word = |name: &str| request.header(name).filter(|word| plain(word));
    let name = word("req-id").ok_or_else(|| bad("Req-Id is missing or malformed"))?;
    let deadline = request
        .header("req-deadline-ms")
        .and_then(|ms| ms.parse::<u32>().ok());
    let deadline = deadline
        .filter(|ms| *ms > 0)
        .ok_or_else(|| bad("Req-Deadline-Ms makes no sense"))?;
    // Nobody waits longer than the settings say, whatever a client claims.
    let deadline =
        Micros(u64::from(deadline) * 1000).min(bounds.longest_deadline.unwrap_or(Micros(u64::MAX)));
    let now = router.clock.now();
    let left = deadline.since(now.since(began));
    let repeat = request.header("req-retry") == Some("1");
    let fields = fields.map_err(bad)?;
    let parts = query::parts(&fields, bounds.shards).map_err(bad)?;
    let statement = query::statement(&fields).map_err(bad)?;
    let mut desk = router.decisions.borrow_mut();
    let row = &desk.engine.config.indexes[index.at()];
    let (fingerprinted, soft) = (
        matches!(row.retry_semantics, RetrySemantics::Fingerprinted(_)),
        row.latency_objective,
    );
    let key = fingerprinted
        .then(|| word("idempotency-key").ok_or_else(|| bad("Idempotency-Key is missing")));
    let key = key.transpose()?;
    if desk.effects.in_flight.knows(name) {
        return Err(bad("Req-Id is in hand already"));
    }
    if desk.effects.is_full() {
        return Err(line(503, "too many lookups in hand"));
    }
    // By the clock as it stands in this very turn: a process that was stopped finds its lease over.
    let mark = router
        .fleet
        .as_ref()
        .map(|fleet| fleet.admit(router.clock.now()))
        .transpose()?;
    // From here on the place is the lookup's, and is given back where it closes.
    if let (Some(limits), Some(tenant)) = (&mut desk.effects.limits, tenant) {
        auth_filter::place(limits, now, tenant, repeat)?;
    }
    let span = tracing::debug_span!("lookup", id = name, index = segment);
    let taken = Taken {
        tenant,
        at: now,
        soft,
        mark,
        span,
    };
    let reply = Rc::new(Reply::default());
    let shards = parts.iter().map(|(shard, _, _)| *shard);
    let (id, ids) =
        desk.effects
            .in_flight
            .open(name, statement, key, shards, Rc::clone(&reply), taken);
    drop(desk);
    let parts = ids
        .into_iter()
        .zip(parts)
        .map(|(id, (shard, weight, hint))| (id, shard, weight, hint));
    dispatch::take(
        router,
        id,
        index,
        tenant.unwrap_or_default(),
        left,
        repeat,
        parts.collect(),
    );
    Ok(Admitted::Held(id, reply))
}

/// What may stand in a frame's line, and is not endless.
fn plain(word: &str) -> bool {
    (1..=128).contains(&word.len()) && word.bytes().all(|b| b.is_ascii_graphic() && b != b',')
}
