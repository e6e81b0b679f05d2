//! `ternpick fleet add`, `remove`, `replace` and `transfer`: change membership and leadership.

use std::net::SocketAddr;

use serde_json::json;

use super::client::{inspect_leader, submit_command};
use super::{
    finish, finish_without_leader, finish_without_line, rows, CommandError, CommandResult,
    OperationOptions,
};

/// A router to be added to the fleet.
pub(super) struct NewMember {
    pub(super) name: String,
    pub(super) address: String,
    pub(super) zone: String,
    /// Whether the router becomes a voter, once it has caught up.
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
            format!("router {name} is a member of the fleet; its replica {replica} votes once it has caught up")
        }
        None => format!("router {name} is a member of the fleet"),
    })
}

/// Removes a router. A voter first gives up its vote, in an operation of its own.
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
        format!("router {name} is no longer a member of the fleet")
    })
}

pub(super) fn replace(options: &OperationOptions, name: &str) -> CommandResult {
    let answer = submit_command(options, json!({"seat": {"member": name}}))?;
    finish(&options.socket, &answer, || {
        format!(
            "router {name} has replica {} in place of any earlier one; it votes once it has caught up",
            answer["seat"]
        )
    })
}

pub(super) fn transfer(options: &OperationOptions, name: &str) -> CommandResult {
    let answer = submit_command(options, json!({"transfer": {"to": name}}))?;
    finish(&options.socket, &answer, || {
        format!("leadership transfer to {name} started")
    })
}
