//! The properties that hold in every state, and the outcomes that some state reaches.

use stateright::Property;

use super::model::HotRestart;
use super::world::{World, CAPACITY};
use crate::Lease;

pub(super) const SOME_PROCESS_ACCEPTS: &str = "a process accepts clients while one lives";
pub(super) const LEASES_FIT_CAPACITY: &str = "the leases never exceed the capacity";

pub(super) const STOP_REACHES_ALL: &str = "a stop reaches every process";
pub(super) const NOBODY_ACCEPTS_BEHIND_STOP: &str =
    "nobody accepts behind the accept period of a stop";
pub(super) const RELOAD_REACHES_ALL: &str = "a reload reaches every process that serves";

pub(super) fn all() -> Vec<Property<HotRestart>> {
    vec![
        Property::always(SOME_PROCESS_ACCEPTS, |_, world: &World| {
            some_process_accepts(world)
                || !some_process_lives(world)
                || !world.is_settled()
                || world.asked.stop
        }),
        Property::always(STOP_REACHES_ALL, |_, world: &World| stop_reaches_all(world)),
        Property::always(NOBODY_ACCEPTS_BEHIND_STOP, |_, world: &World| {
            !world.asked.accept_period_over || !some_process_accepts(world)
        }),
        Property::always(RELOAD_REACHES_ALL, |_, world: &World| {
            reload_reaches_all(world)
        }),
        Property::always(
            "the listener stays open while the old process or its successor lives",
            |_, world: &World| listener_is_open(world),
        ),
        Property::always(
            "both processes accept only during a commit",
            |_, world: &World| both_accept_only_during_a_commit(world),
        ),
        Property::always(LEASES_FIT_CAPACITY, |_, world: &World| {
            old_lease(world)
                .combine(new_lease(world))
                .fits_within(CAPACITY)
        }),
        Property::always(
            "a process that serves alone has the whole capacity",
            |_, world: &World| {
                let is_alone = world.old.is_none() && new_serves(world);
                !is_alone || new_lease(world) == CAPACITY || !world.is_settled()
            },
        ),
        Property::always(
            "a process exits only when it has no query in flight",
            |_, world: &World| {
                world.old.is_some() || world.in_flight == 0 || world.crashes_left < 2
            },
        ),
        Property::sometimes("a restart succeeds", |_, world: &World| succeeded(world)),
        Property::sometimes(
            "a failed restart leaves the old process as it was",
            |_, world: &World| failed_without_effect(world),
        ),
    ]
}

fn stop_reaches_all(world: &World) -> bool {
    if !world.asked.stop || !world.is_settled() {
        return true;
    }
    let old_stops = world.old.as_ref().is_none_or(|old| old.signals.is_stopping);
    let new_stops = world
        .new
        .as_ref()
        .is_none_or(|new| new.signals.is_stopping || !new.machine.is_serving());
    old_stops && new_stops
}

fn reload_reaches_all(world: &World) -> bool {
    if !world.asked.reload || !world.is_settled() {
        return true;
    }
    let old_reloads = world
        .old
        .as_ref()
        .is_none_or(|old| old.signals.has_reloaded || old.signals.is_stopping);
    let new_reloads = world.new.as_ref().is_none_or(|new| {
        new.signals.has_reloaded || new.signals.is_stopping || !new.machine.is_serving()
    });
    old_reloads && new_reloads
}

fn some_process_lives(world: &World) -> bool {
    world.old.is_some() || world.new.is_some()
}

fn some_process_accepts(world: &World) -> bool {
    world.old.as_ref().is_some_and(|old| old.accepts)
        || world.new.as_ref().is_some_and(|new| new.accepts)
}

fn new_serves(world: &World) -> bool {
    world
        .new
        .as_ref()
        .is_some_and(|new| new.machine.is_serving())
}

fn listener_is_open(world: &World) -> bool {
    let open_in_old = world.old.as_ref().is_some_and(|old| old.has_listener);
    let open_in_new = world
        .new
        .as_ref()
        .is_none_or(|new| new.has_listener || !new.machine.is_serving());
    open_in_old || open_in_new
}

fn both_accept_only_during_a_commit(world: &World) -> bool {
    let (Some(old), Some(new)) = (&world.old, &world.new) else {
        return true;
    };
    let both_accept = old.accepts && new.accepts && world.is_settled();
    !both_accept || old.machine.step_name() == "commits"
}

fn old_lease(world: &World) -> Lease {
    world
        .old
        .as_ref()
        .map(|old| old.machine.lease())
        .unwrap_or_default()
}

fn new_lease(world: &World) -> Lease {
    world
        .new
        .as_ref()
        .map(|new| new.machine.lease())
        .unwrap_or_default()
}

fn succeeded(world: &World) -> bool {
    let new_accepts = world.new.as_ref().is_some_and(|new| new.accepts);
    world.old.is_none() && world.crashes_left == 2 && new_accepts && new_lease(world) == CAPACITY
}

fn failed_without_effect(world: &World) -> bool {
    let old_serves = world
        .old
        .as_ref()
        .is_some_and(|old| old.machine.is_serving());
    world.restarts_left == 0
        && world.new.is_none()
        && world.is_settled()
        && old_serves
        && old_lease(world) == CAPACITY
}
