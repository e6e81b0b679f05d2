//! Hosts the instances of one process: events in, actions out. It decides nothing.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;
use ternpick_platform_config as tariff;

use crate::frame::{BadFrame, Batch, Fields, Reply};

mod event {
    pub const PONG: u8 = 16;
    pub const HEARD: u8 = 17;
    pub const SUBMIT: u8 = 18;
    pub const LAPSED: u8 = 19;
    pub const DIRECTORY_UPDATE: u8 = 20;
    pub const BEGIN: u8 = 21;
    pub const CATALOG: u8 = 22;
    pub const UNDER_WAY: u8 = 23;
    pub const RETURNED: u8 = 24;
    pub const DETACH: u8 = 25;
    pub const ELAPSED: u8 = 26;
}

mod action {
    pub const SAY_NO: u8 = 16;
    pub const REPORT_FAILURE: u8 = 18;
    pub const HEALTH_CHECK: u8 = 19;
    pub const EMIT: u8 = 20;
    pub const ATTEMPT: u8 = 21;
    pub const TRACK: u8 = 22;
    pub const LET_GO: u8 = 23;
    pub const ASSEMBLE: u8 = 24;
    pub const BUG: u8 = 25;
    pub const RETRACT: u8 = 26;
    pub const DEFER: u8 = 28;
}

const LISTING_BYTES: usize = 24;
const CATALOGS: usize = 16;

/// The actions of one instance, written straight into the reply.
struct Outlet<'a> {
    instance: u32,
    reply: &'a mut Reply,
}

impl Outlet<'_> {
    fn record(&mut self, code: u8) -> &mut Reply {
        self.reply.record(code, self.instance)
    }
}

impl Actions for Outlet<'_> {
    fn send_attempt(&mut self, part: ShardRequestId, node: NodeId, limit: Micros) {
        self.record(action::ATTEMPT)
            .put(&part.0.to_be_bytes())
            .node(node.0)
            .time(limit.0);
    }

    fn answer(&mut self, lookup: QueryId, whole: bool) {
        self.record(action::ASSEMBLE)
            .put(&lookup.0.to_be_bytes())
            .put(&[u8::from(whole)]);
    }

    fn reject(&mut self, lookup: QueryId, come_back: Micros) {
        self.record(action::SAY_NO)
            .put(&lookup.0.to_be_bytes())
            .time(come_back.0);
    }

    fn fail(&mut self, lookup: QueryId) {
        self.record(action::REPORT_FAILURE)
            .put(&lookup.0.to_be_bytes());
    }

    fn cancel_attempt(&mut self, part: ShardRequestId, call: AttemptNo) {
        self.record(action::RETRACT)
            .put(&part.0.to_be_bytes())
            .put(&[call.0]);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.record(action::LET_GO).node(node.0);
    }

    fn check_health(&mut self, node: NodeId) {
        self.record(action::HEALTH_CHECK).node(node.0);
    }

    fn watch_endpoints(&mut self) {
        self.record(action::TRACK).put(&[1]);
    }

    fn set_timer(&mut self, delay: Micros, timer: TimerId) {
        self.record(action::DEFER)
            .time(delay.0)
            .put(&timer.0.to_be_bytes());
    }

    fn log(&mut self, line: &str) {
        self.record(action::EMIT).text(line);
    }
}

/// The instances of this process, and the catalogs that belong to it as a whole.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, RoutingEngine>,
    catalogs: [Option<Vec<Endpoint>>; CATALOGS],
}

impl Host {
    /// Plays one batch and returns the reply frame.
    pub fn play(&mut self, batch: &Batch) -> Result<Vec<u8>, BadFrame> {
        let (mut fields, mut reply) = (Fields::new(&batch.body), Reply::default());
        let clock = Micros(batch.clock);
        for at in 0..batch.count {
            if let Some(bug) = self
                .event(clock, &mut fields, &mut reply)
                .map_err(|e| format!("record {at}: {e}"))?
            {
                return Ok(bug.finish());
            }
        }
        match fields.left() {
            0 => Ok(reply.finish()),
            left => Err(format!(
                "{left} bytes left over after the {} records of a frame",
                batch.count
            )),
        }
    }

    /// Plays one event. A panic of the decisions comes back as the reply that reports it.
    fn event(
        &mut self,
        now: Micros,
        f: &mut Fields,
        reply: &mut Reply,
    ) -> Result<Option<Reply>, BadFrame> {
        let code = f.u8()?;
        if code == event::CATALOG {
            self.catalog(f)?;
            return Ok(None);
        }
        let instance = f.u32()?;
        if code == event::BEGIN {
            let (seed, size) = (f.u64()?, f.u32()? as usize);
            self.instances.insert(
                instance,
                RoutingEngine::new(tariff::tariff(&tariff::parse(f.bytes(size)?)?)?, seed),
            );
            return Ok(None);
        }
        let Some(brain) = self.instances.get_mut(&instance) else {
            return Err(format!(
                "event {code} for instance {instance}, which has not begun"
            ));
        };
        if code == event::DETACH {
            self.instances.remove(&instance);
            return Ok(None);
        }
        let out = &mut Outlet { instance, reply };
        match code {
            event::PONG => {
                let (_lag, how, node) = (f.u32()?, f.u16()?, NodeId(f.node()?));
                ending(how)?;
                let report = f.report()?;
                guard(instance, || {
                    brain.health_check_finished(now, node, &report, out)
                })
            }
            event::HEARD => {
                f.u32()?;
                let size = f.u16()?.into();
                f.bytes(size)?;
                Ok(None)
            }
            event::SUBMIT => {
                let (id, query, marks) = (f.u64()?, f.f32()?, f.u8()?);
                let (customer, shard) = (CustomerNo(f.u16()?), f.f32()?);
                f.u64()?; // the key
                let hint = Micros(f.u32()?.into());
                let repeat = marks & 2 != 0;
                let hint = (marks & 1 != 0 && hint.0 > 0).then_some(hint);
                let (amount, index) = (f64::from(f.f32()?), IndexNo(f.u8()?));
                let left = Micros(f.u32()?.into());
                let query = WireQueryNo(u64::from(query.to_bits()));
                guard(instance, || {
                    if shard < 0.0 {
                        brain.query_received(
                            now,
                            QueryId(id),
                            query,
                            index,
                            customer,
                            amount as usize,
                            left,
                            repeat,
                            out,
                        );
                    } else {
                        brain.shard_request_received(
                            now,
                            ShardRequestId(id),
                            query,
                            ShardNo(shard as u32),
                            amount,
                            hint,
                            out,
                        );
                    }
                })
            }
            event::LAPSED => {
                let id = QueryId(f.u64()?);
                guard(instance, || brain.client_left(now, id, out))
            }
            event::DIRECTORY_UPDATE => {
                let (number, _version, how) = (f.u32()?, f.u64()?, f.u8()?);
                if how == 3 {
                    return guard(instance, || brain.endpoint_watch_failed(now, out));
                }
                if how > 2 {
                    return Err(format!("a roster update of unknown kind {how}"));
                }
                let list = self.catalogs.get(number as usize).and_then(Option::as_ref);
                let list =
                    list.ok_or_else(|| format!("catalog {number} is named but was never sent"))?;
                guard(instance, || {
                    brain.endpoints_changed(now, list, how != 0, out)
                })
            }
            event::UNDER_WAY => {
                f.bytes(8 + 1 + 6 + 4)?; // streamed indexes are not used here
                Ok(None)
            }
            event::RETURNED => {
                let (part, lag) = (ShardRequestId(f.u64()?), Micros(f.u32()?.into()));
                let (node, _finished, call) = (NodeId(f.node()?), f.u8()?, AttemptNo(f.u8()?));
                let (ending, report) = (ending(f.u16()?)?, f.report()?);
                guard(instance, || {
                    brain.attempt_finished(now, part, call, node, lag, ending, &report, out)
                })
            }
            event::ELAPSED => {
                let timer = TimerId(f.u64()?);
                guard(instance, || brain.timer_fired(now, timer, out))
            }
            _ => Err(format!("unknown event code {code}")),
        }
    }

    fn catalog(&mut self, f: &mut Fields) -> Result<(), BadFrame> {
        let (number, count) = (f.u32()? as usize, f.u32()? as usize);
        if number >= CATALOGS {
            return Err(format!("catalog number {number} is out of range"));
        }
        if count > f.left() / LISTING_BYTES {
            return Err(format!(
                "a catalog of {count} entries where {} bytes are left",
                f.left()
            ));
        }
        self.catalogs[number] = Some((0..count).map(|_| listing(f)).collect::<Result<_, _>>()?);
        Ok(())
    }
}

fn listing(f: &mut Fields) -> Result<Endpoint, BadFrame> {
    let (node, zone, _kind) = (NodeId(f.node()?), ZoneNo(f.u16()?), f.u8()?);
    let cell = ShardGroupNo(f.u16()?.into());
    let phase = match f.u8()? {
        0 => EndpointState::Gone,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(format!("unknown node phase {other}")),
    };
    let _units = f.f32()?;
    Ok(Endpoint {
        node,
        zone,
        shard_group: cell,
        state: phase,
        started_at: Micros(f.u64()?),
    })
}

fn ending(how: u16) -> Result<AttemptOutcome, BadFrame> {
    Ok(match how {
        100 => AttemptOutcome::Satisfied,
        301 | 303 => AttemptOutcome::MayHaveRun,
        305 => AttemptOutcome::Broken,
        302 | 304 => AttemptOutcome::NeverRan,
        306 => AttemptOutcome::Cancelled,
        307 => AttemptOutcome::Unsent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

/// Runs decisions; a panic becomes a reply with the wire's `bug`.
fn guard(instance: u32, decide: impl FnOnce()) -> Result<Option<Reply>, BadFrame> {
    let Err(panic) = catch_unwind(AssertUnwindSafe(decide)) else {
        return Ok(None);
    };
    let text = match (panic.downcast_ref::<String>(), panic.downcast_ref::<&str>()) {
        (Some(text), _) => text.as_str(),
        (_, Some(text)) => text,
        _ => "a panic without a text",
    };
    let mut reply = Reply::default();
    reply.record(action::BUG, instance).text(text);
    Ok(Some(reply))
}
