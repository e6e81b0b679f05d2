//! Faults planted into a plain router, one for each rule, to see that the checker finds each by itself.

use rand_pcg::Pcg64Mcg;
use ternpick::actions::Actions;
use ternpick::types::*;
use test_case::test_case;

use super::Sim;
use crate::check::Rule;
use crate::plan::{Plan, Who};
use crate::policy::{Choice, Plain, Policy};

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Every tenth lookup is never ended.
    Forgets,
    /// Each answer is given twice.
    AnswersTwice,
    /// Each part is sent twice, whatever its index.
    SendsTwice,
    /// Never told of drains.
    DeafToDrains,
    /// Every answer is called whole.
    AllWhole,
    /// Answers at once, from nothing.
    Hasty,
    /// Each call is made five times.
    Floods,
}

struct Planted {
    inner: Plain,
    fault: Fault,
}

struct Bent<'a> {
    out: &'a mut dyn Actions,
    fault: Fault,
}

impl Actions for Bent<'_> {
    fn send_attempt(&mut self, part: ShardRequestId, node: NodeId, limit: Micros) {
        let times = match self.fault {
            Fault::SendsTwice => 2,
            Fault::Floods => 5,
            _ => 1,
        };
        (0..times).for_each(|_| self.out.send_attempt(part, node, limit));
    }
    fn answer(&mut self, lookup: QueryId, whole: bool) {
        if self.fault == Fault::Forgets && lookup.0.is_multiple_of(10) {
            return;
        }
        self.out
            .answer(lookup, whole || self.fault == Fault::AllWhole);
        if self.fault == Fault::AnswersTwice {
            self.out.answer(lookup, whole);
        }
    }
    fn reject(&mut self, lookup: QueryId, come_back: Micros) {
        self.out.reject(lookup, come_back);
    }
    fn fail(&mut self, lookup: QueryId) {
        self.out.fail(lookup);
    }
    fn cancel_attempt(&mut self, part: ShardRequestId, call: AttemptNo) {
        self.out.cancel_attempt(part, call);
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.out.close_idle_connections(node);
    }
    fn check_health(&mut self, node: NodeId) {
        self.out.check_health(node);
    }
    fn watch_endpoints(&mut self) {
        self.out.watch_endpoints();
    }
    fn set_timer(&mut self, delay: Micros, timer: TimerId) {
        self.out.set_timer(delay, timer);
    }
    fn log(&mut self, line: &str) {
        self.out.log(line);
    }
}

impl Planted {
    fn bent<R>(&mut self, out: &mut dyn Actions, of: impl FnOnce(&mut Plain, &mut Bent) -> R) -> R {
        of(
            &mut self.inner,
            &mut Bent {
                out,
                fault: self.fault,
            },
        )
    }
}

impl Policy for Planted {
    fn query_received(
        &mut self,
        now: Micros,
        id: QueryId,
        index: IndexNo,
        customer: CustomerNo,
        expected: usize,
        left: Micros,
        repeat: bool,
        out: &mut dyn Actions,
    ) {
        self.bent(out, |of, out| {
            of.query_received(now, id, index, customer, expected, left, repeat, out)
        });
        if self.fault == Fault::Hasty {
            out.answer(id, false);
        }
    }
    fn shard_request_received(
        &mut self,
        now: Micros,
        id: ShardRequestId,
        lookup: QueryId,
        shard: ShardNo,
        weight: f64,
        hint: Option<Micros>,
        out: &mut dyn Actions,
    ) {
        self.bent(out, |of, out| {
            of.shard_request_received(now, id, lookup, shard, weight, hint, out)
        });
    }
    fn attempt_finished(
        &mut self,
        now: Micros,
        part: ShardRequestId,
        call: AttemptNo,
        node: NodeId,
        lag: Micros,
        ending: AttemptOutcome,
        report: &[f64],
        out: &mut dyn Actions,
    ) {
        self.bent(out, |of, out| {
            of.attempt_finished(now, part, call, node, lag, ending, report, out)
        });
    }
    fn health_check_finished(
        &mut self,
        now: Micros,
        node: NodeId,
        report: &[f64],
        out: &mut dyn Actions,
    ) {
        self.bent(out, |of, out| {
            of.health_check_finished(now, node, report, out)
        });
    }
    fn client_left(&mut self, now: Micros, id: QueryId, out: &mut dyn Actions) {
        self.bent(out, |of, out| of.client_left(now, id, out));
    }
    fn endpoints_changed(
        &mut self,
        now: Micros,
        list: &[Endpoint],
        full: bool,
        out: &mut dyn Actions,
    ) {
        let deaf = self.fault == Fault::DeafToDrains;
        let kept: Vec<Endpoint> = list
            .iter()
            .filter(|of| !deaf || of.state != EndpointState::Draining)
            .copied()
            .collect();
        self.bent(out, |of, out| of.endpoints_changed(now, &kept, full, out));
    }
    fn endpoint_watch_failed(&mut self, now: Micros, out: &mut dyn Actions) {
        self.bent(out, |of, out| of.endpoint_watch_failed(now, out));
    }
    fn timer_fired(&mut self, now: Micros, timer: TimerId, out: &mut dyn Actions) {
        self.bent(out, |of, out| of.timer_fired(now, timer, out));
    }
}

#[test_case(Fault::Forgets, Rule::OneAnswer; "a lookup is forgotten")]
#[test_case(Fault::AnswersTwice, Rule::OneAnswer; "answered twice")]
#[test_case(Fault::SendsTwice, Rule::NoEffectTwice; "a once-only part sent twice")]
#[test_case(Fault::DeafToDrains, Rule::DrainsObeyed; "a drain unheard")]
#[test_case(Fault::AllWhole, Rule::HonestAnswers; "all called whole")]
#[test_case(Fault::Hasty, Rule::HonestAnswers; "answers from nothing")]
#[test_case(Fault::Floods, Rule::CallsBounded; "five calls a part")]
#[test_case(Fault::Floods, Rule::ColdSpared; "a cold node flooded")]
fn the_checker_finds_a_planted_fault(fault: Fault, rule: Rule) {
    let text = r#"name: "t"
        worlds: [{name: "w", seconds: 14, settle: 2, routers: 2, clients: {rate: 200, retries: 0},
            discovery: lag: 100ms, nodes: {restarts_in: 2s, cores: 2},
            indexes: [{name: "sweep", parts: [2, 6], least: 0.5, soft: 300ms, work: mean: 10ms},
                      {name: "once", repeat: "once-only", work: mean: 10ms}],
            troubles: [{kind: "hang", at: 3s, for: 3s, share: 0.2}, {kind: "drain", at: 7s, share: 0.3},
                       {kind: "cold-restart", at: 7s, share: 0.3}]}]"#;
    let plan = Plan::parse("t.cue", text).unwrap_or_else(|bad| panic!("{bad}"));
    let world = &plan.worlds[0];
    let day = |planted: Option<Fault>| {
        let mut sim = Sim::new(world, Who::Random, 1);
        for front in &mut sim.fronts {
            let chance = <Pcg64Mcg as rand::SeedableRng>::seed_from_u64(1);
            let inner = Plain::new(Choice::Random, world.tariff(ZoneNo(front.zone)), chance);
            match planted {
                Some(fault) => front.takes(Box::new(Planted { inner, fault })),
                None => front.takes(Box::new(inner)),
            }
        }
        sim.begin();
        sim.run();
        let day = sim.finish(1.0);
        day.breaches
            .iter()
            .map(|breach| breach.rule)
            .collect::<Vec<Rule>>()
    };
    let found = day(Some(fault));
    assert!(found.contains(&rule), "{found:?}");
    let sound = day(None);
    assert!(
        sound.iter().all(|rule| *rule == Rule::ColdSpared),
        "{sound:?}"
    );
}
