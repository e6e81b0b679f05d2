//! Work on fleets of any size, in virtual time: the program's own carrier, with as many routers' words as wanted, crews that
//! take as long as they say, and a storm in the middle. What routers are to each other is left out: entries are agreed at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use ternpick::types::Micros;
use ternpick_fleet_policy::{Extension, Index, Member, MemberContact};
use ternpick_maintenance::{
    ClusterView, Coordinator, Entry, Limits, MaintenanceConfig, MaintenanceState, Node, Phase,
    Request, RouterReport,
};

const STEP: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub nodes: usize,
    pub routers: usize,
    /// Machines that hold the same set.
    pub holders: usize,
    /// How long the work on one takes; seconds.
    pub work: u64,
    /// The share of machines that a storm in the middle makes unsound for a minute.
    pub storm: f64,
    pub limits: Limits,
    pub seed: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Went {
    pub nodes: usize,
    pub routers: usize,
    /// What the plan says at the beginning: rounds, and no plan has fewer.
    pub rounds: usize,
    pub bound: usize,
    pub planning_ms: f64,
    /// Until all were back; minutes of virtual time. None: not in a week.
    pub minutes: Option<f64>,
    /// Most machines out, and the load on the rest by it.
    pub most_out: usize,
    pub load_on_rest: f64,
    /// Fewest holders of any set that were not out, and steps at which a set was left fewer than it keeps by permits.
    pub fewest_holders: usize,
    pub breaches: u64,
    pub holds: usize,
    /// The longest that nothing went out after the storm had passed; seconds.
    pub still_after_storm: u64,
    /// The carrier's own time for a step; milliseconds, the middle and the most.
    pub step_ms: (f64, f64),
}

/// Every machine out and back once.
pub fn play(site: Site) -> Went {
    let mut chance = Pcg64Mcg::seed_from_u64(site.seed);
    let node = |at: usize| Node {
        name: format!("s{at:05}"),
        zone: (at % 3) as u16,
        shard_sets: vec![(at / site.holders) as u32],
        healthy: true,
        out_of_service: false,
    };
    let nodes: Vec<Node> = (0..site.nodes).map(node).collect();
    let terms = MaintenanceConfig {
        limits: site.limits,
        ..MaintenanceConfig::default()
    };
    let mut carrier = Coordinator::new(terms);
    carrier.observe_cluster(
        ClusterView {
            nodes: nodes.clone(),
            load: 0.0,
        },
        0,
    );
    let mut at = 0;
    let mut put = |carrier: &mut Coordinator, entry: &Entry| {
        at += 1;
        // One that no longer fits changes nothing.
        let _ = carrier.apply(Index(at), &postcard::to_stdvec(entry).unwrap_or_default());
    };
    let names: Vec<String> = nodes.iter().map(|node| node.name.clone()).collect();
    for some in names.chunks(ternpick_maintenance::MAX_MACHINES_PER_REQUEST) {
        let request = Request {
            machines: some.to_vec(),
            reason: "kernels".into(),
            requested_by: "ann".into(),
            duration_us: site.work * STEP,
            ..Request::default()
        };
        put(&mut carrier, &Entry::OpenRequest { request });
    }
    let mut went = Went {
        nodes: site.nodes,
        routers: site.routers,
        ..Went::default()
    };
    let began = Instant::now();
    let plan: serde_json::Value = carrier
        .inspect(Micros(0), "works")
        .and_then(|json| serde_json::from_str(&json).ok())
        .unwrap_or_default();
    went.planning_ms = began.elapsed().as_secs_f64() * 1e3;
    went.rounds = plan["plan"]["rounds"].as_array().map_or(0, Vec::len);
    went.bound = plan["plan"]["bound"].as_u64().unwrap_or(0) as usize;
    let me: Member = "r0".into();
    let (mut done_at, mut took, mut storm_over, mut still) = (BTreeMap::new(), Vec::new(), None, 0);
    let (mut storm, mut now) = (BTreeSet::<String>::new(), 0);
    went.fewest_holders = site.holders;
    while !carrier.state.requests.is_empty() {
        now += STEP;
        if now > 7 * 24 * 3600 * STEP {
            return went;
        }
        // Half of the machines are done: the storm comes, for a minute.
        let left = carrier
            .state
            .operations
            .values()
            .filter(|job| job.phase != Phase::InService)
            .count();
        if site.storm > 0.0 && storm_over.is_none() && left * 2 < site.nodes {
            let count = (site.storm * site.nodes as f64) as usize;
            storm = names.choose_multiple(&mut chance, count).cloned().collect();
            storm_over = Some(now + 60 * STEP);
        }
        if storm_over.is_some_and(|over| now >= over) {
            storm.clear();
        }
        let returning = carrier
            .state
            .operations
            .iter()
            .filter(|(_, job)| matches!(job.phase, Phase::Returning { .. }));
        let word = RouterReport {
            applied_index: Index(u64::MAX),
            serving: returning.map(|(key, _)| key.machine.clone()).collect(),
            unhealthy: storm.iter().take(64).cloned().collect(),
            unlisted_unhealthy: storm.len().saturating_sub(64) as u32,
            requests_per_second: 100,
            answered: 100,
            ..RouterReport::default()
        };
        let bytes = word.encode();
        let of = |number: usize| MemberContact {
            member: Member(format!("r{number}")),
            report: Some(bytes.clone()),
            is_recent: true,
            only_one_process: true,
            all_leases_expired: false,
        };
        let attended: Vec<MemberContact> = (0..site.routers).map(of).collect();
        let began = Instant::now();
        let (steps, _) = carrier.next_entries(Micros(now), &me, 1, &attended);
        took.push(began.elapsed().as_secs_f64() * 1e3);
        let mut moved = false;
        for step in steps {
            let Ok(step) = postcard::from_bytes::<Entry>(&step) else {
                continue;
            };
            moved |= matches!(step, Entry::TakeOut { .. });
            went.holds += usize::from(matches!(step, Entry::AutoPause { .. }));
            put(&mut carrier, &step);
        }
        if storm_over.is_some_and(|over| now >= over)
            && !moved
            && carrier.state.active_machines().is_empty()
        {
            still += 1;
            went.still_after_storm = went.still_after_storm.max(still);
        } else {
            still = 0;
        }
        let permitted = carrier
            .state
            .operations
            .values()
            .filter_map(|job| match job.phase {
                Phase::Permitted { permit, .. } => Some(permit),
                _ => None,
            });
        let permits: Vec<_> = permitted.collect();
        for permit in permits {
            let until = *done_at.entry(permit).or_insert(now + site.work * STEP);
            if now >= until {
                put(
                    &mut carrier,
                    &Entry::FinishWork {
                        permit,
                        by: "ann".into(),
                        unfit_reason: None,
                    },
                );
                done_at.remove(&permit);
            }
        }
        judge(&carrier.state, &nodes, site, &mut went);
    }
    took.sort_by(f64::total_cmp);
    let middle = took.get(took.len() / 2).copied().unwrap_or(0.0);
    went.step_ms = (middle, took.last().copied().unwrap_or(0.0));
    went.minutes = Some(now as f64 / 60e6);
    went
}

/// What is kept at this moment.
fn judge(books: &MaintenanceState, nodes: &[Node], site: Site, went: &mut Went) {
    let out: BTreeSet<String> = books.machines_out().into_iter().collect();
    went.most_out = went.most_out.max(out.len());
    went.load_on_rest = went
        .load_on_rest
        .max(site.nodes as f64 / (site.nodes - out.len()).max(1) as f64);
    let mut missing = BTreeMap::<u32, usize>::new();
    for node in nodes.iter().filter(|node| out.contains(&node.name)) {
        *missing.entry(node.shard_sets[0]).or_default() += 1;
    }
    let most = missing.values().max().copied().unwrap_or(0);
    went.fewest_holders = went.fewest_holders.min(site.holders - most);
    let floor = site.limits.min_holders.max(2).min(site.holders - 1).max(1);
    went.breaches += u64::from(site.holders - most < floor);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hundred_and_twenty_machines_go_and_come_back_through_a_storm() {
        let limits = Limits {
            max_out_share: 0.1,
            ..Limits::default()
        };
        let site = Site {
            nodes: 120,
            routers: 20,
            holders: 3,
            work: 60,
            storm: 0.1,
            limits,
            seed: 3,
        };
        let calm = play(Site { storm: 0.0, ..site });
        let rough = play(site);
        assert_eq!(
            (calm.rounds, calm.bound, calm.breaches, rough.breaches),
            (10, 10, 0, 0),
            "{calm:?}"
        );
        assert!(calm.holds == 0 && rough.holds >= 1, "{rough:?}");
        assert!(
            calm.most_out == 12 && rough.fewest_holders == 2,
            "{rough:?}"
        );
        let minutes = |of: &Went| of.minutes.expect("all are back");
        assert!(
            minutes(&rough) < minutes(&calm) + 4.0,
            "{} and {}",
            minutes(&calm),
            minutes(&rough)
        );
    }
}
