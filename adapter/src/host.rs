//! The router instances of this process. Each event goes to the routing engine of its instance, and the engine's
//! actions go into the reply. All routing decisions are the engine's.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::{
    AttemptNo, AttemptOutcome, Endpoint, Micros, QueryId, ShardRequestId, TimerId,
};

use crate::error::AdapterError;
use crate::fields::Fields;
use crate::frame::Frame;
use crate::protocol::{action, event, CATALOG_ENTRY_BYTES, MAX_CATALOGS, UNDER_WAY_BYTES};
use crate::reply::Reply;
use crate::reply_actions::ReplyActions;
use crate::request::Request;

/// The router instances of this process by their number, and the catalogs that they share.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, RoutingEngine>,
    catalogs: [Option<Vec<Endpoint>>; MAX_CATALOGS],
}

/// The result of handling one event.
enum EventResult {
    Done,
    /// The routing engine panicked with this message.
    Panicked {
        instance: u32,
        text: String,
    },
}

impl Host {
    /// Handles the events of a frame and returns the reply frame. If the routing engine panics, the rest of the frame
    /// is skipped, and the reply has no action but the report of the panic.
    pub(crate) fn handle_frame(&mut self, frame: &Frame) -> Result<Vec<u8>, AdapterError> {
        let mut fields = Fields::new(&frame.records);
        let mut reply = Reply::default();
        for record in 0..frame.record_count {
            let result = self
                .handle_event(Micros(frame.clock_us), &mut fields, &mut reply)
                .map_err(|error| AdapterError::Record {
                    record,
                    source: Box::new(error),
                })?;
            if let EventResult::Panicked { instance, text } = result {
                let mut reply = Reply::default();
                reply.start_record(action::BUG, instance).text(&text);
                return Ok(reply.finish());
            }
        }
        match fields.left() {
            0 => Ok(reply.finish()),
            left => Err(AdapterError::BytesLeftOver {
                left,
                count: frame.record_count,
            }),
        }
    }

    fn handle_event(
        &mut self,
        now: Micros,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<EventResult, AdapterError> {
        let code = fields.u8()?;
        if code == event::CATALOG {
            self.read_catalog(fields)?;
            return Ok(EventResult::Done);
        }
        let instance = fields.u32()?;
        if code == event::INSTANCE_BEGINS {
            self.begin_instance(instance, fields)?;
            return Ok(EventResult::Done);
        }
        let Some(engine) = self.instances.get_mut(&instance) else {
            return Err(AdapterError::UnknownInstance { code, instance });
        };
        let out = &mut ReplyActions { instance, reply };
        let panic = match code {
            event::INSTANCE_ENDS => {
                self.instances.remove(&instance);
                None
            }
            event::PEER_MESSAGE => skip_peer_message(fields)?,
            event::ATTEMPT_UNDER_WAY => fields.skip(UNDER_WAY_BYTES).map(|()| None)?,
            event::HEALTH_CHECK_FINISHED => health_check_finished(now, engine, fields, out)?,
            event::REQUEST => {
                let request = Request::read(fields)?;
                catch_panic(|| request.submit(now, engine, out))
            }
            event::CLIENT_LEFT => {
                let id = QueryId(fields.u64()?);
                catch_panic(|| engine.client_left(now, id, out))
            }
            event::ENDPOINTS_CHANGED => {
                endpoints_changed(now, engine, &self.catalogs, fields, out)?
            }
            event::ATTEMPT_FINISHED => attempt_finished(now, engine, fields, out)?,
            event::TIMER_FIRED => {
                let timer = TimerId(fields.u64()?);
                catch_panic(|| engine.timer_fired(now, timer, out))
            }
            _ => return Err(AdapterError::UnknownEvent(code)),
        };
        Ok(
            panic.map_or(EventResult::Done, |text| EventResult::Panicked {
                instance,
                text,
            }),
        )
    }

    fn begin_instance(&mut self, instance: u32, fields: &mut Fields) -> Result<(), AdapterError> {
        let seed = fields.u64()?;
        let size = fields.u32()? as usize;
        let settings = ternpick_platform_config::parse(fields.bytes(size)?);
        let config =
            settings.and_then(|settings| ternpick_platform_config::platform_config(&settings));
        let config = config.map_err(|error| AdapterError::Settings(error.into()))?;
        self.instances
            .insert(instance, RoutingEngine::new(config, seed));
        Ok(())
    }

    fn read_catalog(&mut self, fields: &mut Fields) -> Result<(), AdapterError> {
        let number = fields.u32()? as usize;
        let count = fields.u32()? as usize;
        if number >= MAX_CATALOGS {
            return Err(AdapterError::CatalogOutOfRange(number));
        }
        let left = fields.left();
        if count > left / CATALOG_ENTRY_BYTES {
            return Err(AdapterError::CatalogBeyondFrame { count, left });
        }
        let entries: Result<Vec<Endpoint>, AdapterError> =
            (0..count).map(|_| fields.endpoint()).collect();
        self.catalogs[number] = Some(entries?);
        Ok(())
    }
}

fn skip_peer_message(fields: &mut Fields) -> Result<Option<String>, AdapterError> {
    let _sender = fields.u32()?;
    let size = fields.u16()?;
    fields.skip(size.into())?;
    Ok(None)
}

fn health_check_finished(
    now: Micros,
    engine: &mut RoutingEngine,
    fields: &mut Fields,
    out: &mut dyn Actions,
) -> Result<Option<String>, AdapterError> {
    let _latency = fields.micros()?;
    let code = fields.u16()?;
    let node = fields.node()?;
    outcome(code)?;
    let load_report = fields.load_report()?;
    Ok(catch_panic(|| {
        engine.health_check_finished(now, node, &load_report, out);
    }))
}

fn endpoints_changed(
    now: Micros,
    engine: &mut RoutingEngine,
    catalogs: &[Option<Vec<Endpoint>>],
    fields: &mut Fields,
    out: &mut dyn Actions,
) -> Result<Option<String>, AdapterError> {
    let number = fields.u32()? as usize;
    let _version = fields.u64()?;
    let is_full = match fields.u8()? {
        0 => false,
        1 | 2 => true,
        3 => return Ok(catch_panic(|| engine.endpoint_watch_failed(now, out))),
        other => return Err(AdapterError::UnknownUpdate(other)),
    };
    let list = catalogs.get(number).and_then(Option::as_ref);
    let list = list.ok_or(AdapterError::CatalogNeverSent(number))?;
    Ok(catch_panic(|| {
        engine.endpoints_changed(now, list, is_full, out);
    }))
}

fn attempt_finished(
    now: Micros,
    engine: &mut RoutingEngine,
    fields: &mut Fields,
    out: &mut dyn Actions,
) -> Result<Option<String>, AdapterError> {
    let request = ShardRequestId(fields.u64()?);
    let latency = fields.micros()?;
    let node = fields.node()?;
    let _finished = fields.u8()?;
    let attempt = AttemptNo(fields.u8()?);
    let outcome = outcome(fields.u16()?)?;
    let load_report = fields.load_report()?;
    Ok(catch_panic(|| {
        engine.attempt_finished(
            now,
            request,
            attempt,
            node,
            latency,
            outcome,
            &load_report,
            out,
        );
    }))
}

fn outcome(code: u16) -> Result<AttemptOutcome, AdapterError> {
    Ok(match code {
        100 => AttemptOutcome::Satisfied,
        301 | 303 => AttemptOutcome::MayHaveRun,
        305 => AttemptOutcome::Broken,
        302 | 304 => AttemptOutcome::NeverRan,
        306 => AttemptOutcome::Cancelled,
        307 => AttemptOutcome::Unsent,
        other => return Err(AdapterError::UnknownOutcome(other)),
    })
}

/// Calls the routing engine. Returns the message of its panic, if it panics.
fn catch_panic(call_engine: impl FnOnce()) -> Option<String> {
    let panic: Box<dyn Any + Send> = catch_unwind(AssertUnwindSafe(call_engine)).err()?;
    let text = panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("a panic without a text");
    Some(text.to_owned())
}
