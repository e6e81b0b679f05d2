//! The six rules, watched from outside: told what was sent, heard and answered, it knows what must not have happened.
//! It shares no code with the decisions.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use strum::EnumString;

/// After its drain or end was told, a node may get work for so long.
const GRACE: u64 = 500_000;
/// Weights are sums of fractions.
const CLOSE: f64 = 1e-6;

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Rule {
    /// Each lookup taken by a running router ends in one final answer, before its client's time is up.
    OneAnswer,
    /// No effect happens twice beyond what the index allows; a nack promises that asking again is harmless.
    NoEffectTwice,
    /// A node that drains or is gone gets nothing new after the grace.
    DrainsObeyed,
    /// A node that has just started is not made to fall.
    ColdSpared,
    /// Answers hold at least the least share, and `whole` is said of whole ones.
    HonestAnswers,
    /// No part has more calls than the limit.
    CallsBounded,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: Rule,
    /// Microseconds from the beginning of the day.
    pub at: u64,
    pub what: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Answered { whole: bool },
    Nacked,
    Aborted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Harmless,
    Within(u64),
    Never,
}

#[derive(Clone, Copy, PartialEq)]
enum Run {
    Out,
    May,
    Never,
}

struct Part {
    weight: f64,
    in_hand: bool,
    calls: Vec<(u64, Run)>,
}

struct Taken {
    repeats: Repeats,
    least: f64,
    end: u64,
    parts: BTreeMap<u64, Part>,
}

/// Watches one day. Tables: a lookup goes with its final answer, a node's word with its next start.
#[derive(Default)]
pub struct Checker {
    taken: HashMap<(u32, u64), Taken>,
    gone: HashMap<(u32, u32), u64>,
    most_calls: usize,
    zero: u64,
    pub breaches: Vec<Breach>,
    /// How many there were; only the first of each rule are kept.
    pub count: u64,
}

/// Of each rule so many breaches are kept with their words.
const KEPT: usize = 5;

impl Checker {
    pub fn new(most_calls: usize, zero: u64) -> Checker {
        Checker {
            most_calls,
            zero,
            ..Checker::default()
        }
    }

    fn breach(&mut self, rule: Rule, now: u64, what: String) {
        self.count += 1;
        if self.breaches.iter().filter(|of| of.rule == rule).count() < KEPT {
            self.breaches.push(Breach {
                rule,
                at: now.saturating_sub(self.zero),
                what,
            });
        }
    }

    /// A running router took a lookup; its client waits until `end`.
    pub fn took(
        &mut self,
        router: u32,
        lookup: u64,
        repeats: Repeats,
        least: f64,
        end: u64,
        parts: impl Iterator<Item = (u64, f64)>,
    ) {
        let parts = parts.map(|(id, weight)| {
            (
                id,
                Part {
                    weight,
                    in_hand: false,
                    calls: Vec::new(),
                },
            )
        });
        self.taken.insert(
            (router, lookup),
            Taken {
                repeats,
                least,
                end,
                parts: parts.collect(),
            },
        );
    }

    pub fn sent(&mut self, now: u64, router: u32, lookup: u64, part: u64, node: u32) {
        if let Some(told) = self
            .gone
            .get(&(router, node))
            .filter(|told| now > **told + GRACE)
        {
            let what = format!(
                "node {node} gets a part {} ms after router {router} was told",
                (now - told) / 1000
            );
            self.breach(Rule::DrainsObeyed, now, what);
        }
        let Some(taken) = self.taken.get_mut(&(router, lookup)) else {
            return self.breach(
                Rule::OneAnswer,
                now,
                format!("part {part} is sent for a lookup that has ended"),
            );
        };
        let repeats = taken.repeats;
        let Some(of) = taken.parts.get_mut(&part) else {
            return;
        };
        let first = of
            .calls
            .iter()
            .find(|(_, run)| *run != Run::Never)
            .map(|(at, _)| *at);
        let bad = match (repeats, first) {
            (Repeats::Harmless, _) | (_, None) => false,
            (Repeats::Within(window), Some(at)) => now > at + window,
            (Repeats::Never, Some(_)) => true,
        };
        of.calls.push((now, Run::Out));
        let calls = of.calls.len();
        if bad {
            self.breach(
                Rule::NoEffectTwice,
                now,
                format!("part {part} is sent again, call {calls}"),
            );
        }
        if calls > self.most_calls {
            self.breach(
                Rule::CallsBounded,
                now,
                format!("part {part} has {calls} calls"),
            );
        }
    }

    /// The router was told how a call ended; `may`: it may have run.
    pub fn returned(
        &mut self,
        router: u32,
        lookup: u64,
        part: u64,
        call: usize,
        satisfied: bool,
        may: bool,
    ) {
        let part = self
            .taken
            .get_mut(&(router, lookup))
            .and_then(|of| of.parts.get_mut(&part));
        if let Some(part) = part {
            part.in_hand |= satisfied;
            if let Some((_, run)) = part.calls.get_mut(call) {
                *run = if may || satisfied {
                    Run::May
                } else {
                    Run::Never
                };
            }
        }
    }

    pub fn ended(&mut self, now: u64, router: u32, lookup: u64, how: Final) {
        let Some(taken) = self.taken.remove(&(router, lookup)) else {
            return self.breach(Rule::OneAnswer, now, format!("lookup {lookup} ends twice"));
        };
        if now > taken.end {
            let late = now - taken.end;
            self.breach(
                Rule::OneAnswer,
                now,
                format!("lookup {lookup} ends {late} us after its client's time"),
            );
        }
        let may_have_run = taken
            .parts
            .values()
            .any(|part| part.calls.iter().any(|(_, run)| *run != Run::Never));
        match how {
            Final::Nacked if may_have_run && taken.repeats != Repeats::Harmless => {
                self.breach(
                    Rule::NoEffectTwice,
                    now,
                    format!("lookup {lookup} is nacked and may have run"),
                );
            }
            Final::Answered { whole } => {
                let all = taken.parts.values().all(|part| part.in_hand);
                let share: f64 = taken
                    .parts
                    .values()
                    .filter(|part| part.in_hand)
                    .map(|part| part.weight)
                    .sum();
                if whole && !all {
                    self.breach(
                        Rule::HonestAnswers,
                        now,
                        format!("lookup {lookup} is called whole at {share:.3}"),
                    );
                }
                if share + CLOSE < taken.least {
                    self.breach(
                        Rule::HonestAnswers,
                        now,
                        format!("lookup {lookup} is answered at {share:.3}"),
                    );
                }
            }
            _ => {}
        }
    }

    /// Its client has left: nothing is due any more, but at the end of its time something was.
    pub fn left(&mut self, now: u64, router: u32, lookup: u64) {
        if self
            .taken
            .remove(&(router, lookup))
            .is_some_and(|of| of.end <= now)
        {
            self.breach(
                Rule::OneAnswer,
                now,
                format!("lookup {lookup} had no answer in its client's time"),
            );
        }
    }

    /// A router has died: nothing is due from it, and it knows nothing.
    pub fn router_died(&mut self, router: u32) {
        self.taken.retain(|(of, _), _| *of != router);
        self.gone.retain(|(of, _), _| *of != router);
    }

    /// A router was told that a node is ready again, or drains or is gone.
    pub fn told(&mut self, now: u64, router: u32, node: u32, ready: bool) {
        if ready {
            self.gone.remove(&(router, node));
        } else {
            self.gone.entry((router, node)).or_insert(now);
        }
    }

    pub fn fell(&mut self, now: u64, node: u32) {
        self.breach(
            Rule::ColdSpared,
            now,
            format!("node {node}, just started, falls under what it is sent"),
        );
    }

    /// The day is over; lookups whose clients' time is up had to be answered.
    pub fn day_ends(&mut self, now: u64) {
        let mut late: Vec<(u64, u64)> = self
            .taken
            .iter()
            .filter(|(_, of)| of.end < now)
            .map(|((_, id), of)| (*id, of.end))
            .collect();
        late.sort_unstable();
        for (lookup, end) in late {
            self.breach(
                Rule::OneAnswer,
                end,
                format!("lookup {lookup} has no final answer"),
            );
        }
    }

    /// What it holds, for the bound on its size.
    pub fn open(&self) -> usize {
        self.taken.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// A lookup of two parts, 1 and 2, under router 0; time 0 to 1000 ms.
    fn watching(repeats: Repeats, least: f64) -> Checker {
        let mut of = Checker::new(2, 0);
        of.took(
            0,
            7,
            repeats,
            least,
            1_000_000,
            [(1, 0.5), (2, 0.5)].into_iter(),
        );
        of
    }

    fn rules(of: &Checker) -> Vec<Rule> {
        of.breaches.iter().map(|breach| breach.rule).collect()
    }

    #[test_case(Final::Nacked, &[Rule::OneAnswer]; "answered twice")]
    #[test_case(Final::Aborted, &[Rule::OneAnswer]; "aborted too")]
    fn a_second_final_answer_is_seen(how: Final, seen: &[Rule]) {
        let mut of = watching(Repeats::Harmless, 1.0);
        of.ended(5, 0, 7, Final::Nacked);
        of.ended(6, 0, 7, how);
        assert_eq!(rules(&of), seen);
    }

    #[test]
    fn none_and_a_late_one_are_seen() {
        let mut of = watching(Repeats::Harmless, 1.0);
        of.day_ends(2_000_000);
        of.ended(2_000_001, 0, 7, Final::Nacked);
        assert_eq!(rules(&of), [Rule::OneAnswer, Rule::OneAnswer]);
    }

    #[test_case(Repeats::Harmless, true, 900_000, false; "idempotent")]
    #[test_case(Repeats::Within(500_000), true, 500_010, false; "within the window")]
    #[test_case(Repeats::Within(500_000), true, 500_011, true; "past the window")]
    #[test_case(Repeats::Never, true, 20, true; "once-only")]
    #[test_case(Repeats::Never, false, 20, false; "once-only that never ran")]
    fn a_repeat_is_judged_by_its_index(repeats: Repeats, may: bool, again: u64, seen: bool) {
        let mut of = watching(repeats, 1.0);
        of.sent(10, 0, 7, 1, 3);
        of.returned(0, 7, 1, 0, false, may);
        of.sent(again, 0, 7, 1, 4);
        assert_eq!(
            rules(&of),
            if seen {
                vec![Rule::NoEffectTwice]
            } else {
                vec![]
            }
        );
    }

    #[test]
    fn a_nack_of_what_may_have_run_is_seen() {
        let mut of = watching(Repeats::Never, 1.0);
        of.sent(10, 0, 7, 1, 3);
        of.ended(20, 0, 7, Final::Nacked);
        assert_eq!(rules(&of), [Rule::NoEffectTwice]);
    }

    #[test]
    fn too_many_calls_and_calls_to_the_drained_are_seen() {
        let mut of = watching(Repeats::Harmless, 1.0);
        of.told(0, 0, 3, false);
        for at in [10, GRACE, GRACE + 1] {
            of.sent(at, 0, 7, 1, 3);
        }
        assert_eq!(rules(&of), [Rule::DrainsObeyed, Rule::CallsBounded]);
    }

    #[test_case(0.5, false, &[]; "half where half is enough")]
    #[test_case(0.5, true, &[Rule::HonestAnswers]; "half called whole")]
    #[test_case(0.6, false, &[Rule::HonestAnswers]; "less than the least")]
    fn dishonest_answers_are_seen(least: f64, whole: bool, seen: &[Rule]) {
        let mut of = watching(Repeats::Harmless, least);
        of.sent(10, 0, 7, 1, 3);
        of.returned(0, 7, 1, 0, true, true);
        of.ended(20, 0, 7, Final::Answered { whole });
        assert_eq!(rules(&of), seen);
    }
}
