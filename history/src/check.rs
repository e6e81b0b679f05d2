//! The checker of histories. It reads the lines once and keeps the state of lookups and proposals that are still open.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::io::BufRead;

use serde::{Deserialize, Serialize};

use crate::event::{Event, EventKind, ProposalOutcome, VisiblePolicy};

/// A rule that a history must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Lines are in order of time, and events don't contradict each other.
    #[serde(rename = "sense")]
    WellFormed,
    /// A lookup that was sent after an answer under a version was received is not decided under an earlier version: the
    /// policy is a register whose versions only increase.
    NoEarlierVersion,
    /// A version that is observed was proposed before.
    OnlyProposed,
    /// A policy that was reported to the operator as in force applies to each lookup sent afterwards.
    InForceMeansAll,
    /// A refused or withdrawn policy is never observed.
    #[serde(rename = "nowhere-means-never")]
    RejectedNeverSeen,
    /// Each lookup has one final answer. It may have none only if its router was ended or paused, or if no router
    /// accepted it.
    OneAnswer,
    /// A router never reports an earlier version than it reported before.
    #[serde(rename = "never-back")]
    ReportsNeverDecrease,
    /// A part is called at most as often as the policy of its lookup allows.
    #[serde(rename = "calls")]
    CallLimit,
    /// A drained node starts no part of a lookup that was sent while the drain was in force.
    #[serde(rename = "drains")]
    DrainedNodesIdle,
    /// A permit's number is used once, and a machine has one permit at a time.
    OnePermit,
    /// No part is started on a machine under a permit.
    #[serde(rename = "quiet")]
    NoWorkUnderPermit,
    /// Permits leave each set of shards the required number of holders.
    #[serde(rename = "holders")]
    EnoughHolders,
    /// An answer reaches its completeness threshold, and is marked complete only if it has all parts.
    #[serde(rename = "honest")]
    TruthfulCompleteness,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let word = serde_json::to_value(self).ok();
        f.write_str(
            word.as_ref()
                .and_then(|word| word.as_str())
                .unwrap_or("rule"),
        )
    }
}

/// Limits of the checker's memory, and times by which effects must be visible.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The maximum number of lookups that are open at a time, or whose parts may still start.
    pub lookups: usize,
    /// The maximum number of versions, of proposals, and of permits in a history.
    pub versions: usize,
    /// How long after its answer parts of a lookup may still start, in microseconds.
    pub settle_us: u64,
    /// How long after a drain is known to be in force it is enforced, in microseconds.
    pub drain_delay_us: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            lookups: 200_000,
            versions: 100_000,
            settle_us: 10_000_000,
            drain_delay_us: 500_000,
        }
    }
}

/// Counts of the events in a history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub events: u64,
    pub lookups: u64,
    pub answered: u64,
    /// Answers with a version. Each is a read of the register.
    pub decided: u64,
    pub unguarded: u64,
    /// Lookups that no router accepted.
    pub refused: u64,
    /// Lookups that a router accepted and that were lost when it ended or was paused.
    pub lost: u64,
    pub proposals: u64,
    pub in_force: u64,
    pub nowhere: u64,
    pub open: u64,
    pub parts: u64,
    #[serde(default)]
    pub permits: u64,
    pub ended: u64,
    pub faults: BTreeMap<String, u64>,
    /// Answers by status.
    pub statuses: BTreeMap<u16, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRule {
    pub rule: Rule,
    /// The number of the line, from 1.
    pub line: u64,
    #[serde(rename = "words")]
    pub message: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    Accepted(Counts),
    Rejected(BrokenRule),
    /// The history exceeds the bounds, or could not be read to its end.
    #[serde(rename = "unreached")]
    Inconclusive(String),
}

struct OpenLookup {
    router: String,
    index: String,
    asked: u64,
    /// The highest version that was known to be in force before the lookup was sent.
    floor: u64,
    /// How often its router had been ended or paused when the lookup was sent.
    interruptions: u64,
    version: Option<u64>,
    /// The number of calls, by shard.
    calls: HashMap<u64, u64>,
    drained: bool,
    done: bool,
}

#[derive(Default)]
struct State {
    bounds: Bounds,
    line: u64,
    now: u64,
    counts: Counts,
    open: HashMap<String, OpenLookup>,
    /// Closed lookups with the time of closing, in order of time. Their parts may still start until `settle_us` has passed.
    closing: VecDeque<(u64, String)>,
    /// The highest version that is known to be in force, from an answer or an operator's command.
    known_version: u64,
    /// Proposals without an outcome, by the operator's name for them.
    pending_proposals: BTreeMap<String, VisiblePolicy>,
    /// The visible part of each policy whose version number is known.
    policies: BTreeMap<u64, VisiblePolicy>,
    /// Proposals with an unknown outcome and an unknown number.
    unnumbered: Vec<VisiblePolicy>,
    platform: VisiblePolicy,
    /// The numbers of refused and withdrawn proposals.
    rejected: BTreeSet<u64>,
    /// How often each version was observed.
    observed: BTreeMap<u64, u64>,
    /// The last version that each router reported.
    reported: BTreeMap<String, u64>,
    /// How often each router was ended or paused.
    interruptions: BTreeMap<String, u64>,
    /// Routers that are ended or paused at the moment.
    unavailable: BTreeSet<String>,
    /// Drains that are known to be in force, by node, with the time since when.
    drains: BTreeMap<String, u64>,
    holders: Vec<Vec<String>>,
    keeps: usize,
    /// The current permits by machine. `permits_seen` has the numbers of all permits of the history.
    permits: BTreeMap<String, u64>,
    permits_seen: BTreeSet<u64>,
}

type Checked = Result<(), Stop>;

/// Why the checker stopped before the end of the history.
enum Stop {
    Broken(Rule, String),
    Inconclusive(String),
}

fn broken(rule: Rule, message: impl Into<String>) -> Checked {
    Err(Stop::Broken(rule, message.into()))
}

impl State {
    fn apply(&mut self, event: Event) -> Checked {
        if event.at < self.now {
            return broken(
                Rule::WellFormed,
                format!(
                    "the event is {} us earlier than the line before",
                    self.now - event.at
                ),
            );
        }
        self.now = event.at;
        self.counts.events += 1;
        while self
            .closing
            .front()
            .is_some_and(|(at, _)| at + self.bounds.settle_us < self.now)
        {
            if let Some((_, lookup)) = self.closing.pop_front() {
                self.close(&lookup)?;
            }
        }
        match event.kind {
            EventKind::Begins {
                seen: policy,
                holders,
                keeps,
            } => {
                (self.platform, self.holders, self.keeps) = (policy, holders, keeps);
                Ok(())
            }
            EventKind::Permitted {
                machine,
                permit,
                by,
            } => self.permitted(machine, permit, &by),
            EventKind::Returned { machine, permit } => match self.permits.remove(&machine) {
                Some(known) if known == permit => Ok(()),
                _ => broken(
                    Rule::WellFormed,
                    format!("permit {permit} for {machine} is returned, but the machine does not have it"),
                ),
            },
            EventKind::Asked {
                lookup,
                router,
                index,
            } => self.asked(lookup, router, index),
            EventKind::Answered { .. } => self.answered(event.kind),
            EventKind::Unanswered { lookup, refused } => self.unanswered(&lookup, refused),
            EventKind::Proposed { op, seen: policy } => {
                self.counts.proposals += 1;
                if self.counts.proposals as usize > self.bounds.versions {
                    return Err(Stop::Inconclusive(
                        format!(
                        "the history has more than {} proposals",
                        self.bounds.versions
                    ),
                    ));
                }
                self.stop_drains(&policy);
                match self.pending_proposals.insert(op.clone(), policy) {
                    Some(_) => broken(Rule::WellFormed, format!("proposal {op} begins twice")),
                    None => Ok(()),
                }
            }
            EventKind::Settled { op, outcome } => self.settled(&op, outcome),
            EventKind::PartStarted {
                node,
                lookup,
                shard,
            } => self.part(&node, &lookup, shard),
            EventKind::VersionReported {
                router, version, ..
            } => self.version_reported(router, version),
            EventKind::Fault { kind, .. } => {
                *self.counts.faults.entry(kind).or_default() += 1;
                Ok(())
            }
            EventKind::Ended { router } => {
                self.counts.ended += 1;
                self.unavailable.insert(router.clone());
                *self.interruptions.entry(router).or_default() += 1;
                Ok(())
            }
            // A paused router sends no answers; its clients may disconnect before it is resumed.
            EventKind::Paused { router } => {
                self.unavailable.insert(router.clone());
                *self.interruptions.entry(router).or_default() += 1;
                Ok(())
            }
            EventKind::Resumed { router } => {
                self.unavailable.remove(&router);
                Ok(())
            }
            EventKind::Started { router } => {
                self.unavailable.remove(&router);
                Ok(())
            }
        }
    }

    fn permitted(&mut self, machine: String, permit: u64, by: &str) -> Checked {
        self.counts.permits += 1;
        if self.permits_seen.len() >= self.bounds.versions {
            return Err(Stop::Inconclusive(format!(
                "the history has more than {} permits",
                self.bounds.versions
            )));
        }
        if !self.permits_seen.insert(permit) {
            return broken(
                Rule::OnePermit,
                format!("{by} got permit {permit}, whose number was used before"),
            );
        }
        if let Some(other) = self.permits.insert(machine.clone(), permit) {
            return broken(
                Rule::OnePermit,
                format!("{machine} got permit {permit} while it has permit {other}"),
            );
        }
        for holders in self
            .holders
            .iter()
            .filter(|holders| holders.contains(&machine))
        {
            let left = holders
                .iter()
                .filter(|holder| !self.permits.contains_key(*holder))
                .count();
            if left < self.keeps {
                let message = format!(
                    "permit {permit} for {machine} leaves {left} holders of its set, the minimum is {}",
                    self.keeps
                );
                return broken(Rule::EnoughHolders, message);
            }
        }
        Ok(())
    }

    fn asked(&mut self, lookup: String, router: String, index: String) -> Checked {
        self.counts.lookups += 1;
        if self.open.len() >= self.bounds.lookups {
            return Err(Stop::Inconclusive(format!(
                "more than {} lookups are open at a time",
                self.bounds.lookups
            )));
        }
        let interruptions = self.interruptions.get(&router).copied().unwrap_or(0);
        let (asked, floor) = (self.now, self.known_version);
        let open = OpenLookup {
            router,
            index,
            asked,
            floor,
            interruptions,
            version: None,
            calls: HashMap::new(),
            drained: false,
            done: false,
        };
        match self.open.insert(lookup.clone(), open) {
            Some(_) => broken(Rule::WellFormed, format!("lookup {lookup} was sent twice")),
            None => Ok(()),
        }
    }

    fn answered(&mut self, answer: EventKind) -> Checked {
        let EventKind::Answered {
            lookup,
            status,
            version,
            unguarded,
            parts,
            of,
            whole,
            least,
        } = answer
        else {
            return Ok(());
        };
        self.counts.answered += 1;
        *self.counts.statuses.entry(status).or_default() += 1;
        let now = self.now;
        let Some(open) = self.open.get_mut(&lookup) else {
            return broken(
                Rule::OneAnswer,
                format!("lookup {lookup} has an answer, but is not open"),
            );
        };
        if std::mem::replace(&mut open.done, true) {
            return broken(
                Rule::OneAnswer,
                format!("lookup {lookup} has a second answer"),
            );
        }
        self.closing.push_back((now, lookup.clone()));
        if status == 200 {
            if whole && parts < of {
                return broken(
                    Rule::TruthfulCompleteness,
                    format!("the answer of lookup {lookup} is marked complete with {parts} of {of} parts"),
                );
            }
            if of > 0 && (parts as f64 / of as f64) + 1e-9 < least {
                let message = format!(
                    "the answer of lookup {lookup} has {parts} of {of} parts, its completeness threshold is {least}"
                );
                return broken(Rule::TruthfulCompleteness, message);
            }
        }
        let Some(version) = version else {
            return Ok(());
        };
        if unguarded {
            self.counts.unguarded += 1;
            return Ok(());
        }
        open.version = Some(version);
        let (floor, asked, router) = (open.floor, open.asked, open.router.clone());
        self.counts.decided += 1;
        self.observe_version(version, &format!("lookup {lookup}"))?;
        if version < floor {
            let message =
                format!("lookup {lookup}, sent to {router} at {asked} us, was decided under version {version}, but {floor} was in force");
            return broken(Rule::NoEarlierVersion, message);
        }
        self.set_known_version(version);
        Ok(())
    }

    /// Records that a version was observed, and checks that it was proposed and was neither refused nor withdrawn.
    fn observe_version(&mut self, version: u64, by: &str) -> Checked {
        if version > self.counts.proposals {
            let message = format!(
                "{by} shows version {version}, but only {} were proposed before",
                self.counts.proposals
            );
            return broken(Rule::OnlyProposed, message);
        }
        if self.rejected.contains(&version) {
            return broken(
                Rule::RejectedNeverSeen,
                format!("{by} shows version {version}, which was refused or withdrawn"),
            );
        }
        if self.observed.len() >= self.bounds.versions {
            return Err(Stop::Inconclusive(format!(
                "the history has more than {} versions",
                self.bounds.versions
            )));
        }
        *self.observed.entry(version).or_default() += 1;
        Ok(())
    }

    /// Lookups sent from now on must be decided under this version or a later one.
    fn set_known_version(&mut self, version: u64) {
        if version <= self.known_version {
            return;
        }
        self.known_version = version;
        self.start_drains();
    }

    /// Enforces the drains of the version that is known to be in force, except those that a proposal with an unknown
    /// outcome may have lifted already.
    fn start_drains(&mut self) {
        let Some(policy) = self.policies.get(&self.known_version) else {
            return self.drains.clear();
        };
        let lifted = |node: &String| {
            let undecided = self.pending_proposals.values().chain(&self.unnumbered);
            undecided
                .clone()
                .any(|policy| !policy.drained.contains(node))
        };
        let drained: Vec<String> = policy
            .drained
            .iter()
            .filter(|node| !lifted(node))
            .cloned()
            .collect();
        let now = self.now;
        let mut drains = BTreeMap::new();
        for node in drained {
            let since = self.drains.get(&node).copied().unwrap_or(now);
            drains.insert(node, since);
        }
        self.drains = drains;
    }

    /// Stops to enforce the drains that a new proposal lifts, as it may be in force from now on.
    fn stop_drains(&mut self, policy: &VisiblePolicy) {
        self.drains.retain(|node, _| policy.drained.contains(node));
    }

    fn settled(&mut self, op: &str, outcome: ProposalOutcome) -> Checked {
        let Some(policy) = self.pending_proposals.remove(op) else {
            return broken(
                Rule::WellFormed,
                format!("proposal {op} has an outcome, but did not begin"),
            );
        };
        let reject = |state: &mut State, number: u64| {
            state.counts.nowhere += 1;
            if state.observed.contains_key(&number) {
                return broken(
                    Rule::RejectedNeverSeen,
                    format!("proposal {number} was refused or withdrawn, but its version was observed before"),
                );
            }
            state.rejected.insert(number);
            Ok(())
        };
        match outcome {
            ProposalOutcome::InForce(number) => {
                self.counts.in_force += 1;
                if self.rejected.contains(&number) {
                    return broken(
                        Rule::RejectedNeverSeen,
                        format!("version {number} is reported in force, but was refused or withdrawn before"),
                    );
                }
                self.policies.insert(number, policy);
                // The version was in force at some time before this event; a later one may have replaced it since.
                if number > self.known_version {
                    self.set_known_version(number);
                } else if number == self.known_version {
                    self.start_drains();
                }
                Ok(())
            }
            ProposalOutcome::Refused(Some(number)) | ProposalOutcome::Withdrawn(number) => {
                reject(self, number)
            }
            ProposalOutcome::Refused(None) => {
                self.counts.nowhere += 1;
                Ok(())
            }
            ProposalOutcome::Unknown(number) => {
                self.counts.open += 1;
                match number {
                    Some(number) => {
                        self.policies.insert(number, policy);
                    }
                    None => self.unnumbered.push(policy),
                }
                Ok(())
            }
        }
    }

    fn unanswered(&mut self, lookup: &str, refused: bool) -> Checked {
        let Some(open) = self.open.get(lookup) else {
            return broken(
                Rule::OneAnswer,
                format!("lookup {lookup} has no answer, but was never sent"),
            );
        };
        let interruptions = self.interruptions.get(&open.router).copied().unwrap_or(0);
        if refused {
            self.counts.refused += 1;
        } else if interruptions > open.interruptions || self.unavailable.contains(&open.router) {
            self.counts.lost += 1;
        } else {
            let message = format!(
                "lookup {lookup} has no answer, but {} was neither ended nor paused meanwhile",
                open.router
            );
            return broken(Rule::OneAnswer, message);
        }
        if self
            .open
            .get_mut(lookup)
            .is_some_and(|open| std::mem::replace(&mut open.done, true))
        {
            return broken(
                Rule::OneAnswer,
                format!(
                    "the client of lookup {lookup} reports no answer after the lookup was closed"
                ),
            );
        }
        self.closing.push_back((self.now, lookup.to_owned()));
        Ok(())
    }

    fn part(&mut self, node: &str, lookup: &str, shard: u64) -> Checked {
        self.counts.parts += 1;
        if let Some(permit) = self.permits.get(node) {
            return broken(
                Rule::NoWorkUnderPermit,
                format!("{node} starts a part of lookup {lookup} under permit {permit}"),
            );
        }
        let drained = self.drains.get(node).copied();
        let (delay, now) = (self.bounds.drain_delay_us, self.now);
        // A part that starts after its lookup was dropped is not checked.
        let Some(open) = self.open.get_mut(lookup) else {
            return Ok(());
        };
        *open.calls.entry(shard).or_default() += 1;
        let enforced_since =
            drained.filter(|since| open.asked > since + delay && now > since + delay);
        if let Some(since) = enforced_since {
            open.drained = true;
            let message = format!(
                "node {node} starts a part of lookup {lookup}, which was sent {} ms after the node's drain was in force",
                (open.asked - since) / 1000
            );
            return broken(Rule::DrainedNodesIdle, message);
        }
        Ok(())
    }

    /// Drops a lookup, no part of which may start any more, and checks that its parts were called no more often than its
    /// policy allows.
    fn close(&mut self, lookup: &str) -> Checked {
        let Some(open) = self.open.remove(lookup) else {
            return Ok(());
        };
        let max_calls_in = |policy: &VisiblePolicy| policy.calls.get(&open.index).copied();
        let platform = max_calls_in(&self.platform);
        let max_calls = match open.version.and_then(|version| self.policies.get(&version)) {
            Some(policy) => max_calls_in(policy).or(platform),
            // For version 0, or a version whose policy is unknown, only the platform's limit is certain.
            None => platform,
        };
        let Some(max_calls) = max_calls else {
            return Ok(());
        };
        match open.calls.iter().find(|(_, calls)| **calls > max_calls) {
            Some((shard, calls)) => {
                let version = open
                    .version
                    .map_or("none".to_owned(), |version| version.to_string());
                let message = format!(
                    "part {shard} of lookup {lookup} was called {calls} times, but version {version} allows {max_calls}"
                );
                broken(Rule::CallLimit, message)
            }
            None => Ok(()),
        }
    }

    fn version_reported(&mut self, router: String, version: Option<u64>) -> Checked {
        let Some(version) = version else {
            return Ok(());
        };
        self.observe_version(version, &router)?;
        let known = self.reported.entry(router.clone()).or_insert(version);
        if *known > version {
            return broken(
                Rule::ReportsNeverDecrease,
                format!("{router} reports version {version}, but reported {known} before"),
            );
        }
        *known = version;
        Ok(())
    }

    fn finish(&mut self) -> Checked {
        let closing: Vec<String> = self.closing.drain(..).map(|(_, lookup)| lookup).collect();
        for lookup in closing {
            self.close(&lookup)?;
        }
        if let Some(lookup) = self.open.keys().min() {
            return broken(
                Rule::OneAnswer,
                format!("lookup {lookup} has neither an answer nor an event that it is unanswered"),
            );
        }
        self.counts.open += self.pending_proposals.len() as u64;
        Ok(())
    }
}

/// Reads a history and checks it against the rules. It stops at the first violation.
pub fn check(lines: impl BufRead, bounds: Bounds) -> Verdict {
    let mut state = State {
        bounds,
        ..State::default()
    };
    let verdict = |line: u64, stop: Stop| match stop {
        Stop::Broken(rule, message) => Verdict::Rejected(BrokenRule {
            rule,
            line,
            message,
        }),
        Stop::Inconclusive(message) => Verdict::Inconclusive(format!("line {line}: {message}")),
    };
    for line in lines.lines() {
        state.line += 1;
        let read = line.map_err(|error| error.to_string());
        let event =
            read.and_then(|line| serde_json::from_str(&line).map_err(|error| error.to_string()));
        let event: Event = match event {
            Ok(event) => event,
            Err(message) => {
                return Verdict::Inconclusive(format!("line {}: {message}", state.line))
            }
        };
        if let Err(stop) = state.apply(event) {
            return verdict(state.line, stop);
        }
    }
    match state.finish() {
        Ok(()) => Verdict::Accepted(state.counts),
        Err(stop) => verdict(state.line, stop),
    }
}
