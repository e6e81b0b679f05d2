//! Book: carries out what the module says of lookups and calls in the books, and closes them. A lookup's slot,
//! its parts and its reply are given back in [`Office::close`], a call's record in [`Ledger::finish`].

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use ternpick::interface::Actions;
use ternpick::types::{CallNo, Ending, LookupId, Micros, NodeId, PartId, TimerId};
use ternpick_tariff::Bounds;

use crate::memory::ledger::{CallKey, CallOut, Ledger, Place};
use crate::memory::nodes::Nodes;
use crate::stages::send;
use crate::wire::{frames, query};

/// How many lookups were taken and how they ended.
#[derive(Default)]
pub struct Counts {
    pub taken: u64,
    pub satisfied: u64,
    pub nacked: u64,
    pub aborted: u64,
    pub lapsed: u64,
    /// Beyond the most that may be held, before the module saw them.
    pub turned_away: u64,
    pub calls: u64,
}

/// A call's end that the module has yet to be told.
pub struct Return {
    pub key: CallKey,
    pub call: CallOut,
    pub ending: Ending,
}

#[derive(Default)]
pub struct Office {
    pub now: Micros,
    pub bounds: Rc<Bounds>,
    pub ledger: Ledger,
    pub nodes: Nodes,
    pub counts: Counts,
    /// Calls wanted since the last turn, in order; emptied by the send stage.
    pub orders: Vec<CallKey>,
    pub probes: Vec<NodeId>,
    /// Emptied by the next turn.
    pub returns: VecDeque<Return>,
    pub timers: BTreeSet<(Micros, TimerId)>,
    pub watch_wanted: bool,
}

impl Office {
    /// Ends a call: the one way in which it leaves the books. The module hears of it in the next turn.
    pub fn end_call(&mut self, key: CallKey, ending: Ending) {
        let Some(call) = self.ledger.finish(key) else { return };
        match call.place {
            Place::Ordered => self.orders.retain(|order| *order != key),
            Place::Waiting(id) => {
                if let Some(connection) = self.nodes.connection_mut(id) {
                    connection.waiting.iter_mut().for_each(|frame| frame.retain(|of| *of != key));
                    connection.waiting.retain(|frame| !frame.is_empty());
                }
            }
            Place::Queued(id, end) => self.nodes.unload(id, &call.id, end),
        }
        self.returns.push_back(Return { key, call, ending });
    }

    /// Gives a call up: at the node too, if it may have heard of it.
    pub fn give_up(&mut self, key: CallKey, ending: Ending, cancels: bool) {
        let Some(call) = self.ledger.call(key) else { return };
        let written = send::is_written(&self.nodes, call);
        if let (Place::Queued(id, _), true) = (call.place, cancels && written) {
            let frame = frames::give_up(&call.id);
            if let Some(connection) = self.nodes.connection_mut(id) {
                // A buffer too full for it: the node is not reading, and drops the part when its time is up.
                let _ = connection.push(&frame, self.now);
            }
        }
        self.end_call(key, ending);
    }

    /// The one place where a lookup is closed. Nothing of it is sent from here on.
    fn close(&mut self, id: LookupId, status: u16, headers: String, body: String) {
        let Some(held) = self.ledger.close(id) else { return };
        for part in &held.parts {
            let out = self.ledger.out_of(part.id).filter(|(_, call)| !send::is_written(&self.nodes, call));
            let unsent: Vec<CallKey> = out.map(|(key, _)| key).collect();
            unsent.into_iter().for_each(|key| self.end_call(key, Ending::Unsent));
        }
        held.reply.set(status, headers, body);
    }

    /// Its client has left: no answer is due.
    pub fn lapse(&mut self, id: LookupId) {
        self.counts.lapsed += 1;
        self.close(id, 503, String::new(), String::new());
    }
}

impl Actions for Office {
    fn part_call(&mut self, part: PartId, node: NodeId, limit: Micros) {
        if let Some(key) = self.ledger.order(part, node, self.now, limit, self.bounds.dial_timeout) {
            self.counts.calls += 1;
            self.orders.push(key);
        }
    }

    fn answer(&mut self, lookup: LookupId, whole: bool) {
        let Some(held) = self.ledger.lookup(lookup) else { return };
        let values = held.parts.iter().filter_map(|part| Some((part.shard, part.value.as_deref()?)));
        let body = query::answer(whole, values);
        self.counts.satisfied += 1;
        self.close(lookup, 200, String::new(), body);
    }

    fn nack(&mut self, lookup: LookupId, come_back: Micros) {
        self.counts.nacked += 1;
        self.close(lookup, 503, retry_after(come_back), "refused: asking again is harmless\n".into());
    }

    fn abort(&mut self, lookup: LookupId) {
        self.counts.aborted += 1;
        self.close(lookup, 502, String::new(), "failed: it may have had its effect\n".into());
    }

    fn cancel(&mut self, part: PartId, call: CallNo) {
        self.give_up((part, call), Ending::Cancelled, true);
    }

    fn probe(&mut self, node: NodeId) {
        self.probes.push(node);
    }

    fn watch_roster(&mut self) {
        self.watch_wanted = true;
    }

    fn timer(&mut self, delay: Micros, timer: TimerId) {
        self.timers.insert((self.now + delay, timer));
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

/// The header that names a time to come back, where one is advised.
pub fn retry_after(come_back: Micros) -> String {
    if come_back.0 == 0 {
        return String::new();
    }
    format!("Retry-After: {}.{:03}\r\n", come_back.0 / 1_000_000, come_back.0 / 1000 % 1000)
}
