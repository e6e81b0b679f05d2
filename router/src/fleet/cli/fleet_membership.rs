//! `ternpick fleet add`, `remove`, `replace` and `transfer`: changes of membership and leadership.

use std::net::SocketAddr;

use serde_json::json;

use super::client::{inspect_leader, submit_command};
use super::{
    finish, finish_without_leader, finish_without_line, rows, CommandError, CommandResult,
    OperationOptions,
};

/// A router that is taken into the fleet.
pub(super) struct NewMember {
    pub(super) name: String,
    pub(super) address: String,
    pub(super) zone: String,
    /// Whether it becomes a voter, once it has caught up.
    pub(super) vote: bool,
}

pub(super) fn add(options: &OperationOptions, member: &NewMember) -> CommandResult {
    let NewMember {
        name,
        address,
        zone,
        vote,
    } = member;
    if let Err(source) = address.parse::<SocketAddr>() {
        return Err(CommandError::Address {
            address: address.clone(),
            source,
        });
    }
    let command = json!({"add": {"member": name, "address": address, "zone": zone}});
    let mut answer = submit_command(options, command)?;
    if answer["ok"] == true && *vote {
        let command = json!({"seat": {"member": name}});
        answer = submit_command(&options.for_another_operation(), command)?;
    }
    finish(&options.socket, &answer, || match answer["seat"].as_u64() {
        Some(replica) => {
            format!("{name} belongs to the fleet, and has seat {replica} once it has learnt")
        }
        None => format!("{name} belongs to the fleet"),
    })
}

/// Removes a router; a voter gives up its vote first, in an operation of its own.
pub(super) fn remove(options: &OperationOptions, name: &str) -> CommandResult {
    let Some(view) = inspect_leader(&options.socket, "members")? else {
        return finish_without_leader(&options.socket);
    };
    let has_replica =
        rows(&view["rows"]).any(|row| row["member"] == name && !row["seat"].is_null());
    if has_replica {
        let command = json!({"unseat": {"member": name}});
        let answer = submit_command(&options.for_another_operation(), command)?;
        if answer["ok"] != true {
            return finish_without_line(&options.socket, &answer);
        }
    }
    let answer = submit_command(options, json!({"remove": {"member": name}}))?;
    finish(&options.socket, &answer, || {
        format!("{name} belongs to the fleet no longer")
    })
}

pub(super) fn replace(options: &OperationOptions, name: &str) -> CommandResult {
    let answer = submit_command(options, json!({"seat": {"member": name}}))?;
    finish(&options.socket, &answer, || {
        format!(
            "{name} has seat {} in place of any earlier one, and votes once it has learnt",
            answer["seat"]
        )
    })
}

pub(super) fn transfer(options: &OperationOptions, name: &str) -> CommandResult {
    let answer = submit_command(options, json!({"transfer": {"to": name}}))?;
    finish(&options.socket, &answer, || {
        format!("the lead is offered to {name}")
    })
}
