//! The models against what is known of queues. Each check is shown to fail where the model is bent.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use ternpick_simulation::node::{CallId, Effect, Job, Node};
use ternpick_simulation::plan::{Plan, Work, World};
use ternpick_simulation::sim::draw_work;
use test_case::test_case;

fn world(cores: usize, work: &str) -> World {
    let text = format!(
        "name: \"t\"\nworlds: [{{name: \"queue\", clients: rate: 1, indexes: [{{name: \"one\", work: {work}}}], nodes: \
         {{cores: {cores}, queue: 100000, drops_late: false, dial_work: 0s}}}}]"
    );
    Plan::parse("t.cue", &text)
        .expect("a plan")
        .worlds
        .remove(0)
}

/// What one node did: mean wait in microseconds, mean number here over time, mean time here, arrivals a microsecond.
struct Seen {
    wait: f64,
    number: f64,
    stay: f64,
    rate: f64,
}

/// One node under Poisson arrivals; `slow` bends it.
fn one_node(world: &World, load: f64, parts: u64, slow: f64, seed: u64) -> Seen {
    let (mut chance, of) = (Pcg64Mcg::seed_from_u64(seed), &world.nodes);
    let work: &Work = &world.indexes[0].work;
    let rate = load * of.cores as f64 / work.mean as f64;
    let mut node = Node::new(0, 0);
    node.slow = slow;
    let (mut ends, mut now, mut next) = (BinaryHeap::new(), 0u64, 0f64);
    let mut arrived = vec![(0u64, 0u64); parts as usize];
    let (mut area, mut begun, mut stayed, mut waited) = (0.0, 0u64, 0.0, 0.0);
    let (mut out, mut number) = (Vec::new(), 0usize);
    while begun < parts || !ends.is_empty() {
        let soon: Option<u64> = ends.peek().map(|Reverse((at, _))| *at);
        let arrives = begun < parts && soon.is_none_or(|at| next as u64 <= at);
        let at = if arrives {
            next as u64
        } else {
            soon.unwrap_or(now)
        }
        .max(now);
        area += node.depth() as f64 * (at - now) as f64;
        now = at;
        if arrives {
            let job = Job {
                call: CallId(begun),
                index: 0,
                work: draw_work(work, &mut chance),
                key: 0,
                due: u64::MAX,
                mark: None,
                deadly: false,
            };
            arrived[begun as usize] = (now, job.work);
            begun += 1;
            next += -(1.0 - chance.random::<f64>()).ln() / rate;
            node.arrives(now, job, of, &mut out);
        } else if let Some(Reverse((_, call))) = ends.pop() {
            node.elapsed(now, CallId(call), false, of, &mut out);
        }
        for effect in out.drain(..) {
            match effect {
                Effect::Begins(call, until) => {
                    waited += (now - arrived[call.0 as usize].0) as f64;
                    ends.push(Reverse((until, call.0)));
                }
                Effect::Answers(call, true) => {
                    stayed += (now - arrived[call.0 as usize].0) as f64;
                    number += 1;
                }
                other => panic!("{other:?}"),
            }
        }
    }
    let n = number as f64;
    Seen {
        wait: waited / n,
        number: area / now as f64,
        stay: stayed / n,
        rate: n / now as f64,
    }
}

/// Erlang's C: the share of arrivals that wait.
fn erlang_c(cores: usize, load: f64) -> f64 {
    let a = load * cores as f64;
    let (mut term, mut sum) = (1.0, 1.0);
    for k in 1..cores {
        term *= a / k as f64;
        sum += term;
    }
    let last = term * a / cores as f64 / (1.0 - load);
    last / (sum + last)
}

fn near(seen: f64, known: f64, within: f64) -> bool {
    (seen / known - 1.0).abs() < within
}

#[test_case(1, 0.5; "one core, half busy")]
#[test_case(1, 0.8; "one core, busy")]
#[test_case(4, 0.7; "four cores")]
#[test_case(16, 0.9; "sixteen cores, nearly full")]
fn waits_are_those_of_m_m_c(cores: usize, load: f64) {
    let world = world(cores, "{kind: \"exponential\", mean: 20ms}");
    let known = erlang_c(cores, load) * 20_000.0 / (cores as f64 * (1.0 - load));
    let runs: Vec<Seen> = (1..=5)
        .map(|seed| one_node(&world, load, 200_000, 1.0, seed))
        .collect();
    let wait = runs.iter().map(|seen| seen.wait).sum::<f64>() / runs.len() as f64;
    assert!(near(wait, known, 0.06), "{wait:.0} us against {known:.0}");
    // A node a tenth slower than it says does not pass.
    let bent = one_node(&world, load, 200_000, 1.1, 1).wait;
    assert!(!near(bent, known, 0.06), "{bent:.0} us pass as {known:.0}");
    for seen in runs {
        assert!(
            near(seen.number, seen.rate * seen.stay, 1e-3),
            "Little's law: {} against {}",
            seen.number,
            seen.rate * seen.stay
        );
    }
}

#[test_case("{kind: \"fixed\", mean: 20ms}", 0.0; "fixed")]
#[test_case("{kind: \"lognormal\", mean: 20ms, spread: 0.5}", 0.5; "lognormal")]
#[test_case("{kind: \"lognormal\", mean: 20ms, spread: 1.5}", 1.5; "lognormal, wide")]
fn waits_are_those_of_m_g_1(work: &str, spread: f64) {
    let (world, load) = (world(1, work), 0.7);
    // Pollaczek and Khinchine.
    let known = load / (1.0 - load) * 20_000.0 * (1.0 + spread * spread) / 2.0;
    let waits: Vec<f64> = (1..=5)
        .map(|seed| one_node(&world, load, 200_000, 1.0, seed).wait)
        .collect();
    let wait = waits.iter().sum::<f64>() / waits.len() as f64;
    assert!(near(wait, known, 0.08), "{wait:.0} us against {known:.0}");
}
