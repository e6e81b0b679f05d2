//! Settings of rights that are reloaded while the router runs.

use crate::common::guarded::*;

#[test]
fn reloads_rights_on_sighup_and_ignores_invalid_ones() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let token = bearer(&world.token(&["crew"]));
    let mut stream = guarded.router.connect();
    assert_eq!(ask(&mut stream, "half", "set tag 7", &token).0, 403);
    let text = std::fs::read_to_string(world.path("settings.cue")).expect("settings");
    world.write(
        "settings.cue",
        &text.replace("{index: \"half\"}", "{index: \"half\", acts: [\"fly\"]}"),
    );
    guarded.router.signal("-HUP");
    guarded.log_has("reload: identity settings unusable, keeping the running ones");
    assert_eq!(ask(&mut stream, "half", "find", &token).0, 200);
    world.write(
        "settings.cue",
        &text.replace(
            "{index: \"half\"}",
            "{index: \"half\", acts: [\"read\", \"set\"]}",
        ),
    );
    guarded.router.signal("-HUP");
    guarded.log_has("reload: identity settings applied");
    assert_eq!(ask(&mut stream, "half", "set tag 7", &token).0, 200);
}
