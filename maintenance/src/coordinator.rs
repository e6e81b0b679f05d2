//! One router's part in the works. While its router leads it carries the work on: it takes machines out where the limits
//! allow it, gives a permit once a machine is surely quiet, and sees machines back. All that it keeps beside the books may
//! be lost: whoever leads next begins from the books and hears everybody anew.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_fleet_policy::{Extension, Index, Member, MemberContact, MemberInfo};

use crate::disruption_budget::{ClusterView, DisruptionBudget, Limits, Violation};
use crate::ids::RequestNo;
use crate::router_removal::{router_of, RouterViolation, Routers};
use crate::router_report::RouterReport;
use crate::schedule::{schedule, Schedule, WorkItem};
use crate::state::{Entry, MaintenanceState, Operation, Phase, Request};

/// Spans in microseconds, shares from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceConfig {
    #[serde(flatten)]
    pub limits: Limits,
    /// For how long past the end of its lease a router may still act on a lookup: the longest deadline there is.
    pub lingers: u64,
    /// A machine that has not shown that it bears load for so long after it was given back is kept out.
    pub back_within: u64,
    /// Nothing more goes out before all has been well for so long.
    pub calm: u64,
    /// The work is held while more than this share of lookups is late, failed or refused; it goes on below half of it.
    pub late_over: f64,
}

impl Default for MaintenanceConfig {
    fn default() -> Self {
        MaintenanceConfig {
            limits: Limits::default(),
            lingers: 10_000_000,
            back_within: 600_000_000,
            calm: 5_000_000,
            late_over: 0.1,
        }
    }
}

/// Lookups that were answered of late, at the least, before their share that was late says something.
const LEAST_ANSWERED: u32 = 10;
/// A machine is unsound where one in so many routers says so, and at least one does.
const ONE_IN: usize = 3;
/// The load is agreed anew when it has moved by more than this part of it, and so many part calls a second; not more often
/// than this.
const LOAD_PART: u64 = 10;
const LEAST_LOAD: u64 = 2;
const LOAD_EVERY: Micros = Micros(1_000_000);
/// Machines that one step takes out.
const MOST_A_STEP: usize = 32;

/// Faults that tests must catch.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A permit is given as soon as the machine is out.
    NoWaiting,
    /// A router that is silent counts as quiet at once.
    SilentIsQuiet,
    /// A word from before the machine went out counts.
    AnyWord,
}

/// A member, as it was heard at the last look.
struct Heard {
    member: Member,
    word: Option<RouterReport>,
    fresh: bool,
    alone: bool,
    over: bool,
}

pub struct Coordinator {
    pub config: MaintenanceConfig,
    pub state: MaintenanceState,
    /// As this router sees it, and its wall clock in milliseconds.
    world: ClusterView,
    wall: u64,
    /// Machines that fail without having been taken out, and since when nothing has been wrong that holds the work.
    failing: BTreeSet<String>,
    well_since: Option<Micros>,
    /// When the load was last put into the log.
    told_load: Option<Micros>,
    /// When this one first saw a machine on its way back.
    returning: BTreeMap<(RequestNo, String), Micros>,
    /// The routers of the fleet.
    members: BTreeMap<Member, MemberInfo>,
    /// Words of the last look, for people: who waits for whom.
    attended: Vec<Heard>,
    led_term: u64,
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedBug>,
}

impl Coordinator {
    pub fn new(terms: MaintenanceConfig) -> Coordinator {
        Coordinator {
            config: terms,
            state: MaintenanceState::default(),
            world: ClusterView::default(),
            wall: 0,
            failing: BTreeSet::new(),
            well_since: None,
            told_load: None,
            returning: BTreeMap::new(),
            members: BTreeMap::new(),
            attended: Vec::new(),
            led_term: 0,
            #[cfg(any(test, feature = "planted"))]
            injected_bug: None,
        }
    }

    /// The fleet as this router sees it now; soundness is what all say of it.
    pub fn observe_cluster(&mut self, world: ClusterView, wall: u64) {
        (self.world, self.wall) = (world, wall);
    }

    /// The world with everything that is in work, or that routers call so, as unsound.
    fn standing(&self, words: &[&RouterReport]) -> ClusterView {
        let mut world = self.world.clone();
        let (unsound, working) = (unsound(words), self.state.active_machines());
        for node in &mut world.nodes {
            node.out_of_service = working.contains(node.name.as_str());
            node.healthy = !node.out_of_service && !unsound.contains(node.name.as_str());
        }
        world.load = self.state.load as f64;
        world
    }

    /// Words of all that have been heard.
    fn words(&self) -> Vec<&RouterReport> {
        self.attended
            .iter()
            .filter_map(|of| of.word.as_ref())
            .collect()
    }

    /// Whom a machine that went out at a place still waits for.
    fn waits_for(&self, machine: &str, at: Index) -> Vec<&Member> {
        let waits = |of: &&Heard| {
            let knows = |word: &RouterReport| word.goes_by >= at;
            #[cfg(any(test, feature = "planted"))]
            let knows = |word: &RouterReport| {
                knows(word) || self.injected_bug == Some(InjectedBug::AnyWord)
            };
            let free = |word: &RouterReport| !word.busy.iter().any(|name| name == machine);
            let quiet = of.alone
                && of
                    .word
                    .as_ref()
                    .is_some_and(|word| knows(word) && free(word))
                || of.over;
            #[cfg(any(test, feature = "planted"))]
            let quiet = match self.injected_bug {
                Some(InjectedBug::NoWaiting) => true,
                Some(InjectedBug::SilentIsQuiet) => quiet || of.word.is_none(),
                _ => quiet,
            };
            !quiet
        };
        self.attended
            .iter()
            .filter(waits)
            .map(|of| &of.member)
            .collect()
    }

    /// Requests in their order: by deadline, then by priority.
    fn ordered(&self) -> Vec<(RequestNo, &Request)> {
        let mut all: Vec<(RequestNo, &Request)> = self
            .state
            .requests
            .iter()
            .map(|(no, of)| (*no, of))
            .collect();
        all.sort_by_key(|(no, of)| (of.by_when.unwrap_or(u64::MAX), u8::MAX - of.priority, *no));
        all
    }

    /// What waits, as items for a plan.
    fn items(&self, world: &ClusterView) -> Vec<WorkItem> {
        let numbers: BTreeMap<&str, usize> = world
            .nodes
            .iter()
            .enumerate()
            .map(|(at, node)| (node.name.as_str(), at))
            .collect();
        let mut items = Vec::new();
        for (no, request) in self.ordered() {
            let waits = request.machines.iter().filter(|machine| {
                self.state
                    .operations
                    .get(&(no, (*machine).clone()))
                    .is_some_and(|job| job.phase == Phase::Waiting)
            });
            let urgency = (
                request.by_when.unwrap_or(u64::MAX),
                u8::MAX - request.priority,
            );
            let mut item = |nodes: Vec<usize>| {
                items.push(WorkItem {
                    request: no,
                    nodes,
                    urgency,
                    lasts: request.lasts,
                });
            };
            let nodes: Vec<usize> = waits
                .filter_map(|machine| numbers.get(machine.as_str()).copied())
                .collect();
            match request.together {
                true if nodes.is_empty() => {}
                true => item(nodes),
                false => nodes.into_iter().for_each(|node| item(vec![node])),
            }
        }
        items
    }

    fn planned(&self, more: Option<&Request>) -> (Schedule, Vec<WorkItem>, ClusterView) {
        // What is out or fails now will be there again: what can never be is another matter than what cannot be now.
        // Seen: a request was refused for good as a machine was doubted for a moment.
        let mut world = self.world.clone();
        world.load = self.state.load as f64;
        let mut items = self.items(&world);
        if let Some(of) = more {
            let nodes: Vec<usize> = of
                .machines
                .iter()
                .filter_map(|name| world.position(name))
                .collect();
            let urgency = (of.by_when.unwrap_or(u64::MAX), u8::MAX - of.priority);
            let item = |nodes| WorkItem {
                request: RequestNo(u64::MAX),
                nodes,
                urgency,
                lasts: of.lasts,
            };
            match of.together {
                true => items.push(item(nodes)),
                false => items.extend(nodes.into_iter().map(|node| item(vec![node]))),
            }
        }
        let room = DisruptionBudget::new(&world, &self.config.limits, 0);
        (schedule(&items, &room), items, world)
    }

    /// Steps for what is out or on its way back.
    fn follow(&mut self, now: Micros, steps: &mut Vec<Entry>) {
        let (fence, wall) = (self.state.fence, self.wall);
        let active = self
            .state
            .operations
            .iter()
            .filter(|(_, job)| job.phase.is_active());
        let jobs: Vec<((RequestNo, String), Operation)> = active
            .map(|(key, job)| (key.clone(), job.clone()))
            .collect();
        self.returning.retain(|key, _| {
            self.state
                .operations
                .get(key)
                .is_some_and(|job| matches!(job.phase, Phase::Returning { .. }))
        });
        let fresh = self.words();
        let bad = unsound(&fresh);
        let mut since = Vec::new();
        for (key, job) in jobs {
            match job.phase {
                // A router is quiet when its operator has drained it: the permit is the fleet's word that it may.
                Phase::Out
                    if router_of(&key.1).is_some() || self.waits_for(&key.1, job.at).is_empty() =>
                {
                    steps.push(Entry::Permit {
                        fence,
                        job: key,
                        now: wall,
                    });
                }
                Phase::Returning { .. } => {
                    let began = self.returning.get(&key).copied();
                    // Nobody has anything for it: after a while discovery's word is all there is.
                    let idle =
                        !fresh.is_empty() && fresh.iter().all(|word| word.idle.contains(&key.1));
                    let calm = began.is_some_and(|began| now.since(began).0 >= self.config.calm);
                    let there =
                        |of: &Heard| of.fresh && Some(&of.member) == router_of(&key.1).as_ref();
                    let there = self.attended.iter().any(there);
                    let bears = fresh.iter().any(|word| word.bear.contains(&key.1))
                        || idle && calm
                        || there;
                    if bears && !bad.contains(key.1.as_str()) {
                        steps.push(Entry::Back {
                            fence,
                            job: key,
                            now: wall,
                        });
                    } else if began
                        .is_some_and(|began| now.since(began).0 > self.config.back_within)
                    {
                        steps.push(Entry::Keep {
                            fence,
                            job: key,
                            now: wall,
                        });
                    } else if began.is_none() {
                        since.push(key);
                    }
                }
                _ => {}
            }
        }
        self.returning
            .extend(since.into_iter().map(|key| (key, now)));
    }

    /// Whether the work is held, or goes on.
    fn hold(&mut self, now: Micros, steps: &mut Vec<Entry>) {
        let fence = self.state.fence;
        let words = self.words();
        let working = self.state.active_machines();
        let failing: BTreeSet<String> = unsound(&words)
            .into_iter()
            .filter(|name| {
                !working.contains(name) && self.world.nodes.iter().any(|node| node.name == **name)
            })
            .map(str::to_owned)
            .collect();
        let (answered, late) = words.iter().fold((0, 0), |(all, late), word| {
            (all + word.answered, late + word.late)
        });
        let share = f64::from(late) / f64::from(answered.max(1));
        let says = answered >= LEAST_ANSWERED;
        let new: Vec<String> = failing.difference(&self.failing).cloned().collect();
        self.failing = failing;
        let held = self.state.pause.as_ref().map(|hold| hold.own);
        let limit = if held == Some(true) {
            self.config.late_over / 2.0
        } else {
            self.config.late_over
        };
        let why = if !new.is_empty() {
            Some(format!("{} failing without work", new.join(", ")))
        } else if says && share > limit {
            Some(format!(
                "{:.1}% of {answered} lookups late, failed or refused",
                share * 100.0
            ))
        } else {
            None
        };
        let active = !self.state.operations.is_empty();
        match (why, held) {
            (Some(why), None) if active => {
                self.well_since = None;
                steps.push(Entry::OwnHold { fence, why });
            }
            (Some(_), _) => self.well_since = None,
            (None, _) => {
                let since = *self.well_since.get_or_insert(now);
                if held == Some(true) && now.since(since).0 >= self.config.calm {
                    steps.push(Entry::GoOn { fence });
                }
            }
        }
    }

    /// The load that routers tell, where it has moved from what is agreed: how much may be out rests on it.
    fn tell_load(&mut self, now: Micros, steps: &mut Vec<Entry>) {
        let calls: u64 = self.words().iter().map(|word| u64::from(word.calls)).sum();
        let (known, told) = (self.state.load, self.told_load);
        let moved = calls.abs_diff(known) > known / LOAD_PART + LEAST_LOAD;
        if moved && told.is_none_or(|told| now.since(told) >= LOAD_EVERY) {
            self.told_load = Some(now);
            steps.push(Entry::Load {
                fence: self.state.fence,
                calls,
            });
        }
    }

    /// What may go out now, in the order of the requests.
    fn take_out(&self, now: Micros, steps: &mut Vec<Entry>) {
        let calm = self
            .well_since
            .is_some_and(|since| now.since(since).0 >= self.config.calm);
        if self.state.pause.is_some() || !calm || self.world.nodes.is_empty() {
            return;
        }
        if self.state.active_machines().len() >= self.config.limits.most_out(self.world.nodes.len())
        {
            return;
        }
        let words = self.words();
        if words.iter().filter(|word| word.more > 0).count() * ONE_IN >= words.len().max(1) {
            return;
        }
        let (world, active) = (self.standing(&words), self.state.active_machines());
        let mut room = DisruptionBudget::new(&world, &self.config.limits, active.len());
        let mut items = self.items(&world);
        items.retain(|item| {
            let free = item
                .nodes
                .iter()
                .all(|node| !active.contains(world.nodes[*node].name.as_str()));
            let due = self
                .state
                .requests
                .get(&item.request)
                .and_then(|of| of.not_before);
            free && due.is_none_or(|due| due <= self.wall)
        });
        // The plan's order: its first round is what fits best beside each other now.
        let order = schedule(&items, &room);
        let mut jobs = Vec::new();
        for at in order.rounds.iter().flat_map(|round| &round.items) {
            let item = &items[*at];
            let names = item
                .nodes
                .iter()
                .map(|node| (item.request, world.nodes[*node].name.clone()));
            let twice = |node: &usize| {
                jobs.iter()
                    .any(|(_, name)| *name == world.nodes[*node].name)
            };
            if jobs.len() + item.nodes.len() <= MOST_A_STEP.max(item.nodes.len())
                && !item.nodes.iter().any(twice)
                && room.take_out_all(&item.nodes).is_ok()
            {
                jobs.extend(names);
            }
        }
        if !jobs.is_empty() {
            steps.push(Entry::TakeOut {
                fence: self.state.fence,
                jobs,
                now: self.wall,
            });
        }
    }

    /// The one router that may go now, if one waits.
    fn take_router(&self, steps: &mut Vec<Entry>) {
        if self.state.pause.is_some() {
            return;
        }
        let waiting = self.waiting_routers();
        let may = |(_, router): &&((RequestNo, String), Member)| {
            self.routers()
                .is_some_and(|routers| routers.check(router, waiting.len() > 1).is_ok())
        };
        if let Some((key, _)) = waiting.iter().find(may) {
            steps.push(Entry::TakeOut {
                fence: self.state.fence,
                jobs: vec![key.clone()],
                now: self.wall,
            });
        }
    }

    /// Routers that wait to go, in the order of their requests.
    fn waiting_routers(&self) -> Vec<((RequestNo, String), Member)> {
        let due = |of: &Request| of.not_before.is_none_or(|due| due <= self.wall);
        let requests = self.ordered().into_iter().filter(|(_, of)| due(of));
        let all = requests
            .flat_map(|(no, of)| of.machines.iter().map(move |machine| (no, machine.clone())));
        let waits = |key: &(RequestNo, String)| {
            self.state
                .operations
                .get(key)
                .is_some_and(|job| job.phase == Phase::Waiting)
        };
        let routers = all
            .filter(waits)
            .filter_map(|key| Some((key.clone(), router_of(&key.1)?)));
        routers.collect()
    }

    fn routers(&self) -> Option<Routers<'_>> {
        let active = self.state.active_machines();
        let out = |member: &Member| {
            active
                .iter()
                .any(|name| router_of(name).as_ref() == Some(member))
        };
        let there = self
            .attended
            .iter()
            .filter(|of| of.fresh && !out(&of.member))
            .map(|of| of.member.clone());
        let carrier = &self.state.coordinator.as_ref()?.0;
        let zone_share = self.config.limits.zone_share;
        Some(Routers {
            members: &self.members,
            present: there.collect(),
            coordinator: carrier,
            zone_share,
        })
    }

    fn row(
        &self,
        key: &(RequestNo, String),
        job: &Operation,
        binds: &BTreeMap<String, String>,
    ) -> Value {
        let waits: Vec<String> = match job.phase {
            Phase::Out => {
                let members = self.waits_for(&key.1, job.at);
                members.iter().map(|member| member.0.clone()).collect()
            }
            _ => Vec::new(),
        };
        let request = self.state.requests.get(&key.0);
        let (begun, failed) = match &job.phase {
            Phase::Permitted { begun, failed, .. } => (begun.clone(), failed.clone()),
            _ => (None, None),
        };
        let overdue = matches!(job.phase, Phase::Permitted { .. })
            && request.is_some_and(|of| self.wall > job.since + of.lasts / 1000);
        let binds = binds.get(&key.1).filter(|_| job.phase == Phase::Waiting);
        json!({"request": key.0, "machine": key.1, "state": job.phase.description(), "permit": job.phase.permit(),
            "since_ms": job.since, "for_ms": self.wall.saturating_sub(job.since), "waits_for": waits, "begun": begun,
            "failed": failed, "overdue": overdue, "binds": binds, "why": request.map(|of| &of.why),
            "by": request.map(|of| &of.by)})
    }

    /// What an operator sees: machines, states, since when, who waits for what; and the plan.
    fn table(&self) -> Value {
        let words = self.words();
        let world = self.standing(&words);
        let room = DisruptionBudget::new(
            &world,
            &self.config.limits,
            self.state.active_machines().len(),
        );
        let (mut binds, waiting) = (BTreeMap::new(), self.waiting_routers());
        for (_, machine) in self
            .state
            .operations
            .iter()
            .filter(|(_, job)| job.phase == Phase::Waiting)
            .map(|(key, _)| key)
        {
            let said = match (router_of(machine), world.position(machine)) {
                (Some(router), _) => {
                    let may = self
                        .routers()
                        .map(|routers| routers.check(&router, waiting.len() > 1));
                    may.and_then(Result::err).map(|stays| stays.to_string())
                }
                (None, Some(at)) => room.check(at).err().map(|binds| binds.to_string()),
                (None, None) => Some(Violation::Unknown(machine.clone()).to_string()),
            };
            if let Some(said) = said {
                binds.insert(machine.clone(), said);
            }
        }
        let rows = self
            .state
            .operations
            .iter()
            .map(|(key, job)| self.row(key, job, &binds));
        let past = self
            .state
            .history
            .iter()
            .map(|past| json!({"at": past.at, "words": past.words}));
        json!({"carrier": self.state.coordinator.as_ref().map(|(member, _)| member), "fence": self.state.fence,
            "hold": self.state.pause, "rows": rows.collect::<Vec<_>>(), "plan": self.plan_told(None),
            "out": self.state.machines_out(), "past": past.collect::<Vec<_>>()})
    }

    fn plan_told(&self, more: Option<&Request>) -> Value {
        let (schedule, items, world) = self.planned(more);
        let names = |at: &usize| -> Vec<&str> {
            items[*at]
                .nodes
                .iter()
                .map(|node| world.nodes[*node].name.as_str())
                .collect()
        };
        let rounds = schedule.rounds.iter().map(|round| {
            let machines: Vec<&str> = round.items.iter().flat_map(names).collect();
            json!({"machines": machines, "lasts_ms": round.lasts / 1000})
        });
        let cannot = schedule
            .cannot
            .iter()
            .map(|(at, binds)| json!({"machines": names(at), "binds": binds.to_string()}));
        let lasts: u64 = schedule.rounds.iter().map(|round| round.lasts / 1000).sum();
        json!({"rounds": rounds.collect::<Vec<_>>(), "cannot": cannot.collect::<Vec<_>>(),
            "bound": schedule.bound, "lasts_ms": lasts})
    }
}

/// Machines that enough routers call unsound.
fn unsound<'a>(words: &[&'a RouterReport]) -> BTreeSet<&'a str> {
    let mut counts = BTreeMap::<&str, usize>::new();
    for name in words.iter().flat_map(|word| &word.unsound) {
        *counts.entry(name).or_default() += 1;
    }
    let enough = (words.len() / ONE_IN).max(1);
    counts
        .into_iter()
        .filter(|(_, count)| *count >= enough)
        .map(|(name, _)| name)
        .collect()
}

impl Extension for Coordinator {
    fn apply(&mut self, index: Index, entry: &[u8]) -> Result<u64, String> {
        let entry = postcard::from_bytes(entry).map_err(|e| format!("it cannot be read: {e}"))?;
        self.state.apply(index, entry)
    }

    fn members_changed(&mut self, members: &BTreeMap<Member, MemberInfo>) {
        self.state.set_members(members.keys().cloned().collect());
        self.members.clone_from(members);
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.state).unwrap_or_default()
    }

    fn restore(&mut self, image: &[u8]) {
        self.state = postcard::from_bytes(image).unwrap_or_default();
    }

    fn machines_out(&self) -> Vec<u8> {
        // Machines on their way back are told too: routers watch how they bear load.
        let returning = self
            .state
            .operations
            .iter()
            .filter(|(_, job)| matches!(job.phase, Phase::Returning { .. }));
        let returning: BTreeSet<&String> = returning.map(|((_, machine), _)| machine).collect();
        postcard::to_stdvec(&(self.state.machines_out(), returning)).unwrap_or_default()
    }

    fn in_flight_grace(&self) -> Micros {
        Micros(self.config.lingers)
    }

    fn departed_members(&self) -> Vec<Member> {
        self.state.departed_members.iter().cloned().collect()
    }

    fn check_command(&self, _: Micros, entry: &[u8]) -> Result<(), String> {
        let request = match postcard::from_bytes::<Entry>(entry) {
            Ok(Entry::Ask { request }) => request,
            Ok(
                Entry::Change { .. }
                | Entry::Cancel { .. }
                | Entry::Pause { .. }
                | Entry::Resume { .. }
                | Entry::Begin { .. }
                | Entry::Done { .. },
            ) => return Ok(()),
            // Steps are put by whoever leads, and by nobody's command.
            Ok(_) => return Err("this is no operator's command".into()),
            Err(e) => return Err(format!("it cannot be read: {e}")),
        };
        for name in &request.machines {
            match router_of(name) {
                Some(router) if !self.members.contains_key(&router) => {
                    return Err(RouterViolation::Unknown.to_string())
                }
                Some(_) if request.together => {
                    return Err(
                        "routers go one at a time: they cannot be asked for together".into(),
                    );
                }
                None if self.world.position(name).is_none() => {
                    return Err(Violation::Unknown(name.clone()).to_string());
                }
                _ => {}
            }
        }
        let (schedule, items, world) = self.planned(Some(&request));
        let own = |at: &usize| items[*at].request == RequestNo(u64::MAX);
        if let Some((at, binds)) = schedule.cannot.iter().find(|(at, _)| own(at)) {
            let names: Vec<&str> = items[*at]
                .nodes
                .iter()
                .map(|node| world.nodes[*node].name.as_str())
                .collect();
            return Err(format!("{} can never go out: {binds}", names.join(", ")));
        }
        if let Some(by_when) = request.by_when {
            let last = schedule
                .rounds
                .iter()
                .rposition(|round| round.items.iter().any(own))
                .map_or(0, |at| at + 1);
            let lasts: u64 = schedule.rounds[..last]
                .iter()
                .map(|round| round.lasts / 1000)
                .sum();
            let begins = request.not_before.unwrap_or(0).max(self.wall);
            if begins + lasts > by_when {
                return Err(format!(
                    "it needs {last} rounds and {} s, and is wanted within {} s: more time, fewer machines at \
                     once under other requests, or lower limits would have to be given",
                    lasts / 1000,
                    by_when.saturating_sub(begins) / 1000
                ));
            }
        }
        Ok(())
    }

    fn next_entries(
        &mut self,
        now: Micros,
        me: &Member,
        term: u64,
        attended: &[MemberContact],
    ) -> (Vec<Vec<u8>>, Vec<String>) {
        if self.led_term != term {
            // What an earlier time in the chair has seen says nothing.
            (self.led_term, self.well_since, self.told_load) = (term, None, None);
            (self.failing, self.returning) = (BTreeSet::new(), BTreeMap::new());
        }
        let read = |of: &MemberContact| {
            let word = of
                .report
                .as_ref()
                .and_then(|word| RouterReport::decode(word));
            Heard {
                member: of.member.clone(),
                word,
                fresh: of.is_recent,
                alone: of.only_one_process,
                over: of.all_leases_expired,
            }
        };
        self.attended = attended.iter().map(read).collect();
        if self.state.requests.is_empty()
            && self.state.operations.is_empty()
            && self.state.departed_members.is_empty()
        {
            self.well_since.get_or_insert(now);
            return (Vec::new(), Vec::new());
        }
        if self.state.coordinator.as_ref() != Some(&(me.clone(), term)) {
            let carry = Entry::Carry {
                member: me.clone(),
                term,
            };
            return (
                vec![postcard::to_stdvec(&carry).unwrap_or_default()],
                Vec::new(),
            );
        }
        let mut steps = Vec::new();
        let over = |member: &Member| {
            attended
                .iter()
                .any(|of| of.member == *member && of.all_leases_expired)
        };
        if let Some(member) = self
            .state
            .departed_members
            .iter()
            .find(|member| over(member))
        {
            steps.push(Entry::Forget {
                fence: self.state.fence,
                member: member.clone(),
            });
        }
        self.follow(now, &mut steps);
        self.hold(now, &mut steps);
        self.tell_load(now, &mut steps);
        if steps.is_empty() {
            self.take_out(now, &mut steps);
        }
        if steps.is_empty() {
            self.take_router(&mut steps);
        }
        let lines = steps.iter().filter_map(line).collect();
        (
            steps
                .iter()
                .map(|step| postcard::to_stdvec(step).unwrap_or_default())
                .collect(),
            lines,
        )
    }

    fn inspect(&self, _: Micros, what: &str) -> Option<String> {
        match what.strip_prefix("works-plan ") {
            Some(text) => {
                let request: Request = serde_json::from_str(text).unwrap_or_default();
                Some(self.plan_told(Some(&request)).to_string())
            }
            None if what == "works" => Some(self.table().to_string()),
            None => None,
        }
    }
}

/// One line for each step that people on call would want to know of.
fn line(step: &Entry) -> Option<String> {
    let names = |jobs: &[(RequestNo, String)]| {
        jobs.iter()
            .map(|(_, machine)| machine.as_str())
            .collect::<Vec<_>>()
            .join(", ")
    };
    match step {
        Entry::TakeOut { jobs, .. } => Some(format!("works: {} to go out", names(jobs))),
        Entry::Permit { job, .. } => Some(format!("works: {} is quiet", job.1)),
        Entry::Back { job, .. } => Some(format!("works: {} bears load again", job.1)),
        Entry::Keep { job, .. } => Some(format!(
            "works: {} does not come back in time, kept out",
            job.1
        )),
        Entry::OwnHold { why, .. } => Some(format!("works: held, {why}")),
        Entry::GoOn { .. } => Some("works: goes on".into()),
        _ => None,
    }
}

/// The machines that a router has to go by, as [`Extension::outs`] tells them: those that are out, and those coming back.
impl Coordinator {
    pub fn decode_machines_out(outs: &[u8]) -> (Vec<String>, Vec<String>) {
        postcard::from_bytes(outs).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::disruption_budget::Node;
    use crate::ids::PermitNo;
    use test_case::test_case;

    const S: u64 = 1_000_000;

    /// Six machines in two sets of three.
    fn carrier() -> Coordinator {
        let terms = MaintenanceConfig {
            limits: Limits {
                zone_share: 0.0,
                most_out: 1.0,
                ..Limits::default()
            },
            ..MaintenanceConfig::default()
        };
        let mut carrier = Coordinator::new(terms);
        let node = |at: u32| Node {
            name: format!("s{at}"),
            zone: 0,
            shard_sets: vec![at / 3],
            healthy: true,
            out_of_service: false,
        };
        carrier.observe_cluster(
            ClusterView {
                nodes: (0..6).map(node).collect(),
                load: 0.0,
            },
            1000,
        );
        carrier
    }

    fn ask(machines: &[&str]) -> Request {
        let machines = machines.iter().map(|name| (*name).to_owned()).collect();
        Request {
            machines,
            by: "ann".into(),
            lasts: 60 * S,
            ..Request::default()
        }
    }

    impl Coordinator {
        fn permit_of(&self, machine: &str) -> Option<PermitNo> {
            let found = self
                .state
                .operations
                .iter()
                .find(|((_, of), job)| of == machine && job.phase.permit().is_some());
            found.and_then(|(_, job)| job.phase.permit())
        }
    }

    fn says(member: &str, word: &RouterReport) -> MemberContact {
        MemberContact {
            member: member.into(),
            report: Some(word.encode()),
            is_recent: true,
            only_one_process: true,
            all_leases_expired: false,
        }
    }

    struct Fleet {
        carrier: Coordinator,
        at: u64,
        now: u64,
    }

    impl Fleet {
        fn asked(machines: &[&str]) -> Fleet {
            let mut fleet = Fleet {
                carrier: carrier(),
                at: 0,
                now: 0,
            };
            fleet.put(Entry::Ask {
                request: ask(machines),
            });
            fleet
        }

        fn put(&mut self, entry: Entry) {
            self.at += 1;
            self.carrier
                .apply(Index(self.at), &postcard::to_stdvec(&entry).expect("bytes"))
                .expect("it fits");
        }

        /// A second passes; what was put comes back.
        fn step(&mut self, attended: &[MemberContact]) -> Vec<Entry> {
            self.now += S;
            let (steps, _) = self
                .carrier
                .next_entries(Micros(self.now), &"n0".into(), 1, attended);
            let steps: Vec<Entry> = steps
                .iter()
                .map(|bytes| postcard::from_bytes(bytes).expect("an entry"))
                .collect();
            steps.iter().for_each(|step| self.put(step.clone()));
            steps
        }

        fn run(&mut self, seconds: u64, attended: &[MemberContact]) -> Vec<Entry> {
            (0..seconds).flat_map(|_| self.step(attended)).collect()
        }

        fn out(&self) -> Vec<String> {
            self.carrier.state.machines_out()
        }
    }

    fn knows(goes_by: u64) -> RouterReport {
        RouterReport {
            goes_by: Index(goes_by),
            ..RouterReport::default()
        }
    }

    #[test]
    fn one_of_each_set_goes_out_and_the_next_when_it_is_back() {
        let mut fleet = Fleet::asked(&["s0", "s1", "s3"]);
        let quiet = [says("n0", &knows(100)), says("n1", &knows(100))];
        fleet.run(10, &quiet);
        assert_eq!(fleet.out(), ["s0", "s3"], "two of each set stay");
        let permit = fleet.carrier.permit_of("s0").expect("a permit");
        fleet.put(Entry::Done {
            permit,
            by: "ann".into(),
            failed: None,
        });
        fleet.run(10, &quiet);
        assert_eq!(fleet.out(), ["s3"], "it has yet to show that it bears load");
        let bears = RouterReport {
            bear: vec!["s0".into()],
            ..knows(100)
        };
        fleet.run(10, &[says("n0", &bears), says("n1", &knows(100))]);
        assert_eq!(fleet.out(), ["s1", "s3"]);
    }

    #[test_case(knows(2), true, false, false; "a word from before it was out")]
    #[test_case(RouterReport { busy: vec!["s0".into()], ..knows(100) }, true, false, false; "something is out there")]
    #[test_case(knows(100), false, false, false; "another process of it may still act")]
    #[test_case(knows(2), true, true, true; "silent for longer than it can act")]
    #[test_case(knows(100), true, false, true; "quiet")]
    fn a_permit_waits_for_every_router(word: RouterReport, alone: bool, over: bool, given: bool) {
        let mut fleet = Fleet::asked(&["s0"]);
        let slow = MemberContact {
            only_one_process: alone,
            all_leases_expired: over,
            ..says("n1", &word)
        };
        fleet.run(12, &[says("n0", &knows(100)), slow]);
        assert_eq!(
            (fleet.out(), fleet.carrier.permit_of("s0").is_some()),
            (vec!["s0".into()], given)
        );
    }

    #[test]
    fn one_that_has_not_been_heard_keeps_a_permit_away() {
        let mut fleet = Fleet::asked(&["s0"]);
        let unheard = MemberContact {
            report: None,
            only_one_process: false,
            is_recent: false,
            ..says("n1", &RouterReport::default())
        };
        fleet.run(12, &[says("n0", &knows(100)), unheard.clone()]);
        assert_eq!(fleet.carrier.permit_of("s0"), None);
        fleet.run(
            1,
            &[
                says("n0", &knows(100)),
                MemberContact {
                    all_leases_expired: true,
                    ..unheard
                },
            ],
        );
        assert!(fleet.carrier.permit_of("s0").is_some());
    }

    #[test]
    fn a_failure_without_work_holds_it_and_calm_lets_it_go_on() {
        let mut fleet = Fleet::asked(&["s0", "s3"]);
        let dead = RouterReport {
            unsound: vec!["s1".into()],
            ..knows(100)
        };
        let well = [says("n0", &knows(100))];
        fleet.run(4, &well);
        assert!(fleet.out().is_empty(), "not calm for long enough yet");
        let steps = fleet.step(&[says("n0", &dead)]);
        assert!(matches!(steps[..], [Entry::OwnHold { .. }]), "{steps:?}");
        fleet.run(10, &[says("n0", &dead)]);
        // It is known by now: the other set's machine may go, its own neighbour may not.
        assert_eq!(fleet.out(), ["s3"], "{:?}", fleet.carrier.state);
        fleet.run(10, &well);
        assert_eq!(fleet.out(), ["s0", "s3"]);
    }

    #[test]
    fn late_lookups_hold_the_work_without_flapping() {
        let mut fleet = Fleet::asked(&["s0"]);
        let share = |late| {
            [says(
                "n0",
                &RouterReport {
                    answered: 1000,
                    late,
                    ..knows(100)
                },
            )]
        };
        fleet.run(2, &share(0));
        let mut holds = 0;
        // Between half of the limit and the limit it stays as it is.
        for late in [150, 80, 80, 90, 60, 80, 90, 60, 70, 80, 60, 70] {
            holds += fleet.step(&share(late)).len();
        }
        assert_eq!(holds, 1, "{:?}", fleet.carrier.state.history);
        let steps = fleet.run(7, &share(10));
        assert!(
            matches!(steps[..], [Entry::GoOn { .. }, Entry::TakeOut { .. }]),
            "{steps:?}"
        );
    }

    #[test]
    fn a_machine_that_does_not_come_back_is_kept_out_until_it_is_given_back_anew() {
        let mut fleet = Fleet::asked(&["s0", "s3"]);
        fleet.carrier.config.back_within = 5 * S;
        let quiet = [says("n0", &knows(1000))];
        fleet.run(10, &quiet);
        let permit = fleet.carrier.permit_of("s0").expect("a permit");
        fleet.put(Entry::Done {
            permit,
            by: "ann".into(),
            failed: None,
        });
        fleet.run(8, &quiet);
        assert_eq!(fleet.out(), ["s0", "s3"], "kept out");
        fleet.put(Entry::Done {
            permit,
            by: "ann".into(),
            failed: None,
        });
        fleet.run(
            1,
            &[says(
                "n0",
                &RouterReport {
                    bear: vec!["s0".into()],
                    ..knows(1000)
                },
            )],
        );
        assert_eq!(fleet.out(), ["s3"]);
    }

    #[test_case(&["s0"], |_| {}, None; "a machine that may go")]
    #[test_case(&["s9"], |_| {}, Some("discovery lists no s9"); "one that nobody knows")]
    #[test_case(&["s0", "s1"], |of| of.together = true, Some("can never go out: set 0"); "two of a set at once")]
    #[test_case(&["s0", "s1"], |of| of.by_when = Some(60_000), Some("needs 2 rounds and 120 s"); "too little time")]
    #[test_case(&["s0", "s1"], |of| of.by_when = Some(130_000), None; "time enough")]
    fn a_request_is_answered_at_once(
        machines: &[&str],
        more: fn(&mut Request),
        said: Option<&str>,
    ) {
        let mut request = ask(machines);
        more(&mut request);
        let entry = postcard::to_stdvec(&Entry::Ask { request }).expect("bytes");
        let words = carrier().check_command(Micros(0), &entry).err();
        assert_eq!(words.is_some(), said.is_some(), "{words:?}");
        assert!(
            said.is_none_or(|said| words.clone().unwrap_or_default().contains(said)),
            "{words:?}"
        );
    }

    #[test]
    fn a_request_for_the_last_holder_is_refused_with_words() {
        let mut carrier = carrier();
        let node = |at: u32| Node {
            name: format!("s{at}"),
            zone: 0,
            shard_sets: vec![at],
            healthy: true,
            out_of_service: false,
        };
        carrier.observe_cluster(
            ClusterView {
                nodes: (0..2).map(node).collect(),
                load: 0.0,
            },
            0,
        );
        let entry = postcard::to_stdvec(&Entry::Ask {
            request: ask(&["s0"]),
        })
        .expect("bytes");
        let words = carrier
            .check_command(Micros(0), &entry)
            .expect_err("refused");
        assert!(words.contains("only sound holder of set 0"), "{words}");
    }

    #[test]
    fn a_machine_dies_while_its_neighbour_is_out_and_that_one_is_not_called_back() {
        let mut fleet = Fleet::asked(&["s0", "s3", "s4"]);
        fleet.run(8, &[says("n0", &knows(100))]);
        assert_eq!(fleet.out(), ["s0", "s3"]);
        let permit = fleet.carrier.permit_of("s3").expect("a permit");
        let dead = RouterReport {
            unsound: vec!["s1".into()],
            ..knows(100)
        };
        let steps = fleet.run(3, &[says("n0", &dead)]);
        assert!(matches!(steps[..], [Entry::OwnHold { .. }]), "{steps:?}");
        fleet.put(Entry::Done {
            permit,
            by: "ann".into(),
            failed: None,
        });
        // Its own set is whole again, and it waits all the same until the failure is known for long enough.
        let bears = RouterReport {
            bear: vec!["s3".into()],
            ..dead
        };
        fleet.run(1, &[says("n0", &bears)]);
        assert_eq!(
            fleet.out(),
            ["s0"],
            "nothing more goes out, and s0 stays with whom it is"
        );
        assert!(fleet.carrier.permit_of("s0").is_some());
    }

    #[test]
    fn a_permit_that_is_never_returned_keeps_its_neighbours_and_nobody_else() {
        let mut fleet = Fleet::asked(&["s0", "s1", "s3"]);
        fleet
            .carrier
            .observe_cluster(fleet.carrier.world.clone(), 1000);
        fleet.run(400, &[says("n0", &knows(1000))]);
        fleet.carrier.wall += 400_000;
        let table = fleet.carrier.table();
        let row = |name: &str| {
            table["rows"]
                .as_array()
                .into_iter()
                .flatten()
                .find(|row| row["machine"] == name)
                .cloned()
        };
        assert_eq!(
            row("s0").map(|row| row["overdue"].clone()),
            Some(true.into()),
            "{table}"
        );
        assert!(row("s1").is_some_and(|row| row["binds"]
            .as_str()
            .is_some_and(|binds| binds.contains("set 0"))));
        assert_eq!(fleet.out(), ["s0", "s3"]);
    }

    #[test]
    fn load_that_doubles_in_the_middle_lets_nothing_more_out() {
        let mut fleet = Fleet::asked(&["s0", "s3"]);
        fleet.carrier.config.limits.per_node = Some(10.0);
        let load = |calls| {
            [says(
                "n0",
                &RouterReport {
                    calls,
                    ..knows(100)
                },
            )]
        };
        fleet.run(4, &load(30));
        fleet.run(10, &load(45));
        assert_eq!(
            fleet.carrier.state.load, 45,
            "it is agreed before anything rests on it"
        );
        assert!(
            fleet.out().is_empty(),
            "45 with a quarter more and one failure need seven"
        );
        fleet.run(10, &load(28));
        assert_eq!(fleet.out().len(), 1, "28 need five of six: one may go");
    }

    #[test]
    fn a_release_by_discovery_leaves_no_room_where_it_is_at_work() {
        let mut fleet = Fleet::asked(&["s0", "s3"]);
        // Known for long: one of the first set is listed as terminating all the time.
        let released = RouterReport {
            unsound: vec!["s2".into()],
            ..knows(100)
        };
        fleet.run(20, &[says("n0", &released)]);
        assert_eq!(fleet.out(), ["s3"]);
    }

    #[test_case(40 * 60, 3; "three rounds of ten minutes have time")]
    #[test_case(15 * 60, 0; "in a quarter of an hour they have not")]
    fn all_machines_of_a_zone_by_tonight(seconds: u64, rounds: usize) {
        let mut request = ask(&["s0", "s1", "s2", "s3", "s4", "s5"]);
        (request.lasts, request.by_when) = (600 * S, Some(1000 + seconds * 1000));
        let carrier = carrier();
        let told = carrier.plan_told(Some(&request));
        assert_eq!(told["rounds"].as_array().map(Vec::len), Some(3), "{told}");
        let entry = postcard::to_stdvec(&Entry::Ask { request }).expect("bytes");
        let words = carrier.check_command(Micros(0), &entry).err();
        assert_eq!(words.is_none(), rounds > 0, "{words:?}");
    }

    #[test]
    fn routers_go_one_after_the_other_and_the_one_that_carries_on_goes_last() {
        let mut fleet = Fleet {
            carrier: carrier(),
            at: 0,
            now: 0,
        };
        let seated = |seat: u64| MemberInfo {
            address: String::new(),
            zone: String::new(),
            replica: Some(ternpick_fleet_policy::ReplicaId(seat)),
            is_learner: false,
        };
        let members = (0..3)
            .map(|at| (Member(format!("n{at}")), seated(at + 1)))
            .collect();
        fleet.carrier.members_changed(&members);
        fleet.put(Entry::Ask {
            request: ask(&["router:n0", "router:n1", "router:n2"]),
        });
        let all: Vec<MemberContact> = (0..3)
            .map(|at| says(&format!("n{at}"), &knows(100)))
            .collect();
        let mut order = Vec::new();
        for _ in 0..3 {
            fleet.run(3, &all);
            let [out] = &fleet.out()[..] else {
                panic!("one at a time: {:?}", fleet.out())
            };
            order.push(out.clone());
            let permit = fleet.carrier.permit_of(out).expect("a permit");
            fleet.put(Entry::Done {
                permit,
                by: "ann".into(),
                failed: None,
            });
            fleet.run(1, &all);
        }
        assert_eq!(order, ["router:n1", "router:n2", "router:n0"]);
    }

    #[test]
    fn a_machine_that_fails_for_a_moment_refuses_no_request() {
        let mut fleet = Fleet::asked(&["s3"]);
        let dead = RouterReport {
            unsound: vec!["s1".into()],
            ..knows(100)
        };
        fleet.run(2, &[says("n0", &dead)]);
        let entry = postcard::to_stdvec(&Entry::Ask {
            request: ask(&["s0"]),
        })
        .expect("bytes");
        assert_eq!(fleet.carrier.check_command(Micros(0), &entry), Ok(()));
    }

    #[test]
    fn one_that_discovery_lists_as_terminating_is_not_back() {
        let mut fleet = Fleet::asked(&["s0"]);
        fleet.run(8, &[says("n0", &knows(100))]);
        let permit = fleet.carrier.permit_of("s0").expect("a permit");
        fleet.put(Entry::Done {
            permit,
            by: "ann".into(),
            failed: None,
        });
        let listed = RouterReport {
            unsound: vec!["s0".into()],
            bear: vec!["s0".into()],
            ..knows(100)
        };
        fleet.run(20, &[says("n0", &listed)]);
        assert!(
            fleet.carrier.state.active_machines().contains("s0"),
            "it answers one router, and is about to go"
        );
        fleet.run(
            1,
            &[says(
                "n0",
                &RouterReport {
                    bear: vec!["s0".into()],
                    ..knows(100)
                },
            )],
        );
        assert!(fleet.carrier.state.operations.is_empty());
    }

    #[test]
    fn nobody_puts_a_step_by_command() {
        let step = Entry::Carry {
            member: "n9".into(),
            term: 9,
        };
        assert!(carrier()
            .check_command(Micros(0), &postcard::to_stdvec(&step).expect("bytes"))
            .is_err());
    }

    #[test]
    fn what_one_router_alone_of_many_calls_unsound_is_sound() {
        let one = RouterReport {
            unsound: vec!["s1".into()],
            ..RouterReport::default()
        };
        let others = vec![RouterReport::default(); 6];
        let words: Vec<&RouterReport> = others.iter().chain([&one]).collect();
        assert!(unsound(&words).is_empty());
        assert_eq!(unsound(&[&one, &others[0], &others[1]]).len(), 1);
    }
}
