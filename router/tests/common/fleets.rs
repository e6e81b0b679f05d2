//! Fleets of real processes for tests: a plan, a schedule, and the judging of what was seen.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, Once, PoisonError};

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
    let judged = judged(&schedule, folder.path());
    // What the caller asserts of it may fail yet.
    FOLDERS.with_borrow_mut(|folders| folders.push(folder));
    judged
}

pub(crate) fn judged(schedule: &Schedule, folder: &Path) -> (Outcome, Counts) {
    judged_of(schedule, &program(), folder)
}

/// The same with another program in the place of the router, which starts it under a plan of faults.
pub(crate) fn judged_of(schedule: &Schedule, program: &Path, folder: &Path) -> (Outcome, Counts) {
    keep_on_failure(folder);
    let outcome = play(schedule, program, folder, false).expect("the rig runs");
    let Verdict::Accepted(counts) = outcome.verdict.clone() else {
        panic!("{:?}", outcome.verdict);
    };
    assert!(
        outcome.well_after_ms.is_some(),
        "not well again: {outcome:?}"
    );
    (outcome, counts)
}

thread_local! {
    /// Where this test's history and logs are.
    static PLAYED_IN: RefCell<Option<PathBuf>> = const { RefCell::new(None) };
    /// Folders that stay for as long as this test runs.
    static FOLDERS: RefCell<Vec<tempfile::TempDir>> = const { RefCell::new(Vec::new()) };
}

/// Has a test that fails from here on, for whatever reason, leave a copy of its folder, and say where. Without it the history
/// went with the folder of every test that failed by an assertion of its own.
fn keep_on_failure(folder: &Path) {
    static INSTALL: Once = Once::new();
    PLAYED_IN.set(Some(folder.to_owned()));
    INSTALL.call_once(|| {
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            report(panic);
            if let Some(folder) = PLAYED_IN.take() {
                eprintln!("history and logs: {}", keep(&folder));
            }
        }));
    });
}

/// Copies a folder's files to one that stays; where they are, or why they are not.
fn keep(folder: &Path) -> String {
    static COPIES: AtomicUsize = AtomicUsize::new(0);
    let copy = COPIES.fetch_add(1, Ordering::Relaxed);
    let name = format!("ternpick-fleet-{}-{copy}", std::process::id());
    let kept = std::env::temp_dir().join(name);
    match copy_files(folder, &kept) {
        Ok(()) => kept.display().to_string(),
        Err(error) => format!("not kept: {error}"),
    }
}

fn copy_files(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}
