//! One play: routers, nodes, discovery and clients under the faults of a seed, over a stop.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ternpick_fault_injection::{Effect as Does, Plan};
use ternpick_history::requests::{check, Saw, Terms};

use crate::clients::{client, watch, Record, LONGEST};
use crate::common::faulty::Faulty;
use crate::common::*;
use crate::faults::{fault, Draw, KINDS};

const MS: Duration = Duration::from_millis(1);
const KILL: Duration = Duration::from_millis(700 + LONGEST);

/// One play: the kinds of fault that struck, by number of strikes, and what was broken.
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
pub(crate) fn play(seed: u64) -> (BTreeMap<usize, u64>, Vec<String>) {
    let mut draw = Draw::new(seed);
    let routers = if draw.below(8) == 0 { 5 } else { 1 };
    let mut kinds: Vec<usize> = (0..KINDS.len()).collect();
    while kinds.len() > 2 + draw.below(2) as usize {
        kinds.remove(draw.below(kinds.len() as u64) as usize);
    }
    let (mut rules, mut steps, mut of_kind) = (Vec::new(), Vec::new(), Vec::new());
    for kind in &kinds {
        let (more, step) = fault(*kind, &mut draw);
        of_kind.extend(more.iter().map(|_| *kind));
        rules.extend(more);
        steps.extend(step);
    }
    // How many nodes hang, from when on.
    let (hangs, hang_at) = (draw.one(&[0, 1, 1, 3]), draw.between(400, 1800));
    let outage = (draw.below(2) == 0).then(|| draw.between(200, 1500));
    let drains = (draw.below(2) == 0).then(|| draw.between(100, 1000));
    let stop = (draw.below(4) > 0).then(|| draw.between(600, 1600));
    let said = format!("seed {seed}: {routers} routers, {hangs} hang at {hang_at}, discovery down {outage:?}, drains {drains:?}, stop {stop:?}, {rules:?}, {steps:?}");
    let settings = SETTINGS.replace(
        "\"deadline\":3000000",
        &format!("\"deadline\":{}", LONGEST * 1000),
    );

    let record = Record {
        began: Instant::now(),
        events: Arc::default(),
    };
    let nodes: Vec<Node> = (0..3).map(|_| Node::start([Act::Serve; 2])).collect();
    nodes
        .iter()
        .enumerate()
        .for_each(|(at, node)| watch(node, &format!("s{at}"), &record));
    let listed = |status: &str| {
        let of = |at: usize| {
            entry(
                &format!("s{at}"),
                nodes[at].address,
                if at == 1 { status } else { "Ready" },
            )
        };
        [of(0), of(1), of(2)].join(",")
    };
    let (ready, draining) = (listed("Ready"), listed("Terminating"));
    let discovery = Discovery::default();
    discovery.set(|roster| roster.version = 1);
    let address = discovery.start();
    let plan = Plan {
        seed,
        rules: rules.clone(),
        steps,
        ..Plan::default()
    };
    let mut all: Vec<Faulty> = (0..routers)
        .map(|_| {
            Faulty::with(
                &settings,
                Vec::new(),
                discovery.clone(),
                address,
                &ready,
                &plan,
            )
        })
        .collect();
    let acts: Vec<Arc<Mutex<[Act; 2]>>> = nodes
        .iter()
        .rev()
        .take(hangs)
        .map(|node| Arc::clone(&node.acts))
        .collect();
    let began = Instant::now();
    thread::scope(|scope| {
        for (at, of) in all.iter().enumerate() {
            for number in 0..5 {
                let (record, address) = (record.clone(), of.router.address);
                scope.spawn(move || client(number, seed, address, &format!("n{at}"), &record));
            }
        }
        let until =
            |ms: u64| thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
        let (writes, discovery) = (record.clone(), discovery.clone());
        scope.spawn(move || {
            until(hang_at);
            for acts in acts {
                *acts
                    .lock()
                    .expect("no test thread panicked with the lock held") = [Act::Silent; 2];
            }
        });
        scope.spawn(move || {
            let mut due: Vec<(u64, u8)> = Vec::new();
            due.extend(outage.iter().flat_map(|at| [(*at, 0), (at + 800, 1)]));
            due.extend(drains.iter().map(|at| (*at, 2)));
            due.sort_unstable();
            for (at, what) in due {
                until(at);
                match what {
                    0 => discovery.set(|roster| roster.down = true),
                    1 => discovery.set(|roster| roster.down = false),
                    _ => discovery
                        .set(|roster| (roster.version, roster.changes) = (2, draining.clone())),
                }
            }
            // Told from when it can be reached.
            if let Some(at) = drains {
                let from = outage
                    .filter(|of| (*of..of + 800).contains(&at))
                    .map_or(at, |of| of + 800);
                until(from);
                writes.saw(Saw::Drains { node: "s1".into() });
            }
        });
        if let Some(at) = stop {
            until(at);
            for (number, of) in all.iter_mut().enumerate() {
                record_stop(of, &format!("n{number}"), scope, &record);
            }
        }
    });
    let log: String = all.iter().map(Faulty::log).collect();
    let mut strikes: BTreeMap<usize, u64> = kinds.iter().map(|kind| (*kind, 0)).collect();
    for of in &all {
        for (rule, kind) in of_kind.iter().enumerate() {
            *strikes.entry(*kind).or_default() += of.strikes.of(rule);
        }
    }
    // A step always comes.
    strikes.entry(6).and_modify(|count| *count = 1);
    let events = record
        .events
        .lock()
        .expect("no test thread panicked with the lock held");
    // A write that is held up begins its attempt so much later than it was decided: nobody can look in between.
    let held = rules.iter().filter_map(|rule| match rule.effect {
        Does::HeldUp(ms) => Some(ms * 1000),
        _ => None,
    });
    let terms = Terms::default();
    let terms = Terms {
        gone: terms.gone + held.max().unwrap_or(0),
        ..terms
    };
    let mut breaks: Vec<String> = check(&events, terms)
        .iter()
        .map(|of| format!("{of:?}"))
        .collect();
    if log.contains("panicked") {
        breaks.push("a process panicked".into());
    }
    let sent = events
        .iter()
        .filter(|(_, saw)| matches!(saw, Saw::Sent { .. }))
        .count();
    let whole = events
        .iter()
        .filter(|(_, saw)| matches!(saw, Saw::Answered { status: 200, .. }))
        .count();
    println!(
        "seed {seed}: {sent} sent, {whole} whole, strikes {strikes:?}, {} breaks",
        breaks.len()
    );
    if !breaks.is_empty() {
        println!("{said}\n{breaks:?}\n{log}");
        let ids: Vec<&str> = breaks
            .iter()
            .filter_map(|of| of.split('"').nth(1))
            .collect();
        for (at, saw) in events.iter().filter(|(_, saw)| {
            ids.iter()
                .any(|id| format!("{saw:?}").contains(&format!("\"{id}\"")))
        }) {
            println!("{at} {saw:?}");
        }
        for (at, saw) in events
            .iter()
            .filter(|(_, saw)| matches!(saw, Saw::ToldToEnd { .. } | Saw::Killed { .. }))
        {
            println!("{at} {saw:?}");
        }
    }
    (strikes, breaks)
}

/// Tells a process to end, and kills it as early as the protocol allows.
fn record_stop<'scope>(
    of: &'scope mut Faulty,
    name: &str,
    scope: &'scope thread::Scope<'scope, '_>,
    record: &Record,
) {
    let (name, record) = (name.to_owned(), record.clone());
    record.saw(Saw::ToldToEnd {
        router: name.clone(),
    });
    of.router.signal("-TERM");
    let told = Instant::now();
    scope.spawn(move || {
        while told.elapsed() < KILL {
            if of.router.child.try_wait().expect("a child").is_some() {
                return;
            }
            thread::sleep(2 * MS);
        }
        record.saw(Saw::Killed { router: name });
        of.router.child.kill().expect("killed");
    });
}
