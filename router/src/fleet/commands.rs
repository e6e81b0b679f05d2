//! Operators' commands as routers pass them on, and the answers to their questions.

use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_fleet_policy::{
    Command, FleetNode, OperationId, OperatorRequest, OperatorResponse, Outcome, PolicyDocument,
    PolicyState, ProposalStatus, Record,
};

use crate::fleet::Fleet;
use crate::router::Router;

/// Rows of members in an answer; of more, those that matter most come first.
const MOST_ROWS: usize = 200;
/// The longest that a command waits here for its outcome.
const LONGEST_WAIT: Micros = Micros(60_000_000);

fn fate(of: &ProposalStatus) -> Value {
    match of {
        ProposalStatus::Open => json!({"fate": "open"}),
        ProposalStatus::InForce => json!({"fate": "in_force"}),
        ProposalStatus::Refused(member, words) => {
            json!({"fate": "refused", "by": member, "why": words})
        }
        ProposalStatus::Withdrawn(by, reason) => {
            json!({"fate": "withdrawn", "by": by, "why": reason})
        }
    }
}

fn paper(of: &PolicyDocument) -> Value {
    json!({"number": of.number, "author": of.author, "reason": of.reason, "text": of.text})
}

fn policy(register: &PolicyState) -> Value {
    let past = |past: &ternpick_fleet_policy::HistoryEntry| {
        let mut row = json!({"number": past.number, "author": past.author, "reason": past.reason, "at": past.at});
        if let (Value::Object(row), Value::Object(more)) = (&mut row, fate(&past.status)) {
            row.extend(more);
        }
        row
    };
    let next = register.proposal.as_ref().map(|next| {
        let mut of = paper(&next.document);
        of["takes_hold"] = next.barrier.is_some().into();
        of["round"] = next.round.0.into();
        of["unconfirmed"] = next.unconfirmed.into();
        of["fit"] = next.accepted_by.len().into();
        of
    });
    json!({"index": register.index, "epoch": register.epoch, "in_force": paper(&register.in_force), "next": next,
        "newest": register.newest_version, "members": register.members.len(),
        "history": register.history.iter().map(past).collect::<Vec<_>>()})
}

/// What the one that leads says to a question; none: this one does not lead.
pub fn look(council: &FleetNode, what: &str, now: Micros) -> Option<String> {
    let (chair, register) = council.leader_state()?;
    if let Some(answer) = council.extension.inspect(now, what) {
        return Some(answer);
    }
    let mut answer = policy(register);
    let mut seen = chair.member_status(now, register);
    let is_silent = |of: &ternpick_fleet_policy::MemberStatus| {
        of.since_last_contact.is_none_or(|ago| ago.0 > 1_000_000)
    };
    let waits_for = |of: &ternpick_fleet_policy::MemberStatus| {
        of.fits == Some(false) || of.stopped == Some(false)
    };
    answer["silent"] = seen.iter().filter(|of| is_silent(of)).count().into();
    answer["latest_ms"] = (chair.remaining_lease_bound(now, register).0 / 1000).into();
    answer["leader"] = json!(council.leader());
    if what == "members" {
        seen.sort_by_key(|of| (!waits_for(of), !is_silent(of)));
        let rows = seen.iter().take(MOST_ROWS).map(|of| {
            let seated = register.members.get(&of.member);
            json!({"member": of.member, "heard_ms_ago": of.since_last_contact.map(|ago| ago.0 / 1000), "knows_up_to": of.known_index,
                "lease_over": of.lease_over, "fits": of.fits, "stopped": of.stopped,
                "address": seated.map(|of| &of.address), "zone": seated.map(|of| &of.zone),
                "seat": seated.and_then(|of| of.replica), "learns": seated.is_some_and(|of| of.is_learner)})
        });
        answer["rows"] = rows.collect();
        answer["in_force"]["text"] = Value::Null;
    }
    Some(answer.to_string())
}

/// Answers the control socket: what an operator asks of this router's fleet.
pub async fn answer(router: &Router, fleet: &Fleet, asked: &Value) -> Value {
    let wait = Micros(
        asked["wait_ms"]
            .as_u64()
            .unwrap_or(5000)
            .saturating_mul(1000),
    )
    .min(LONGEST_WAIT);
    let op = OperationId(asked["op"].as_u64().unwrap_or_else(crate::fleet::chance));
    match asked["ask"].as_str() {
        Some("status") => {
            let (now, desk) = (router.clock.now(), router.decisions.borrow());
            json!({"done": true, "ok": true, "fleet": fleet.status(&desk.engine, now)})
        }
        Some("check") => {
            let (name, text) = (
                asked["name"].as_str().unwrap_or("policy"),
                asked["text"].as_str().unwrap_or_default(),
            );
            match Record::read_within(name, text, &fleet.platform()) {
                Ok(record) => json!({"done": true, "ok": true, "figures": record.lines()}),
                Err(words) => json!({"done": true, "ok": false, "line": words}),
            }
        }
        Some("show") => {
            let text = fleet
                .node
                .borrow()
                .lease_holder
                .view()
                .map(|view| (view.in_force.clone(), view.epoch));
            match text {
                Some((of, epoch)) => {
                    json!({"done": true, "ok": true, "in_force": paper(&of), "epoch": epoch})
                }
                None => {
                    json!({"done": true, "ok": false, "line": "this router has yet to learn the policy in force"})
                }
            }
        }
        Some("look") => {
            let what = asked["what"].as_str().unwrap_or("policy").to_owned();
            match fleet
                .ask(router, op, OperatorRequest::Inspect(what), wait)
                .await
            {
                Some(OperatorResponse::Inspection(json)) => {
                    json!({"done": true, "ok": true, "look": serde_json::from_str::<Value>(&json).ok()})
                }
                _ => unknown("nobody that leads is reached"),
            }
        }
        Some("do") => {
            let Ok(command) = serde_json::from_value::<Command>(asked["command"].clone()) else {
                return json!({"done": true, "ok": false, "line": "this is no command of a fleet"});
            };
            match fleet.ask(router, op, OperatorRequest::Command(command), wait).await {
                Some(OperatorResponse::Outcome(Outcome::Proposed(number))) => {
                    json!({"done": true, "ok": true, "number": number})
                }
                Some(OperatorResponse::Outcome(Outcome::MemberInfo(seat))) => json!({"done": true, "ok": true, "seat": seat}),
                Some(OperatorResponse::Outcome(Outcome::Numbered(number))) => {
                    json!({"done": true, "ok": true, "number": number})
                }
                Some(OperatorResponse::Outcome(Outcome::Done)) => json!({"done": true, "ok": true}),
                Some(OperatorResponse::Outcome(Outcome::Refused(words))) => {
                    json!({"done": true, "ok": false, "line": words})
                }
                _ => unknown(
                    "no outcome was heard: it may be done yet, or have been done. Said again with the same \
                    --op it is done once",
                ),
            }
        }
        Some("works") => crate::fleet::maintenance::answer(router, fleet, asked, op, wait).await,
        _ => {
            json!({"done": true, "ok": false, "line": "ask for status, show, check, look, do or works"})
        }
    }
}

/// Nobody can tell: neither done nor refused.
pub fn unknown(words: &str) -> Value {
    json!({"done": true, "ok": false, "unknown": true, "line": words})
}
