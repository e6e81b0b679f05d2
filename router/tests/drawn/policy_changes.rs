//! Plays of a fleet that changes its policy: leaders that are killed or stand still, hot restarts, syncs that take long, a busy
//! machine; drawn by seed. `ternpick-history` judges, and what routers log of queries that they rejected.

use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use ternpick_fault_injection::{Call, Effect, Plan, Role, Rule, Strikes, VARIABLE};
use ternpick_history::Verdict;
use ternpick_simulation::fleet::{self, Change, Kind, Schedule, Step};

use crate::common::faulty::preload;
use crate::faults::Draw;
use crate::fleets::{change, plan, program, step};
use crate::stage::Outcome;

/// What may happen to a router while policies change.
const TROUBLES: [Kind; 6] = [
    Kind::LeadKill,
    Kind::LeadStop,
    Kind::Stop,
    Kind::Restart,
    Kind::Upgrade,
    Kind::Kill,
];
/// Threads that do nothing but keep a processor busy.
const BUSY_THREADS: [u64; 4] = [0, 0, 4, 12];
/// How long a sync is held up, in milliseconds, where it is.
const SYNC_MS: (u64, u64) = (50, 500);
/// When the first change is proposed, and how far the next ones are apart, in milliseconds.
const FIRST_CHANGE_MS: u64 = 500;
const CHANGE_GAP_MS: (u64, u64) = (500, 1300);
const CHANGES: u64 = 5;
const SECONDS: u64 = 6;
/// A rejected query had at least so much of its deadline left that it could have waited on: a router keeps 50 ms for the answer,
/// and may be held up for 150 ms.
const LEFT_TO_WAIT_MS: u64 = 200;

/// What a seed draws for one play of a fleet.
#[derive(Debug)]
struct FleetScenario {
    routers: usize,
    steps: Vec<Step>,
    changes: Vec<Change>,
    /// Which syncs are held up, and for how long.
    slow_syncs: Option<Rule>,
    busy_threads: u64,
}

impl FleetScenario {
    fn draw(seed: u64) -> FleetScenario {
        let mut draw = Draw::new(seed ^ 0x00f1_ee75);
        let routers = draw.one(&[3, 5]);
        let steps = (0..draw.below(3))
            .map(|_| {
                let kind = draw.one(&TROUBLES);
                let (at, lasts) = (draw.between(600, 4000), draw.between(100, 2500));
                step(at, lasts, kind, draw.below(routers) as usize)
            })
            .collect();
        let slow_syncs = (draw.below(2) == 0).then(|| {
            let held_up = Effect::HeldUp(draw.between(SYNC_MS.0, SYNC_MS.1));
            Rule::new(Call::Sync, Role::File, draw.between(1, 5), held_up)
        });
        let mut at = FIRST_CHANGE_MS;
        let changes = (0..CHANGES)
            .map(|_| {
                at += draw.between(CHANGE_GAP_MS.0, CHANGE_GAP_MS.1);
                change(at, draw.below(routers) as usize)
            })
            .collect();
        FleetScenario {
            routers: routers as usize,
            steps,
            changes,
            slow_syncs,
            busy_threads: draw.one(&BUSY_THREADS),
        }
    }

    fn schedule(&self, seed: u64) -> Schedule {
        Schedule {
            plan: plan(&format!("routers: {}\nseconds: {SECONDS}", self.routers)),
            seed,
            steps: self.steps.clone(),
            changes: self.changes.clone(),
        }
    }
}

/// One play; of strikes it counts held-up syncs, under the number of the kind that is held up before writes.
pub(crate) fn play(seed: u64) -> Outcome {
    let scenario = FleetScenario::draw(seed);
    let folder = tempfile::tempdir().expect("a folder");
    let below = folder.path().join("fleet");
    std::fs::create_dir(&below).expect("a folder");
    let (program, strikes) = program_of(&scenario, seed, folder.path());
    let played = beside_busy_threads(scenario.busy_threads, || {
        fleet::play(&scenario.schedule(seed), &program, &below, false)
    });
    let breaks = match &played {
        Ok(outcome) => judge(seed, &scenario, outcome, &rejected_with_time_left(&below)),
        Err(error) => vec![error.to_string()],
    };
    if !breaks.is_empty() {
        let kept = folder.keep();
        println!("fleet seed {seed}: {scenario:?}\n{breaks:?}");
        println!("history and logs: {}", kept.display());
    }
    let struck = strikes.map(|strikes| (HELD_UP, strikes.of(0)));
    (struck.into_iter().collect::<BTreeMap<_, _>>(), breaks)
}

/// What was broken in a play, by its history and by what routers log of queries that they rejected.
fn judge(
    seed: u64,
    scenario: &FleetScenario,
    outcome: &fleet::Outcome,
    rejected: &[String],
) -> Vec<String> {
    let mut breaks = Vec::new();
    if !matches!(outcome.verdict, Verdict::Accepted(_)) {
        breaks.push(format!("{:?}", outcome.verdict));
    }
    if outcome.well_after_ms.is_none() {
        breaks.push("not well again".into());
    }
    // Where a router is gone or stands still, nobody may be able to tell whether a policy is still in force.
    if scenario.steps.is_empty() {
        breaks.extend(rejected.iter().map(|line| format!("rejected: {line}")));
    }
    let longest_ms = outcome.took.iter().map(|took| took.micros / 1000).max();
    println!(
        "fleet seed {seed}: {} steps, {} changes in force, the longest {} ms, {} of {} queries refused, {} lines of such with time left, {} breaks",
        scenario.steps.len(),
        outcome.took.len(),
        longest_ms.unwrap_or_default(),
        outcome.refused_whole,
        counted(&outcome.verdict),
        rejected.len(),
        breaks.len()
    );
    breaks
}

/// The place in `KINDS` of what is held up.
const HELD_UP: usize = 7;

fn counted(verdict: &Verdict) -> usize {
    match verdict {
        Verdict::Accepted(counts) => counts.lookups as usize,
        _ => 0,
    }
}

/// The program, or a script that starts it with its syncs held up.
fn program_of(scenario: &FleetScenario, seed: u64, folder: &Path) -> (PathBuf, Option<Strikes>) {
    let Some(rule) = &scenario.slow_syncs else {
        return (program(), None);
    };
    let faults = Plan {
        seed,
        rules: vec![rule.clone()],
        // The rig keeps the routers' folders in memory.
        folder: Some("/dev/shm/".into()),
        ..Plan::default()
    };
    let ((_, path), strikes) = faults.write(folder, "faults").expect("a plan");
    let script = folder.join("program");
    let text = format!(
        "#!/bin/sh\nexport {VARIABLE}={} LD_PRELOAD={}\nexec {} \"$@\"\n",
        path.display(),
        preload().display(),
        program().display()
    );
    std::fs::write(&script, text).expect("written");
    let mode = std::fs::Permissions::from_mode(0o700);
    std::fs::set_permissions(&script, mode).expect("a program");
    (script, Some(strikes))
}

/// Does something beside threads that keep processors busy.
fn beside_busy_threads<T>(count: u64, does: impl FnOnce() -> T) -> T {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..count {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        let done = does();
        is_over.store(true, Ordering::Relaxed);
        done
    })
}

/// The lines of queries that were rejected at admission though their clients would have waited on.
fn rejected_with_time_left(folder: &Path) -> Vec<String> {
    let mut rejected = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("a file").path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let log = std::fs::read_to_string(&path).expect("a log");
        let lines = log.lines().filter(|line| has_time_left(line));
        rejected.extend(lines.map(str::to_owned));
    }
    rejected
}

fn has_time_left(line: &str) -> bool {
    line.contains("a query is rejected at admission")
        && line
            .split("left_ms=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok())
            .is_some_and(|left| left >= LEFT_TO_WAIT_MS)
}
