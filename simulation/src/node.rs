//! One data node as a queue with so many cores, its warm-up, its cache, and what it says of itself. No clock and no
//! chance of its own: time and drawn work come in, effects go out.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::plan::Nodes;

/// A call as nodes and routers know it; a number that is used again carries another generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    pub call: CallId,
    pub index: u8,
    /// What it takes on a warm, idle core, in microseconds.
    pub work: u64,
    pub key: u64,
    /// When its router waits no longer.
    pub due: u64,
    /// By which a repeat is known, and for how long; none: it runs again.
    pub mark: Option<(u64, u64)>,
    /// It brings down whoever begins it.
    pub deadly: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It runs from now to then.
    Begins(CallId, u64),
    /// Its answer goes out; true: satisfied.
    Answers(CallId, bool),
    /// Refused: it certainly never ran.
    Refuses(CallId),
    /// A repeat of what has begun; dropped without a word.
    Repeats(CallId),
    /// The process dies of this call.
    Falls(CallId),
}

/// What a node says of itself: milliseconds, parts waiting, parts a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub latency: f64,
    pub queue: f64,
    pub rate: f64,
}

/// Weight of the newest part in what a node says of its latency.
const SMOOTHED: f64 = 0.1;

#[derive(Debug)]
pub struct Node {
    pub zone: u16,
    pub cell: u32,
    pub up: bool,
    pub draining: bool,
    /// Counts its starts; what belongs to an earlier one is gone.
    pub epoch: u32,
    /// Zero: long ago.
    pub started: u64,
    /// Nothing moves until then.
    pub stalled: u64,
    pub slow: f64,
    /// An index of which this share fails.
    pub fails: Option<(u8, f64)>,
    pub loses: f64,
    /// Of messages on its links, both ways, this share is lost and sent again.
    pub half_dead: f64,
    pub frozen: bool,
    /// What it says is divided by this.
    pub untrue: f64,
    waiting: VecDeque<Job>,
    running: Vec<(Job, u64)>,
    cache: HashMap<u64, u64>,
    cache_order: VecDeque<(u64, u64)>,
    met: u64,
    /// Marks of parts that have begun; each goes when its window ends.
    marks: HashSet<u64>,
    marks_order: VecDeque<(u64, u64)>,
    arrived: VecDeque<(u64, u64)>,
    latency: f64,
    done_at: VecDeque<u64>,
    said: Report,
    said_at: Option<u64>,
    /// Work done in all, in microseconds, and parts.
    pub worked: u64,
    pub parts: u64,
}

impl Node {
    pub fn new(zone: u16, cell: u32) -> Node {
        Node {
            zone,
            cell,
            up: true,
            draining: false,
            epoch: 0,
            started: 0,
            stalled: 0,
            slow: 1.0,
            fails: None,
            loses: 0.0,
            half_dead: 0.0,
            frozen: false,
            untrue: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            cache_order: VecDeque::new(),
            met: 0,
            marks: HashSet::new(),
            marks_order: VecDeque::new(),
            arrived: VecDeque::new(),
            latency: 0.0,
            done_at: VecDeque::new(),
            said: Report::default(),
            said_at: None,
            worked: 0,
            parts: 0,
        }
    }

    pub fn warmth(&self, now: u64, of: &Nodes) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= of.warm_within {
            return 1.0;
        }
        of.cold + (1.0 - of.cold) * age as f64 / of.warm_within as f64
    }

    /// Parts here, waiting or running.
    pub fn depth(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// What is still to be done here, for one who sees all: microseconds of a core.
    pub fn backlog(&self, now: u64) -> f64 {
        let running: u64 = self
            .running
            .iter()
            .map(|(_, ends)| ends.saturating_sub(now))
            .sum();
        let waiting: u64 = self.waiting.iter().map(|job| job.work).sum();
        running as f64 + waiting as f64 * self.slow
    }

    /// The process ends; what it had is lost and comes back.
    pub fn ends(&mut self) -> Vec<CallId> {
        let lost = self
            .waiting
            .drain(..)
            .chain(self.running.drain(..).map(|(job, _)| job));
        let lost = lost.map(|job| job.call).collect();
        (self.up, self.epoch) = (false, self.epoch + 1);
        lost
    }

    /// A new process, with nothing known and nothing warm.
    pub fn starts(&mut self, now: u64) {
        let Node {
            zone,
            cell,
            epoch,
            worked,
            parts,
            ..
        } = *self;
        *self = Node {
            epoch,
            started: now,
            worked,
            parts,
            ..Node::new(zone, cell)
        };
    }

    /// Whether so much in its first seconds is more than it bears.
    fn overwhelmed(&mut self, now: u64, work: u64, of: &Nodes) -> bool {
        let warmth = self.warmth(now, of);
        if warmth >= 1.0 || of.fall_window == 0 {
            self.arrived.clear();
            return false;
        }
        self.arrived.push_back((now, work));
        while self
            .arrived
            .front()
            .is_some_and(|(at, _)| now - at > of.fall_window)
        {
            self.arrived.pop_front();
        }
        let sent: u64 = self.arrived.iter().map(|(_, work)| work).sum();
        let bears = of.falls_at * warmth * of.cores as f64 * of.fall_window as f64;
        // One part alone brings nobody down.
        self.arrived.len() > 1 && sent as f64 > bears
    }

    /// Whether it surely bears so much more work, for one who sees all.
    pub fn bears(&self, now: u64, work: u64, of: &Nodes) -> bool {
        let warmth = self.warmth(now, of);
        let recent = self
            .arrived
            .iter()
            .filter(|(at, _)| now.saturating_sub(*at) <= of.fall_window);
        let sent: u64 = recent.map(|(_, work)| work).sum();
        let bears = of.falls_at * warmth * of.cores as f64 * of.fall_window as f64;
        warmth >= 1.0 || (sent + 8 * work) as f64 <= bears * 0.5
    }

    pub fn arrives(&mut self, now: u64, job: Job, of: &Nodes, out: &mut Vec<Effect>) {
        if self.overwhelmed(now, job.work, of) {
            return out.push(Effect::Falls(job.call));
        }
        if self.waiting.len() >= of.queue {
            return out.push(Effect::Refuses(job.call));
        }
        self.waiting.push_back(job);
        self.begin(now, of, out);
    }

    /// Begins what waits while a core is free.
    fn begin(&mut self, now: u64, of: &Nodes, out: &mut Vec<Effect>) {
        while self.running.len() < of.cores && self.stalled <= now {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            if of.drops_late && job.due <= now {
                out.push(Effect::Refuses(job.call));
                continue;
            }
            if job
                .mark
                .is_some_and(|(mark, window)| self.has_run(now, mark, window))
            {
                out.push(Effect::Repeats(job.call));
                continue;
            }
            if job.deadly {
                return out.push(Effect::Falls(job.call));
            }
            let saved = if self.meets(job.key, of) {
                of.cache_saves
            } else {
                0.0
            };
            let took = job.work as f64 * (1.0 - saved) * self.slow / self.warmth(now, of);
            let ends = now + (took as u64).max(1);
            self.running.push((job, ends));
            out.push(Effect::Begins(job.call, ends));
        }
    }

    /// Whether what carries a mark has begun within the mark's window; from now on it has.
    fn has_run(&mut self, now: u64, mark: u64, window: u64) -> bool {
        while self
            .marks_order
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            if let Some((_, old)) = self.marks_order.pop_front() {
                self.marks.remove(&old);
            }
        }
        let anew = self.marks.insert(mark);
        if anew {
            self.marks_order.push_back((now + window, mark));
        }
        !anew
    }

    /// Whether a key was met of late; the one unmet longest is forgotten.
    fn meets(&mut self, key: u64, of: &Nodes) -> bool {
        if of.cache_saves == 0.0 {
            return false;
        }
        self.met += 1;
        let known = self.cache.insert(key, self.met).is_some();
        self.cache_order.push_back((self.met, key));
        while self.cache.len() > of.cache_keys || self.cache_order.len() > 4 * of.cache_keys {
            let Some((met, key)) = self.cache_order.pop_front() else {
                break;
            };
            if self.cache.get(&key) == Some(&met) {
                self.cache.remove(&key);
            }
        }
        known
    }

    /// The time of a running part is over; told again later if the node stands still.
    pub fn elapsed(
        &mut self,
        now: u64,
        call: CallId,
        fails: bool,
        of: &Nodes,
        out: &mut Vec<Effect>,
    ) {
        let Some(at) = self.running.iter().position(|(job, _)| job.call == call) else {
            return;
        };
        if self.stalled > now {
            let later = self.stalled + 1;
            self.running[at].1 = later;
            return out.push(Effect::Begins(call, later));
        }
        let (job, _) = self.running.swap_remove(at);
        let took = job.work as f64 * self.slow / self.warmth(now, of);
        self.latency += (took / 1e3 - self.latency) * if self.parts == 0 { 1.0 } else { SMOOTHED };
        self.worked += took as u64;
        self.parts += 1;
        self.done_at.push_back(now);
        while self.done_at.front().is_some_and(|at| now - at > 1_000_000) {
            self.done_at.pop_front();
        }
        out.push(Effect::Answers(call, !fails));
        self.begin(now, of, out);
    }

    /// Whether a running part belongs to the index that fails here.
    pub fn index_of(&self, call: CallId) -> Option<u8> {
        self.running
            .iter()
            .find(|(job, _)| job.call == call)
            .map(|(job, _)| job.index)
    }

    /// The node moves again, or has fewer to do: what waits begins.
    pub fn goes_on(&mut self, now: u64, of: &Nodes, out: &mut Vec<Effect>) {
        self.begin(now, of, out);
    }

    /// Its router waits no longer.
    pub fn cancels(&mut self, now: u64, call: CallId, of: &Nodes, out: &mut Vec<Effect>) {
        self.waiting.retain(|job| job.call != call);
        if of.cancel == "running" {
            self.running.retain(|(job, _)| job.call != call);
            self.begin(now, of, out);
        }
    }

    /// What it says now; figures are taken anew so often. `noise` lies between -1 and 1.
    pub fn report(&mut self, now: u64, noise: f64, of: &Nodes) -> Report {
        let old = self
            .said_at
            .is_none_or(|at| now.saturating_sub(at) >= of.refresh);
        if old && !self.frozen && self.stalled <= now {
            let rate = self
                .done_at
                .iter()
                .filter(|at| now - **at <= 1_000_000)
                .count() as f64;
            let off = (1.0 + noise * of.noise) / self.untrue;
            self.said = Report {
                latency: self.latency * off,
                queue: self.waiting.len() as f64 * off,
                rate,
            };
            self.said_at = Some(now);
        }
        self.said
    }
}
