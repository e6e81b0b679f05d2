//! Work on machines, as far as it touches this router: what is out reaches the module as the roster's word does; this
//! router's own word of it is made from what it sees. What is decided is in `ternpick-maintenance`.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde_json::{json, Value};
use ternpick::routing::RoutingEngine;
use ternpick::types::{Endpoint, EndpointState, Micros, Node as Seen, PlatformConfig};
use ternpick_fleet_policy::{
    Command, Extension, Index, Member, MemberContact, MemberInfo, OperationId, OperatorRequest,
    OperatorResponse, Outcome,
};
use ternpick_maintenance::{
    ClusterView, Coordinator, Entry, MaintenanceConfig, Node, Request, RouterReport, MOST_MACHINES,
};

use crate::fleet::commands::unknown;
use crate::fleet::Fleet;
use crate::router::Router;
use crate::stages::completion::{Counts, EffectQueue};

/// How often this router looks at what it sees.
pub const LOOK: Micros = Micros(100_000);
/// Its figures are those of the last so many looks.
const LOOKS: usize = 20;
/// Names in one list of a word.
const MOST_NAMED: usize = 64;
/// A machine that discovery no longer lists is counted as one that fails for so long, then as one that is no more.
const FORGETS: Micros = Micros(600_000_000);

/// The carrier, shared with the council that plays the log into it.
#[derive(Clone)]
pub struct Shared(Rc<RefCell<Coordinator>>);

impl Extension for Shared {
    fn apply(&mut self, index: Index, entry: &[u8]) -> Result<u64, String> {
        self.0.borrow_mut().apply(index, entry)
    }

    fn members_changed(&mut self, members: &BTreeMap<Member, MemberInfo>) {
        self.0.borrow_mut().members_changed(members);
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.borrow().snapshot()
    }

    fn restore(&mut self, image: &[u8]) {
        self.0.borrow_mut().restore(image);
    }

    fn machines_out(&self) -> Vec<u8> {
        self.0.borrow().machines_out()
    }

    fn in_flight_grace(&self) -> Micros {
        self.0.borrow().in_flight_grace()
    }

    fn departed_members(&self) -> Vec<Member> {
        self.0.borrow().departed_members()
    }

    fn check_command(&self, now: Micros, entry: &[u8]) -> Result<(), String> {
        self.0.borrow().check_command(now, entry)
    }

    fn next_entries(
        &mut self,
        now: Micros,
        me: &Member,
        term: u64,
        attended: &[MemberContact],
    ) -> (Vec<Vec<u8>>, Vec<String>) {
        self.0.borrow_mut().next_entries(now, me, term, attended)
    }

    fn inspect(&self, now: Micros, what: &str) -> Option<String> {
        self.0.borrow().inspect(now, what)
    }
}

/// What this router goes by and has seen of the works.
pub struct Works {
    pub carrier: Shared,
    goes_by: Cell<Index>,
    out: RefCell<BTreeSet<String>>,
    /// Machines on their way back, and since when this router may use them again.
    returning: RefCell<BTreeMap<String, Micros>>,
    /// Machines that discovery has listed, and when last; emptied by age.
    known: RefCell<BTreeMap<String, (Node, Micros)>>,
    /// Counts at the last looks, the oldest first.
    looks: RefCell<Vec<(Micros, u64, u64, u64)>>,
    next_look: Cell<Micros>,
    said: RefCell<RouterReport>,
}

/// The sets of shards that a machine of this cell holds.
fn sets(listing: &Endpoint, tariff: &PlatformConfig) -> Vec<u32> {
    let (cells, reach) = (
        tariff.shard_group_count.max(1),
        tariff.groups_per_shard.min(tariff.shard_group_count).max(1),
    );
    (0..reach)
        .map(|back| (listing.shard_group.0 % cells + cells - back) % cells)
        .collect()
}

/// Answered, and of those late, failed or refused; and part calls.
fn counted(of: &Counts) -> (u64, u64, u64) {
    (
        of.satisfied + of.nacked + of.aborted,
        of.late + of.nacked + of.aborted,
        of.calls,
    )
}

impl Works {
    pub fn new(terms: MaintenanceConfig) -> Works {
        Works {
            carrier: Shared(Rc::new(RefCell::new(Coordinator::new(terms)))),
            goes_by: Cell::default(),
            out: RefCell::default(),
            returning: RefCell::default(),
            known: RefCell::default(),
            looks: RefCell::default(),
            next_look: Cell::default(),
            said: RefCell::default(),
        }
    }

    /// Plants the fault that the environment names.
    #[cfg(feature = "planted")]
    pub fn plant(&self) {
        use ternpick_maintenance::InjectedBug;
        self.carrier.0.borrow_mut().planted = match std::env::var("TERNPICK_PLANTED")
            .unwrap_or_default()
            .as_str()
        {
            "no-waiting" => Some(InjectedBug::NoWaiting),
            "silent-is-quiet" => Some(InjectedBug::SilentIsQuiet),
            "any-word" => Some(InjectedBug::AnyWord),
            _ => None,
        };
    }

    pub fn is_out(&self, name: &str) -> bool {
        self.out.borrow().contains(name)
    }

    /// What is out from here on; the names whose standing changes come back.
    pub fn told(&self, now: Micros, index: Index, outs: &[u8]) -> Vec<String> {
        let (out, returning) = Coordinator::decode_machines_out(outs);
        let out: BTreeSet<String> = out.into_iter().collect();
        let before = self.out.replace(out);
        let changed = before
            .symmetric_difference(&self.out.borrow())
            .cloned()
            .collect();
        let mut known = self.returning.borrow_mut();
        known.retain(|name, _| returning.contains(name));
        for name in returning {
            known.entry(name).or_insert(now);
        }
        self.goes_by.set(index);
        self.next_look.set(now);
        changed
    }

    fn word(
        &self,
        brain: &RoutingEngine,
        office: &EffectQueue,
        listed: &BTreeMap<String, Endpoint>,
        now: Micros,
    ) -> RouterReport {
        let node = |name: &str| {
            office
                .nodes
                .number(name)
                .and_then(|id| brain.nodes.get(&id))
        };
        let out = self.out.borrow();
        let busy = |name: &&String| {
            node(name).is_some_and(|node| node.all_in_flight(now).next().is_some())
        };
        // By this router's own clock: what discovery claims is another's.
        let cold = |of: &Seen| {
            of.started.at.0 != 0 && now.since(of.started.at) < brain.config.slow_start_duration
        };
        let sound = |name: &str, seen: Option<&Seen>| {
            let of = listed
                .get(name)
                .filter(|of| of.state == EndpointState::Ready);
            of.is_some() && seen.is_none_or(|seen| seen.suspected_for.is_none() && !cold(seen))
        };
        let known = self.known.borrow();
        let mut unsound = known.keys().filter(|name| !sound(name, node(name)));
        let named: Vec<String> = unsound.by_ref().take(MOST_NAMED).cloned().collect();
        let more = unsound.count() as u32;
        let (mut bear, mut idle) = (Vec::new(), Vec::new());
        for (name, since) in self.returning.borrow().iter() {
            let seen = node(name);
            if !sound(name, seen) {
                continue;
            }
            if seen.is_some_and(|seen| seen.latency_updated_at > *since) {
                bear.push(name.clone());
            } else if seen.is_none_or(|seen| seen.all_in_flight(now).next().is_none()) {
                idle.push(name.clone());
            }
        }
        let mut looks = self.looks.borrow_mut();
        let (answered, late, calls) = counted(&office.counts);
        looks.push((now, answered, late, calls));
        let most = looks.len().saturating_sub(LOOKS);
        looks.drain(..most);
        let (began, first, first_late, first_calls) = looks[0];
        let seconds = (now.since(began).0 as f64 / 1e6).max(0.1);
        RouterReport {
            goes_by: self.goes_by.get(),
            busy: out.iter().filter(busy).cloned().collect(),
            unsound: named,
            more,
            bear,
            idle,
            calls: ((calls - first_calls) as f64 / seconds) as u32,
            answered: (answered - first) as u32,
            late: (late - first_late) as u32,
        }
    }

    /// The fleet of machines as discovery lists it, with those that it listed of late.
    fn world(
        &self,
        brain: &RoutingEngine,
        listed: &BTreeMap<String, Endpoint>,
        now: Micros,
    ) -> ClusterView {
        let mut known = self.known.borrow_mut();
        for (name, listing) in listed {
            let sets = sets(listing, &brain.config);
            let node = Node {
                name: name.clone(),
                zone: listing.zone.0,
                shard_sets: sets,
                healthy: true,
                out_of_service: false,
            };
            known.insert(name.clone(), (node, now));
        }
        known.retain(|name, (_, last)| now.since(*last) < FORGETS || self.is_out(name));
        ClusterView {
            nodes: known.values().map(|(node, _)| node.clone()).collect(),
            load: 0.0,
        }
    }
}

impl Fleet {
    /// Looks at what this router sees of the works, and says so if it is news.
    pub fn look_at_works(&self, router: &Router) -> Option<Micros> {
        let works = self.works.as_ref()?;
        let now = router.clock.now();
        if now < works.next_look.get() {
            return Some(works.next_look.get());
        }
        works.next_look.set(now + LOOK);
        let (desk, listed) = (router.decisions.borrow(), self.listed.borrow());
        let world = works.world(&desk.engine, &listed, now);
        let since = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        works
            .carrier
            .0
            .borrow_mut()
            .observe_cluster(world, u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
        let word = works.word(&desk.engine, &desk.effects, &listed, now);
        let before = works.said.replace(word.clone());
        let state = |of: &RouterReport| {
            (
                of.goes_by,
                of.busy.clone(),
                of.unsound.clone(),
                of.bear.clone(),
            )
        };
        self.node.borrow_mut().lease_holder.goes_by(
            word.goes_by,
            word.encode(),
            state(&before) != state(&word),
        );
        Some(works.next_look.get())
    }

    /// What is out has changed: the module hears of it as it hears the roster's word.
    pub fn goes_by(&self, router: &Router, index: Index, outs: &[u8]) {
        let Some(works) = &self.works else { return };
        let changed = works.told(router.clock.now(), index, outs);
        self.drains(router, &changed);
        for name in &changed {
            tracing::info!(
                "works: {name} is {}",
                if works.is_out(name) {
                    "out"
                } else {
                    "in again"
                }
            );
        }
        self.look_at_works(router);
    }

    /// Machines by name, by group and by zone, as discovery lists them.
    fn machines(&self, router: &Router, of: &Value) -> Result<Vec<String>, String> {
        let listed = self.listed.borrow();
        let strings = |key: &str| -> Vec<String> {
            let all = of[key].as_array().into_iter().flatten();
            all.filter_map(|name| Some(name.as_str()?.to_owned()))
                .collect()
        };
        let mut names: BTreeSet<String> = strings("machines").into_iter().collect();
        for group in of["groups"].as_array().into_iter().flatten() {
            let own = listed
                .iter()
                .filter(|(_, of)| Some(u64::from(of.shard_group.0)) == group.as_u64());
            let before = names.len();
            names.extend(own.map(|(name, _)| name.clone()));
            if names.len() == before {
                return Err(format!("discovery lists nobody in group {group}"));
            }
        }
        for zone in strings("zones") {
            let number = router
                .bounds
                .zone_names
                .iter()
                .position(|known| *known == zone);
            let own = listed
                .iter()
                .filter(|(_, of)| number == Some(usize::from(of.zone.0)));
            let before = names.len();
            names.extend(own.map(|(name, _)| name.clone()));
            if names.len() == before {
                return Err(format!("discovery lists nobody in zone {zone}"));
            }
        }
        if let Some(up_for) = of["up_for"].as_u64() {
            // Of those named, or of all; one whose start is not known started long ago.
            if names.is_empty() {
                names.extend(listed.keys().cloned());
            }
            let now = router.clock.now();
            names.retain(|name| {
                listed
                    .get(name)
                    .is_none_or(|of| now.since(of.started_at).0 >= up_for)
            });
        }
        if names.is_empty() || names.len() > MOST_MACHINES {
            return Err(format!(
                "{} machines are asked for, it has to be 1 to {MOST_MACHINES}",
                names.len()
            ));
        }
        Ok(names.into_iter().collect())
    }

    fn request(&self, router: &Router, of: &Value) -> Result<Request, String> {
        let mut request: Request =
            serde_json::from_value(of["request"].clone()).map_err(|e| e.to_string())?;
        request.machines = self.machines(router, of)?;
        Ok(request)
    }
}

/// Answers the control socket: what an operator asks of the works.
pub async fn answer(
    router: &Router,
    fleet: &Fleet,
    asked: &Value,
    op: OperationId,
    wait: Micros,
) -> Value {
    let refused = |words: String| json!({"done": true, "ok": false, "line": words});
    if fleet.works.is_none() {
        return refused("there is no 'fleet.works' in this router's settings".into());
    }
    if let Some(what) = asked["what"].as_str() {
        let question = match what {
            "works-plan" => match fleet.request(router, asked) {
                Ok(request) => {
                    format!(
                        "works-plan {}",
                        serde_json::to_string(&request).unwrap_or_default()
                    )
                }
                Err(words) => return refused(words),
            },
            _ => "works".to_owned(),
        };
        return match fleet
            .ask(router, op, OperatorRequest::Inspect(question), wait)
            .await
        {
            Some(OperatorResponse::Inspection(json)) => {
                json!({"done": true, "ok": true, "look": serde_json::from_str::<Value>(&json).ok()})
            }
            _ => unknown("nobody that leads is reached"),
        };
    }
    let entry = match asked["request"].is_object() {
        true => fleet
            .request(router, asked)
            .map(|request| Entry::Ask { request }),
        false => serde_json::from_value::<Entry>(asked["entry"].clone()).map_err(|e| e.to_string()),
    };
    let entry = match entry.and_then(|entry| postcard::to_stdvec(&entry).map_err(|e| e.to_string()))
    {
        Ok(entry) => entry,
        Err(words) => return refused(words),
    };
    match fleet.ask(router, op, OperatorRequest::Command(Command::Extension { entry }), wait).await {
        Some(OperatorResponse::Outcome(Outcome::Numbered(number))) => json!({"done": true, "ok": true, "number": number}),
        Some(OperatorResponse::Outcome(Outcome::Refused(words))) => refused(words),
        _ => unknown(
            "no outcome was heard: it may be done yet, or have been done. Said again with the same --op it is done once",
        ),
    }
}
