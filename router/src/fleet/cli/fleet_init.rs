//! `ternpick fleet init`: writes a router's initial replica state, once, before its first start. It does not contact
//! any router.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use ternpick_consensus::Replica;
use ternpick_fleet_policy::{Member, MemberInfo, PolicyState, ReplicaId};

use super::{CommandError, CommandResult, ExitStatus};
use crate::fleet::replica_file;
use crate::fleet::settings::{fleet_id, initial_members};
use crate::lifecycle::settings::FleetConfig;
use crate::lifecycle::{config, settings};

pub(super) fn run(config_path: &Path, settings_path: &Path) -> CommandResult {
    let config = config::read(config_path).map_err(settings_error)?;
    let settings = settings::read(settings_path)
        .map_err(settings_error)?
        .for_router(&config.name);
    let Some(fleet) = settings.fleet else {
        return Err(CommandError::NoFleet {
            settings: settings_path.to_owned(),
        });
    };
    let members = initial_members(&fleet);
    let me = Member::from(config.name.as_str());
    let Some(own) = members.get(&me) else {
        return Err(CommandError::NotAMember {
            settings: settings_path.to_owned(),
            member: me,
            fleet: fleet.name,
        });
    };
    match own.replica {
        Some(replica) => write_initial_state(&fleet, &me, replica, members),
        None => create_folder(&fleet, &me),
    }
}

fn settings_error(error: impl ToString) -> CommandError {
    CommandError::Settings(error.to_string())
}

fn create_folder(fleet: &FleetConfig, me: &Member) -> CommandResult {
    let folder = PathBuf::from(&fleet.folder);
    if let Err(source) = std::fs::create_dir_all(&folder) {
        return Err(CommandError::CreateFolder { folder, source });
    }
    println!("router {me} is not a voter and needs no replica state");
    Ok(ExitStatus::Done)
}

fn write_initial_state(
    fleet: &FleetConfig,
    me: &Member,
    replica: ReplicaId,
    members: BTreeMap<Member, MemberInfo>,
) -> CommandResult {
    let folder = PathBuf::from(&fleet.folder);
    let lock = ternpick_store::lock_directory(&folder)
        .map_err(|error| CommandError::LockFolder(error.to_string()))?;
    let Some(_lock) = lock else {
        return Err(CommandError::FolderInUse { folder });
    };
    let file = replica_file::path(&folder);
    if file.exists() {
        return Err(CommandError::AlreadyBootstrapped {
            file,
            member: me.clone(),
        });
    }
    let voters: Vec<ReplicaId> = members
        .values()
        .filter_map(|member| member.replica)
        .collect();
    let state = postcard::to_stdvec(&PolicyState::bootstrap(members))?;
    let image = Replica::bootstrap(fleet_id(&fleet.name), replica, &voters, state);
    replica_file::persist(&folder, &mut None, 0, &image)?;
    println!(
        "router {me} has replica {replica} of {} in fleet {}, stored in {}",
        voters.len(),
        fleet.name,
        folder.display()
    );
    Ok(ExitStatus::Done)
}
