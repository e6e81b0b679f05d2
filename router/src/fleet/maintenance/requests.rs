//! Answers the control socket's requests about maintenance by sending them to the leader's coordinator. This router
//! resolves shard groups and zones to machines.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use ternpick::types::{Endpoint, Micros};
use ternpick_fleet_policy::Command;
use ternpick_maintenance::{Entry, Request, MAX_MACHINES_PER_REQUEST};

use crate::fleet::commands::{ask_leader, refused, submit_command, RequestOptions};
use crate::fleet::Fleet;
use crate::router::Router;

/// The reason why this router refuses a request. The operator receives the text.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(
        "maintenance request cannot be resolved: discovery lists no further machine in group {0}"
    )]
    EmptyGroup(Value),
    #[error(
        "maintenance request cannot be resolved: discovery lists no further machine in zone {0}"
    )]
    EmptyZone(String),
    #[error("maintenance request selects {0} machines, expected 1 to {MAX_MACHINES_PER_REQUEST}")]
    MachineCount(usize),
    #[error("maintenance request cannot be decoded: {0}")]
    Decode(#[from] serde_json::Error),
    #[error("maintenance entry cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
}

/// Answers one request about maintenance.
pub(in crate::fleet) async fn answer(
    router: &Router,
    fleet: &Fleet,
    request: &Value,
    options: RequestOptions,
) -> Value {
    if fleet.maintenance.is_none() {
        return refused(
            "maintenance request refused: this router's settings have no 'fleet.works'",
        );
    }
    if let Some(what) = request["what"].as_str() {
        return match question(router, fleet, what, request) {
            Ok(question) => ask_leader(router, fleet, options, question).await,
            Err(error) => refused(error.to_string()),
        };
    }
    match encoded_entry(router, fleet, request) {
        Ok(entry) => {
            let command = Command::Extension { entry };
            submit_command(router, fleet, options, command).await
        }
        Err(error) => refused(error.to_string()),
    }
}

/// Makes the question for the coordinator.
fn question(
    router: &Router,
    fleet: &Fleet,
    what: &str,
    request: &Value,
) -> Result<String, RequestError> {
    if what != "works-plan" {
        return Ok("works".to_owned());
    }
    let request = machine_request(router, fleet, request)?;
    let json = serde_json::to_string(&request).unwrap_or_default();
    Ok(format!("works-plan {json}"))
}

/// Encodes the request as an entry for the log.
fn encoded_entry(router: &Router, fleet: &Fleet, request: &Value) -> Result<Vec<u8>, RequestError> {
    let entry = if request["request"].is_object() {
        Entry::OpenRequest {
            request: machine_request(router, fleet, request)?,
        }
    } else {
        serde_json::from_value(request["entry"].clone())?
    };
    Ok(postcard::to_stdvec(&entry)?)
}

fn machine_request(
    router: &Router,
    fleet: &Fleet,
    request: &Value,
) -> Result<Request, RequestError> {
    let mut machine_request: Request = serde_json::from_value(request["request"].clone())?;
    machine_request.machines = select_machines(router, fleet, request)?;
    Ok(machine_request)
}

/// Resolves the request's machine names, groups and zones to the machines that discovery lists.
fn select_machines(
    router: &Router,
    fleet: &Fleet,
    request: &Value,
) -> Result<Vec<String>, RequestError> {
    let endpoints = fleet.endpoints.borrow();
    let listed = endpoints.listed();
    let mut names: BTreeSet<String> = strings(&request["machines"]).collect();
    for group in request["groups"].as_array().into_iter().flatten() {
        let is_member =
            |endpoint: &Endpoint| Some(u64::from(endpoint.shard_group.0)) == group.as_u64();
        if !add_matching(&mut names, listed, is_member) {
            return Err(RequestError::EmptyGroup(group.clone()));
        }
    }
    for zone in strings(&request["zones"]) {
        let mut zone_names = router.bounds.zone_names.iter();
        let number = zone_names.position(|known| *known == zone);
        let is_member = |endpoint: &Endpoint| number == Some(usize::from(endpoint.zone.0));
        if !add_matching(&mut names, listed, is_member) {
            return Err(RequestError::EmptyZone(zone));
        }
    }
    if let Some(up_for) = request["up_for"].as_u64() {
        // The filter applies to the named machines, or to all if none are named. A machine whose start is unknown
        // counts as up long enough.
        if names.is_empty() {
            names.extend(listed.keys().cloned());
        }
        let now = router.clock.now();
        names.retain(|name| {
            listed
                .get(name)
                .is_none_or(|endpoint| now.since(endpoint.started_at) >= Micros(up_for))
        });
    }
    if names.is_empty() || names.len() > MAX_MACHINES_PER_REQUEST {
        return Err(RequestError::MachineCount(names.len()));
    }
    Ok(names.into_iter().collect())
}

/// Adds the names of matching endpoints. Returns whether any name was added.
fn add_matching(
    names: &mut BTreeSet<String>,
    listed: &BTreeMap<String, Endpoint>,
    is_match: impl Fn(&Endpoint) -> bool,
) -> bool {
    let before = names.len();
    let matching = listed.iter().filter(|(_, endpoint)| is_match(endpoint));
    names.extend(matching.map(|(name, _)| name.clone()));
    names.len() > before
}

fn strings(list: &Value) -> impl Iterator<Item = String> + '_ {
    list.as_array()
        .into_iter()
        .flatten()
        .filter_map(|name| Some(name.as_str()?.to_owned()))
}
