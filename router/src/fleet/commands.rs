//! Answers the control socket's requests about the fleet. Operators' scripts read the keys and lines of the answers, so
//! these must not change.
//!
//! This router either answers a request itself, or submits it to the [`FleetNode`], which forwards it to the leader.

use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_fleet_policy::{
    Command, FleetNode, HistoryEntry, Leader, MemberStatus, OperationId, OperatorRequest,
    OperatorResponse, Outcome, PendingProposal, PolicyDocument, PolicyState, ProposalStatus,
    Record,
};

use super::{maintenance, random_u64, Fleet};
use crate::router::Router;

/// The maximum number of member rows in an answer. If there are more members, awaited and silent ones come first.
const MAX_MEMBER_ROWS: usize = 200;
/// How long a command waits for its outcome if the request has no `wait_ms`, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 5000;
/// The upper limit of a request's `wait_ms`.
const MAX_WAIT: Micros = Micros(60_000_000);
/// A member is silent once the leader has received nothing from it for longer than this.
const SILENT_AFTER: Micros = Micros(1_000_000);

/// The options that all requests to the leader have in common.
#[derive(Clone, Copy)]
pub(super) struct RequestOptions {
    /// The operation's id. Commands with the same id take effect once.
    pub(super) op: OperationId,
    /// How long the router waits for an answer.
    pub(super) wait: Micros,
}

impl RequestOptions {
    fn read(request: &Value) -> RequestOptions {
        let wait_ms = request["wait_ms"].as_u64().unwrap_or(DEFAULT_WAIT_MS);
        RequestOptions {
            op: OperationId(request["op"].as_u64().unwrap_or_else(random_u64)),
            wait: Micros(wait_ms.saturating_mul(1000)).min(MAX_WAIT),
        }
    }
}

/// Answers one request about this router's fleet.
pub(crate) async fn answer(router: &Router, fleet: &Fleet, request: &Value) -> Value {
    let options = RequestOptions::read(request);
    match request["ask"].as_str() {
        Some("status") => status(router, fleet),
        Some("check") => check(fleet, request),
        Some("show") => show(fleet),
        Some("look") => {
            let question = request["what"].as_str().unwrap_or("policy").to_owned();
            ask_leader(router, fleet, options, question).await
        }
        Some("do") => match serde_json::from_value::<Command>(request["command"].clone()) {
            Ok(command) => submit_command(router, fleet, options, command).await,
            Err(error) => refused(format!("fleet command cannot be decoded: {error}")),
        },
        Some("works") => maintenance::answer(router, fleet, request, options).await,
        _ => refused(format!(
            "unknown fleet request: expected 'ask' to be status, show, check, look, do or works, found {}",
            request["ask"]
        )),
    }
}

/// Makes the answer for a refused request.
pub(super) fn refused(reason: impl Into<String>) -> Value {
    json!({"done": true, "ok": false, "line": reason.into()})
}

/// Makes the answer for a request of which it is unknown whether it was done or refused.
fn unknown(reason: String) -> Value {
    json!({"done": true, "ok": false, "unknown": true, "line": reason})
}

fn status(router: &Router, fleet: &Fleet) -> Value {
    let decisions = router.decisions.borrow();
    let status = fleet.status(&decisions.engine, router.clock.now());
    json!({"done": true, "ok": true, "fleet": status})
}

fn check(fleet: &Fleet, request: &Value) -> Value {
    let name = request["name"].as_str().unwrap_or("policy");
    let text = request["text"].as_str().unwrap_or_default();
    match Record::read_within(name, text, &fleet.platform_defaults.limits()) {
        Ok(record) => json!({"done": true, "ok": true, "figures": record.settings_by_path()}),
        Err(error) => refused(error.to_string()),
    }
}

fn show(fleet: &Fleet) -> Value {
    let node = fleet.node.borrow();
    match node.lease_holder.view() {
        Some(view) => json!({
            "done": true,
            "ok": true,
            "in_force": document(&view.in_force),
            "epoch": view.epoch,
        }),
        None => refused("this router has not learned the policy in force yet"),
    }
}

/// Sends a question to the leader and returns its answer.
pub(super) async fn ask_leader(
    router: &Router,
    fleet: &Fleet,
    options: RequestOptions,
    question: String,
) -> Value {
    let request = OperatorRequest::Inspect(question);
    match fleet
        .submit(router, options.op, request, options.wait)
        .await
    {
        Some(OperatorResponse::Inspection(answer)) => {
            json!({"done": true, "ok": true, "look": serde_json::from_str::<Value>(&answer).ok()})
        }
        _ => unknown(format!(
            "no fleet leader could be reached within {} ms",
            options.wait.0 / 1000
        )),
    }
}

/// Sends a command to the leader and returns its outcome.
pub(super) async fn submit_command(
    router: &Router,
    fleet: &Fleet,
    options: RequestOptions,
    command: Command,
) -> Value {
    let request = OperatorRequest::Command(command);
    match fleet.submit(router, options.op, request, options.wait).await {
        Some(OperatorResponse::Outcome(outcome)) => outcome_answer(outcome),
        _ => unknown(format!(
            "no outcome received within {} ms: the command may have taken effect or may still do so; repeated with the same \
             --op it takes effect once",
            options.wait.0 / 1000
        )),
    }
}

fn outcome_answer(outcome: Outcome) -> Value {
    match outcome {
        Outcome::Proposed(number) => json!({"done": true, "ok": true, "number": number}),
        Outcome::ReplicaAssigned(replica) => json!({"done": true, "ok": true, "seat": replica}),
        Outcome::Numbered(number) => json!({"done": true, "ok": true, "number": number}),
        Outcome::Done => json!({"done": true, "ok": true}),
        Outcome::Refused(reason) => refused(reason),
    }
}

/// Returns the leader's answer to a question as JSON, or `None` if this router is not the leader.
pub(super) fn inspect(node: &FleetNode, question: &str, now: Micros) -> Option<String> {
    let (leader, state) = node.leader_state()?;
    if let Some(answer) = node.extension.inspect(now, question) {
        return Some(answer);
    }
    let mut members = leader.member_status(now, state);
    let mut answer = policy(state);
    answer["silent"] = members
        .iter()
        .filter(|member| is_silent(member))
        .count()
        .into();
    answer["latest_ms"] = latest_ms(leader, state, now);
    answer["leader"] = json!(node.leader());
    if question == "members" {
        members.sort_by_key(|member| (!is_awaited(member), !is_silent(member)));
        let rows = members.iter().take(MAX_MEMBER_ROWS);
        answer["rows"] = rows.map(|member| member_row(member, state)).collect();
        answer["in_force"]["text"] = Value::Null;
    }
    Some(answer.to_string())
}

/// The upper bound of the milliseconds until a policy change is in force without the silent members.
fn latest_ms(leader: &Leader, state: &PolicyState, now: Micros) -> Value {
    (leader.remaining_lease_bound(now, state).0 / 1000).into()
}

fn is_silent(member: &MemberStatus) -> bool {
    member
        .since_last_contact
        .is_none_or(|since| since > SILENT_AFTER)
}

/// Whether a policy change waits for the member.
fn is_awaited(member: &MemberStatus) -> bool {
    member.fits == Some(false) || member.stopped == Some(false)
}

fn member_row(status: &MemberStatus, state: &PolicyState) -> Value {
    let info = state.members.get(&status.member);
    json!({
        "member": status.member,
        "heard_ms_ago": status.since_last_contact.map(|since| since.0 / 1000),
        "knows_up_to": status.known_index,
        "lease_over": status.lease_over,
        "fits": status.fits,
        "stopped": status.stopped,
        "address": info.map(|info| &info.address),
        "zone": info.map(|info| &info.zone),
        "seat": info.and_then(|info| info.replica),
        "learns": info.is_some_and(|info| info.is_learner),
    })
}

fn policy(state: &PolicyState) -> Value {
    let history: Vec<Value> = state.history.iter().map(history_entry).collect();
    json!({
        "index": state.index,
        "epoch": state.epoch,
        "in_force": document(&state.in_force),
        "next": state.proposal.as_ref().map(proposal),
        "newest": state.newest_version,
        "members": state.members.len(),
        "history": history,
    })
}

fn document(document: &PolicyDocument) -> Value {
    json!({
        "number": document.number,
        "author": document.author,
        "reason": document.reason,
        "text": document.text,
    })
}

fn proposal(proposal: &PendingProposal) -> Value {
    let mut row = document(&proposal.document);
    row["takes_hold"] = proposal.barrier.is_some().into();
    row["round"] = proposal.round.0.into();
    row["unconfirmed"] = proposal.unconfirmed.into();
    row["fit"] = proposal.accepted_by.len().into();
    row
}

fn history_entry(entry: &HistoryEntry) -> Value {
    let mut row = json!({
        "number": entry.number,
        "author": entry.author,
        "reason": entry.reason,
        "at": entry.changed_at,
    });
    match &entry.status {
        ProposalStatus::Open => row["fate"] = "open".into(),
        ProposalStatus::InForce => row["fate"] = "in_force".into(),
        ProposalStatus::Refused(member, reason) => {
            row["fate"] = "refused".into();
            row["by"] = json!(member);
            row["why"] = json!(reason);
        }
        ProposalStatus::Withdrawn(by, reason) => {
            row["fate"] = "withdrawn".into();
            row["by"] = json!(by);
            row["why"] = json!(reason);
        }
    }
    row
}
