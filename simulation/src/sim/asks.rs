//! Clients: what they ask, when, and what they do with what they hear.

use std::hash::Hasher;

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto, Zipf};
use rand_pcg::Pcg64Mcg;
use seahash::SeaHasher;

use super::front::Word;
use super::{exponential, Event, Map, Sim, SECOND, ZERO};
use crate::plan::{Kind, Repeated, Work, World};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AskId(pub u64);

#[derive(Clone, Debug)]
pub struct AskPart {
    pub shard: u32,
    pub weight: f64,
    pub hint: u64,
    pub work: u64,
}

/// One lookup as its client has it, over all its tries.
#[derive(Clone, Debug)]
pub struct Ask {
    pub index: u8,
    pub tenant: u16,
    pub key: u64,
    pub parts: Vec<AskPart>,
    pub deadly: bool,
    /// When it was due; its time counts from here.
    pub due: u64,
    pub tries: u32,
    /// Counts tries and the waits between them; what belongs to an earlier one is over.
    pub step: u32,
    pub router: u32,
    /// When this try was sent, and how long its client waits.
    pub asked: u64,
    pub left: u64,
    pub lookup: Option<ternpick::types::QueryId>,
    client: Option<u32>,
}

pub struct Asks {
    next: u64,
    open: Map<AskId, Ask>,
    /// What is asked and when; and what becomes of tries. Apart, so that no policy changes what is asked.
    chance: Pcg64Mcg,
    by_tries: Pcg64Mcg,
    asked: SeaHasher,
    weights: Vec<f64>,
    keys: Option<Zipf<f64>>,
    tenants: Vec<f64>,
    most_tries: u32,
}

impl Asks {
    pub fn new(world: &World, chance: Pcg64Mcg, by_tries: Pcg64Mcg) -> Asks {
        let c = &world.clients;
        let keys = (c.popular > 0.0)
            .then(|| Zipf::new(c.keys as f64, c.popular).ok())
            .flatten();
        let storms = world
            .troubles
            .iter()
            .filter(|of| of.kind == Kind::RetryStorm);
        let most = storms.map(|of| of.times).fold(1.0, f64::max);
        Asks {
            next: 0,
            open: Map::default(),
            chance,
            by_tries,
            asked: SeaHasher::new(),
            weights: world.indexes.iter().map(|of| of.weight).collect(),
            keys,
            tenants: c.tenants.clone(),
            most_tries: 1 + (f64::from(c.retries) * most) as u32,
        }
    }

    pub fn most_tries(&self) -> u32 {
        self.most_tries
    }

    /// Of all that was asked, and when.
    pub fn digest(&self) -> u64 {
        self.asked.finish()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn get(&self, id: AskId) -> Option<&Ask> {
        self.open.get(&id)
    }

    fn pick(chance: &mut Pcg64Mcg, weights: &[f64]) -> usize {
        let mut left = chance.random::<f64>() * weights.iter().sum::<f64>();
        for (at, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return at;
            }
        }
        weights.len().saturating_sub(1)
    }

    fn draw(
        &mut self,
        world: &World,
        now: u64,
        deadly: impl Fn(u8, f64) -> bool,
        client: Option<u32>,
    ) -> Ask {
        let index = Asks::pick(&mut self.chance, &self.weights);
        let of = &world.indexes[index];
        let key = match &self.keys {
            Some(zipf) => zipf.sample(&mut self.chance) as u64,
            None => self.chance.random_range(0..world.clients.keys),
        };
        let count = self.chance.random_range(of.parts[0]..=of.parts[1]) as usize;
        let shards = rand::seq::index::sample(&mut self.chance, world.shards as usize, count);
        let mut parts: Vec<AskPart> = shards
            .into_iter()
            .map(|shard| {
                let work = draw_work(&of.work, &mut self.chance);
                let off = of.hint.powf(self.chance.random_range(-1.0..=1.0));
                AskPart {
                    shard: shard as u32,
                    weight: 0.0,
                    hint: ((work as f64 * off) as u64).max(1),
                    work,
                }
            })
            .collect();
        let all: f64 = parts.iter().map(|part| part.hint as f64).sum();
        parts
            .iter_mut()
            .for_each(|part| part.weight = part.hint as f64 / all);
        let tenant = Asks::pick(&mut self.chance, &self.tenants) as u16;
        let lot = self.chance.random();
        for number in [now, index as u64, key, u64::from(tenant)] {
            self.asked.write_u64(number);
        }
        parts.iter().for_each(|part| {
            self.asked
                .write_u64(u64::from(part.shard) << 40 | part.work)
        });
        Ask {
            index: index as u8,
            tenant,
            key,
            parts,
            deadly: deadly(index as u8, lot),
            due: now,
            tries: 0,
            step: 0,
            router: 0,
            asked: now,
            left: of.hard,
            lookup: None,
            client,
        }
    }
}

/// What a part takes on a warm, idle core, in microseconds.
pub fn draw_work(of: &Work, chance: &mut Pcg64Mcg) -> u64 {
    let mean = of.mean as f64;
    let drawn = match of.kind.as_str() {
        "fixed" => mean,
        "exponential" => Exp::new(1.0 / mean).map_or(mean, |of| of.sample(chance)),
        // With a tail of 2.2 the mean is scale * 2.2 / 1.2.
        "pareto" => Pareto::new(mean * 1.2 / 2.2, 2.2).map_or(mean, |of| of.sample(chance)),
        _ => {
            let sigma = (1.0 + of.spread * of.spread).ln().sqrt();
            LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma)
                .map_or(mean, |of| of.sample(chance))
        }
    };
    (drawn as u64).max(1)
}

impl Sim<'_> {
    /// Lookups a second that are due now.
    fn rate(&self) -> f64 {
        let c = &self.world.clients;
        let phase = (self.now - ZERO) as f64 / c.wave_every as f64 * std::f64::consts::TAU;
        (c.rate * self.bursts * (1.0 + c.wave * phase.sin())).max(1e-3)
    }

    pub(super) fn due(&mut self, client: Option<u32>) {
        if self.now >= self.ends {
            return;
        }
        if client.is_none() {
            let rate = self.rate();
            let gap = exponential(&mut self.asks.chance, 1e6 / rate);
            self.schedule(self.now + gap, Event::Due(None));
        }
        let deadly = &self.deadly;
        let fatal = |index, lot| {
            deadly
                .values()
                .any(|(of, share)| *of == index && lot < *share)
        };
        let ask = self.asks.draw(self.world, self.now, fatal, client);
        self.asks.next += 1;
        let id = AskId(self.asks.next);
        self.measure.offered(
            self.now,
            &self.world.indexes[usize::from(ask.index)],
            ask.deadly,
        );
        self.asks.open.insert(id, ask);
        self.ask(id);
    }

    /// Sends a try to a router by chance.
    fn ask(&mut self, id: AskId) {
        let (routers, now) = (self.fronts.len() as u32, self.now);
        let router = self.asks.by_tries.random_range(0..routers);
        let patience = self
            .asks
            .by_tries
            .random_range(self.world.clients.patience..=1.0);
        let Some(ask) = self.asks.open.get_mut(&id) else {
            return;
        };
        let hard = self.world.indexes[usize::from(ask.index)].hard;
        ask.tries += 1;
        ask.step += 1;
        (ask.router, ask.asked, ask.lookup) = (router, now, None);
        ask.left = (hard as f64 * patience) as u64;
        let (step, end) = (ask.step, ask.end());
        let delay = self.nearby();
        self.schedule(now + delay, Event::Arrives(id, step));
        self.schedule(end, Event::ClientLeaves(id, step));
    }

    pub(super) fn set_lookup(&mut self, id: AskId, lookup: ternpick::types::QueryId) {
        if let Some(ask) = self.asks.open.get_mut(&id) {
            ask.lookup = Some(lookup);
        }
    }

    /// This try, unless it is over.
    pub(super) fn trying(&self, id: AskId, number: u32) -> Option<&Ask> {
        self.asks.get(id).filter(|ask| ask.step == number)
    }

    pub(super) fn client_leaves(&mut self, id: AskId, number: u32) {
        let Some(ask) = self.trying(id, number) else {
            return;
        };
        let (router, lookup) = (ask.router, ask.lookup);
        if let Some(lookup) = lookup {
            self.client_left(router, lookup);
        }
        self.closes(id, None, false);
    }

    pub(super) fn client_hears(&mut self, id: AskId, number: u32, word: Word) {
        let Some(ask) = self.trying(id, number) else {
            return;
        };
        let more = 1 + (f64::from(self.world.clients.retries) * self.more_retries) as u32;
        let once = self.world.indexes[usize::from(ask.index)].repeat == Repeated::OnceOnly;
        let goes_on = ask.tries < more && self.now < self.ends;
        match word {
            Word::Again => self.ask(id),
            Word::Answered { share, whole } => self.closes(id, Some((share, whole)), false),
            Word::Nacked { come_back } if goes_on => self.tries_again(id, come_back),
            // It may have had its effect: what must never run twice is not asked again.
            Word::Aborted | Word::NoConnection if goes_on && !once => self.tries_again(id, 0),
            Word::Nacked { .. } => self.closes(id, None, true),
            Word::Aborted | Word::NoConnection => self.closes(id, None, false),
        }
    }

    fn tries_again(&mut self, id: AskId, come_back: u64) {
        let back_off = self.world.clients.back_off;
        let wait = come_back
            .max(back_off / 2 + (self.asks.by_tries.random::<f64>() * back_off as f64) as u64);
        let Some(ask) = self.asks.open.get_mut(&id) else {
            return;
        };
        ask.step += 1;
        let number = ask.step;
        self.schedule(self.now + wait, Event::ClientHears(id, number, Word::Again));
    }

    fn closes(&mut self, id: AskId, answer: Option<(f64, bool)>, refused: bool) {
        let Some(ask) = self.asks.open.remove(&id) else {
            return;
        };
        let index = &self.world.indexes[usize::from(ask.index)];
        self.measure.closed(
            self.now, index, ask.due, ask.tries, answer, refused, ask.deadly,
        );
        if ask.client.is_some() {
            let thinks = exponential(&mut self.asks.by_tries, self.world.clients.thinks as f64);
            self.schedule(self.now + thinks, Event::Due(ask.client));
        }
    }

    /// Its router has died, or there is none: heard as a broken connection.
    pub(super) fn connection_breaks(&mut self, id: AskId) {
        let Some(number) = self.asks.get(id).map(|ask| ask.step) else {
            return;
        };
        self.schedule(
            self.now + SECOND / 1000,
            Event::ClientHears(id, number, Word::NoConnection),
        );
    }
}
