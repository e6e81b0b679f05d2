//! The checker. It goes through the lines once and keeps what is still open.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::io::BufRead;

use serde::{Deserialize, Serialize};

use crate::event::{Event, EventKind, ProposalOutcome, VisiblePolicy};

/// What a history must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Lines stand in order, and say things that go together.
    #[serde(rename = "sense")]
    WellFormed,
    /// No lookup that was asked after another had been answered under a version is decided under an earlier one: the
    /// policy is a register whose versions only grow.
    NoEarlierVersion,
    /// A version that is seen was proposed before.
    OnlyProposed,
    /// What an operator was told to be in force is so for whoever asks afterwards.
    InForceMeansAll,
    /// What was refused or withdrawn is never seen.
    #[serde(rename = "nowhere-means-never")]
    RejectedNeverSeen,
    /// Each lookup has one final answer; none only where its router was ended, or nobody had taken it.
    OneAnswer,
    /// A router that is asked never names an earlier version than it did.
    #[serde(rename = "never-back")]
    ReportsNeverDecrease,
    /// A part is called at most as often as the policy of its lookup says.
    #[serde(rename = "calls")]
    CallLimit,
    /// A drained node begins nothing of lookups that were asked under the drain.
    #[serde(rename = "drains")]
    DrainedNodesIdle,
    /// A permit exists once, and a machine has one at a time.
    OnePermit,
    /// No part is begun at a machine under a permit.
    #[serde(rename = "quiet")]
    NoWorkUnderPermit,
    /// Permits leave each set of shards the holders that are stated.
    #[serde(rename = "holders")]
    EnoughHolders,
    /// An answer rests on its least share, and is called whole only if it is.
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

/// How much is kept, and how long work goes on where it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Lookups that are open at a time, or whose parts may still come.
    pub lookups: usize,
    /// Versions and proposals in all.
    pub versions: usize,
    /// Parts of a lookup may still begin for so long after its answer, in microseconds.
    pub settles: u64,
    /// From when on a drain that is known to be in force counts, in microseconds.
    pub drains_within: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            lookups: 200_000,
            versions: 100_000,
            settles: 10_000_000,
            drains_within: 500_000,
        }
    }
}

/// What was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub events: u64,
    pub lookups: u64,
    pub answered: u64,
    /// With a version: a read of the register.
    pub decided: u64,
    pub unguarded: u64,
    /// Nobody had taken them.
    pub refused: u64,
    /// Taken, and lost with their router.
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
    /// The line, from 1.
    pub line: u64,
    #[serde(rename = "words")]
    pub message: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    Accepted(Counts),
    Rejected(BrokenRule),
    /// The bounds were too small, or the history could not be read to its end: neither good nor bad.
    #[serde(rename = "unreached")]
    Inconclusive(String),
}

struct OpenLookup {
    router: String,
    index: String,
    asked: u64,
    /// The highest version that was surely in force before it was asked.
    floor: u64,
    /// How often its router had been ended or stopped when it was asked.
    ends: u64,
    version: Option<u64>,
    /// Calls by shard, and drained nodes that began something of it.
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
    /// Answered, in order: their parts may still come for a while.
    closing: VecDeque<(u64, String)>,
    /// The highest version that is surely in force, seen or told.
    surely: u64,
    /// Proposals begun, by the operator's own name for them; those that were settled as open may still be numbered.
    begun: BTreeMap<String, VisiblePolicy>,
    /// What nodes can see, by version, where its number is known.
    seen: BTreeMap<u64, VisiblePolicy>,
    /// Proposals whose number nobody knows.
    unnumbered: Vec<VisiblePolicy>,
    platform: VisiblePolicy,
    nowhere: BTreeSet<u64>,
    shown: BTreeMap<u64, u64>,
    says: BTreeMap<String, u64>,
    ends: BTreeMap<String, u64>,
    /// Routers that are ended or stand still just now.
    standing: BTreeSet<String>,
    /// Drains that are surely in force, since when, and by which version.
    drains: BTreeMap<String, u64>,
    holders: Vec<Vec<String>>,
    keeps: usize,
    /// Machines under a permit, and the numbers of all permits there were.
    permits: BTreeMap<String, u64>,
    permits_seen: BTreeSet<u64>,
}

type Checked = Result<(), Stop>;

enum Stop {
    Broken(Rule, String),
    Inconclusive(String),
}

fn broken(rule: Rule, words: impl Into<String>) -> Checked {
    Err(Stop::Broken(rule, words.into()))
}

impl State {
    fn take(&mut self, event: Event) -> Checked {
        if event.at < self.now {
            return broken(
                Rule::WellFormed,
                format!(
                    "it is earlier than the line before, by {} us",
                    self.now - event.at
                ),
            );
        }
        self.now = event.at;
        self.counts.events += 1;
        while self
            .closing
            .front()
            .is_some_and(|(at, _)| at + self.bounds.settles < self.now)
        {
            if let Some((_, lookup)) = self.closing.pop_front() {
                self.close(&lookup)?;
            }
        }
        match event.kind {
            EventKind::Begins {
                seen,
                holders,
                keeps,
            } => {
                (self.platform, self.holders, self.keeps) = (seen, holders, keeps);
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
                    format!("permit {permit} for {machine} is given back and was not had"),
                ),
            },
            EventKind::Asked {
                lookup,
                router,
                index,
            } => self.asked(lookup, router, index),
            EventKind::Answered { .. } => self.answered(event.kind),
            EventKind::Unanswered { lookup, refused } => self.unanswered(&lookup, refused),
            EventKind::Proposed { op, seen } => {
                self.counts.proposals += 1;
                if self.counts.proposals as usize > self.bounds.versions {
                    return Err(Stop::Inconclusive(
                        "there are more proposals than are kept".into(),
                    ));
                }
                self.stop_drains(&seen);
                match self.begun.insert(op.clone(), seen) {
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
            } => self.says(router, version),
            EventKind::Fault { kind, .. } => {
                *self.counts.faults.entry(kind).or_default() += 1;
                Ok(())
            }
            EventKind::Ended { router } => {
                self.counts.ended += 1;
                self.standing.insert(router.clone());
                *self.ends.entry(router).or_default() += 1;
                Ok(())
            }
            // One that stands still answers nobody until its clients have left.
            EventKind::Paused { router } => {
                self.standing.insert(router.clone());
                *self.ends.entry(router).or_default() += 1;
                Ok(())
            }
            EventKind::Resumed { router } => {
                self.standing.remove(&router);
                Ok(())
            }
            EventKind::Started { router } => {
                self.standing.remove(&router);
                Ok(())
            }
        }
    }

    fn permitted(&mut self, machine: String, permit: u64, by: &str) -> Checked {
        self.counts.permits += 1;
        if self.permits_seen.len() >= self.bounds.versions {
            return Err(Stop::Inconclusive(
                "there are more permits than are kept".into(),
            ));
        }
        if !self.permits_seen.insert(permit) {
            return broken(
                Rule::OnePermit,
                format!("{by} has permit {permit}, which there was before"),
            );
        }
        if let Some(other) = self.permits.insert(machine.clone(), permit) {
            return broken(
                Rule::OnePermit,
                format!("{machine} has permit {permit} beside {other}"),
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
                let words = format!(
                    "permit {permit} for {machine} leaves {left} of its set, {} are kept",
                    self.keeps
                );
                return broken(Rule::EnoughHolders, words);
            }
        }
        Ok(())
    }

    fn asked(&mut self, lookup: String, router: String, index: String) -> Checked {
        self.counts.lookups += 1;
        if self.open.len() >= self.bounds.lookups {
            return Err(Stop::Inconclusive(
                "more lookups are open at a time than are kept".into(),
            ));
        }
        let ends = self.ends.get(&router).copied().unwrap_or(0);
        let (asked, floor) = (self.now, self.surely);
        let open = OpenLookup {
            router,
            index,
            asked,
            floor,
            ends,
            version: None,
            calls: HashMap::new(),
            drained: false,
            done: false,
        };
        match self.open.insert(lookup.clone(), open) {
            Some(_) => broken(Rule::WellFormed, format!("lookup {lookup} is asked twice")),
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
                format!("lookup {lookup} has an answer and is not open"),
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
                    format!("lookup {lookup} is called whole with {parts} of {of} parts"),
                );
            }
            if of > 0 && (parts as f64 / of as f64) + 1e-9 < least {
                let words = format!(
                    "lookup {lookup} is answered with {parts} of {of} parts, its least share is {least}"
                );
                return broken(Rule::TruthfulCompleteness, words);
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
        self.show(version, &format!("lookup {lookup}"))?;
        if version < floor {
            let words =
                format!("lookup {lookup}, asked at {asked} us of {router}, was decided under {version}, {floor} was in force");
            return broken(Rule::NoEarlierVersion, words);
        }
        self.surely_in_force(version);
        Ok(())
    }

    /// A version was seen: it has been proposed, and is not one that is nowhere.
    fn show(&mut self, version: u64, by: &str) -> Checked {
        if version > self.counts.proposals {
            let words = format!(
                "{by} shows version {version}, {} were proposed by then",
                self.counts.proposals
            );
            return broken(Rule::OnlyProposed, words);
        }
        if self.nowhere.contains(&version) {
            return broken(
                Rule::RejectedNeverSeen,
                format!("{by} shows version {version}, which is nowhere"),
            );
        }
        if self.shown.len() >= self.bounds.versions {
            return Err(Stop::Inconclusive(
                "there are more versions than are kept".into(),
            ));
        }
        *self.shown.entry(version).or_default() += 1;
        Ok(())
    }

    /// From now on whoever asks goes by this version or a later one.
    fn surely_in_force(&mut self, version: u64) {
        if version <= self.surely {
            return;
        }
        self.surely = version;
        self.start_drains();
    }

    /// Drains of the version that is surely in force count, unless a proposal that nobody has settled may have lifted
    /// them already.
    fn start_drains(&mut self) {
        let Some(seen) = self.seen.get(&self.surely) else {
            return self.drains.clear();
        };
        let lifted = |node: &String| {
            let maybe = self.begun.values().chain(&self.unnumbered);
            maybe.clone().any(|of| !of.drained.contains(node))
        };
        let drained: Vec<String> = seen
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

    /// A proposal under which a node is not drained may be in force from now on.
    fn stop_drains(&mut self, seen: &VisiblePolicy) {
        self.drains.retain(|node, _| seen.drained.contains(node));
    }

    fn settled(&mut self, op: &str, outcome: ProposalOutcome) -> Checked {
        let Some(seen) = self.begun.remove(op) else {
            return broken(
                Rule::WellFormed,
                format!("proposal {op} is settled and was never begun"),
            );
        };
        let nowhere = |state: &mut State, number: u64| {
            state.counts.nowhere += 1;
            if state.shown.contains_key(&number) {
                return broken(
                    Rule::RejectedNeverSeen,
                    format!("proposal {number} is nowhere and was seen"),
                );
            }
            state.nowhere.insert(number);
            Ok(())
        };
        match outcome {
            ProposalOutcome::InForce(number) => {
                self.counts.in_force += 1;
                if self.nowhere.contains(&number) {
                    return broken(
                        Rule::RejectedNeverSeen,
                        format!("version {number} is in force, and was nowhere"),
                    );
                }
                self.seen.insert(number, seen);
                // A later one may have come since it was in force; it was in force at some time before this.
                if number > self.surely {
                    self.surely_in_force(number);
                } else if number == self.surely {
                    self.start_drains();
                }
                Ok(())
            }
            ProposalOutcome::Refused(Some(number)) | ProposalOutcome::Withdrawn(number) => {
                nowhere(self, number)
            }
            ProposalOutcome::Refused(None) => {
                self.counts.nowhere += 1;
                Ok(())
            }
            ProposalOutcome::Unknown(number) => {
                self.counts.open += 1;
                match number {
                    Some(number) => {
                        self.seen.insert(number, seen);
                    }
                    None => self.unnumbered.push(seen),
                }
                Ok(())
            }
        }
    }

    fn unanswered(&mut self, lookup: &str, refused: bool) -> Checked {
        let Some(open) = self.open.get(lookup) else {
            return broken(
                Rule::OneAnswer,
                format!("lookup {lookup} stays open and was never asked"),
            );
        };
        let ends = self.ends.get(&open.router).copied().unwrap_or(0);
        if refused {
            self.counts.refused += 1;
        } else if ends > open.ends || self.standing.contains(&open.router) {
            self.counts.lost += 1;
        } else {
            let words = format!(
                "lookup {lookup} has no answer, and {} was not ended under it",
                open.router
            );
            return broken(Rule::OneAnswer, words);
        }
        if self
            .open
            .get_mut(lookup)
            .is_some_and(|open| std::mem::replace(&mut open.done, true))
        {
            return broken(
                Rule::OneAnswer,
                format!("lookup {lookup} stays open and has an answer"),
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
                format!("{node} begins a part of lookup {lookup} under permit {permit}"),
            );
        }
        let drained = self.drains.get(node).copied();
        let (within, now) = (self.bounds.drains_within, self.now);
        // One that came so late that its lookup is no longer kept is judged by nothing.
        let Some(open) = self.open.get_mut(lookup) else {
            return Ok(());
        };
        *open.calls.entry(shard).or_default() += 1;
        let under = drained.filter(|since| open.asked > since + within && now > since + within);
        if let Some(since) = under {
            open.drained = true;
            let words = format!(
                "node {node} begins a part of lookup {lookup}, asked {} ms after its drain was in force",
                (open.asked - since) / 1000
            );
            return broken(Rule::DrainedNodesIdle, words);
        }
        Ok(())
    }

    /// All of a lookup is known: its parts were called as often as its policy allows.
    fn close(&mut self, lookup: &str) -> Checked {
        let Some(open) = self.open.remove(lookup) else {
            return Ok(());
        };
        let own = |seen: &VisiblePolicy| seen.calls.get(&open.index).copied();
        let platform = own(&self.platform);
        let cap = match open.version.and_then(|version| self.seen.get(&version)) {
            Some(seen) => own(seen).or(platform),
            // Version 0, or one whose text is not known: nothing stricter than the platform's is sure.
            None => platform,
        };
        let Some(cap) = cap else { return Ok(()) };
        match open.calls.iter().find(|(_, calls)| **calls > cap) {
            Some((shard, calls)) => {
                let under = open
                    .version
                    .map_or("none".to_owned(), |version| version.to_string());
                let words = format!(
                    "part {shard} of lookup {lookup} was called {calls} times, version {under} allows {cap}"
                );
                broken(Rule::CallLimit, words)
            }
            None => Ok(()),
        }
    }

    fn says(&mut self, router: String, version: Option<u64>) -> Checked {
        let Some(version) = version else {
            return Ok(());
        };
        self.show(version, &router)?;
        let known = self.says.entry(router.clone()).or_insert(version);
        if *known > version {
            return broken(
                Rule::ReportsNeverDecrease,
                format!("{router} says version {version}, and said {known} before"),
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
                format!("lookup {lookup} has neither an answer nor an end"),
            );
        }
        self.counts.open += self.begun.len() as u64;
        Ok(())
    }
}

/// Reads a history to its end and says what became of the rules; the first breach ends it.
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
        Stop::Inconclusive(words) => Verdict::Inconclusive(format!("line {line}: {words}")),
    };
    for line in lines.lines() {
        state.line += 1;
        let read = line.map_err(|error| error.to_string());
        let event =
            read.and_then(|line| serde_json::from_str(&line).map_err(|error| error.to_string()));
        let event: Event = match event {
            Ok(event) => event,
            Err(words) => return Verdict::Inconclusive(format!("line {}: {words}", state.line)),
        };
        if let Err(stop) = state.take(event) {
            return verdict(state.line, stop);
        }
    }
    match state.finish() {
        Ok(()) => Verdict::Accepted(state.counts),
        Err(stop) => verdict(state.line, stop),
    }
}
