//! Fleets of real processes for tests: a plan, a schedule, and the judging of what was seen.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use ternpick_history::{Counts, Verdict};
use ternpick_simulation::fleet::{play, Change, FleetPlan, Kind, Outcome, Schedule, Step};

/// So many fleets at a time: each has processes and clients enough for its cores.
pub(crate) static TURNS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];

pub(crate) fn turn() -> std::sync::MutexGuard<'static, ()> {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let at = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % TURNS.len();
    TURNS[at].lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_ternpick").into()
}

const SMALL: &str =
    "name: \"hard\"\nrouters: 3\nvoters: 3\nnodes: 3\nrate: 60\nclients: 48\nseconds: 4\nlease: 1s\n\
                     renew: 250ms\nfaults: []\n";

pub(crate) fn plan(more: &str) -> FleetPlan {
    // What `more` says goes before.
    let own = |line: &&str| {
        !more
            .lines()
            .any(|said| said.split(':').next() == line.split(':').next())
    };
    let rest: Vec<&str> = SMALL.lines().filter(own).collect();
    // Of what `more` says twice the last counts.
    let more: Vec<&str> = more
        .lines()
        .enumerate()
        .filter(|(at, line)| {
            !more
                .lines()
                .skip(at + 1)
                .any(|later| later.split(':').next() == line.split(':').next())
        })
        .map(|(_, line)| line)
        .collect();
    let more = more.join("\n");
    FleetPlan::parse("hard.cue", &format!("{}\n{more}\n", rest.join("\n"))).expect("a plan")
}

pub(crate) fn change(at: u64, through: usize) -> Change {
    Change {
        at,
        through,
        calls: 2,
        drained: None,
        withdrawn: None,
    }
}

pub(crate) fn step(at: u64, lasts: u64, kind: Kind, whom: usize) -> Step {
    Step {
        at,
        lasts,
        kind,
        whom,
        other: whom + 1,
    }
}

/// Plays a schedule; its history has to keep all rules, and the fleet has to be well again.
pub(crate) fn played(plan: FleetPlan, steps: Vec<Step>, changes: Vec<Change>) -> (Outcome, Counts) {
    let _turn = turn();
    let folder = tempfile::tempdir().expect("a folder");
    let schedule = Schedule {
        plan,
        seed: 1,
        steps,
        changes,
    };
    judged(&schedule, folder.path())
}

pub(crate) fn judged(schedule: &Schedule, folder: &Path) -> (Outcome, Counts) {
    judged_of(schedule, &program(), folder)
}

/// The same with another program in the place of the router, which starts it under a plan of faults.
pub(crate) fn judged_of(schedule: &Schedule, program: &Path, folder: &Path) -> (Outcome, Counts) {
    let outcome = play(schedule, program, folder, false).expect("the rig runs");
    let Verdict::Accepted(counts) = outcome.verdict.clone() else {
        let logs = std::env::temp_dir().join(format!("ternpick-fleet-{}", std::process::id()));
        let kept = std::fs::rename(folder, &logs);
        panic!(
            "{:?}; kept in {} ({kept:?})",
            outcome.verdict,
            logs.display()
        );
    };
    if outcome.well_after_ms.is_none() {
        let logs = std::env::temp_dir().join(format!("ternpick-fleet-{}", std::process::id()));
        let kept = std::fs::rename(folder, &logs);
        panic!(
            "not well again, kept in {} ({kept:?}): {outcome:?}",
            logs.display()
        );
    }
    (outcome, counts)
}
