//! What each tenant may have in hand and per second, and how what there is is shared when it is short. Pure: time
//! comes in, a word comes out. Nothing here turns a lookup away for the load of the nodes (that is the decision
//! module's); it refuses what is beyond a tenant's own terms, and keeps one tenant's flood or storm of repeats from
//! becoming everyone's.
//!
//! ```
//! use ternpick_tenant_limits::{Limits, Terms, Whole};
//! use ternpick::types::{CustomerNo, Micros};
//! let terms = Terms { weight: 1.0, in_hand: 1, per_second: 100.0, burst: 10.0, repeats: 0.2 };
//! let mut limits = Limits::new(vec![terms], Whole { begins: 8, least: 2, most: 100 });
//! assert!(limits.take(Micros(0), CustomerNo(0), false).is_ok());
//! assert!(limits.take(Micros(0), CustomerNo(0), false).is_err()); // one in hand is all it may have
//! limits.given_back(Micros(9000), CustomerNo(0), Micros(9000), false);
//! assert!(limits.take(Micros(9000), CustomerNo(0), false).is_ok());
//! ```

use serde::{Deserialize, Serialize};
use ternpick::types::{CustomerNo, Micros};

/// Repeats saved up at the most, for each lookup's share of them.
const REPEATS_SAVED: f64 = 20.0;
/// The limit is looked at after so many lookups have come back, or so much time.
const WINDOW_COUNT: u32 = 32;
const WINDOW: Micros = Micros(500_000);
/// Where a larger share of a window was late, the limit shrinks to so much of itself.
const LATE_SHARE: f64 = 0.1;
const SHRINKS_TO: f64 = 0.85;
/// It grows by so much of itself, and one, while it is used up and all is in time.
const GROWS_BY: f64 = 0.05;
/// Smoothing of the time that lookups take.
const SMOOTH: f64 = 0.1;

/// What a tenant may have.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Terms {
    /// Its part where the whole is short, against the other tenants'.
    pub weight: f64,
    pub in_hand: usize,
    pub per_second: f64,
    pub burst: f64,
    /// Repeats of clients, for each lookup that is none.
    pub repeats: f64,
}

/// What all tenants together may have in hand: where the limit begins, and between what it moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Whole {
    pub begins: usize,
    pub least: usize,
    pub most: usize,
}

/// Why a lookup is refused, and when to come back (zero: no advice).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("the tenant has as many lookups in hand as it may")]
    InHand { come_back: Micros },
    #[error("the tenant asks more often than it may")]
    Rate { come_back: Micros },
    #[error("the tenant repeats more than it may")]
    Repeats { come_back: Micros },
    #[error("all is in use, and the tenant has its part of it")]
    Share { come_back: Micros },
}

impl Refused {
    pub fn retry_after(self) -> Micros {
        match self {
            Refused::InHand { come_back }
            | Refused::Rate { come_back }
            | Refused::Repeats { come_back }
            | Refused::Share { come_back } => come_back,
        }
    }
}

struct Tenant {
    terms: Terms,
    in_hand: usize,
    /// In hand at another process of this router, while that gives way.
    elsewhere: usize,
    /// Lookups that it may begin at once, and since when that is counted.
    tokens: f64,
    counted: Micros,
    /// Repeats that it may still make.
    repeats: f64,
}

/// All tenants by number, as many as the settings name; nothing grows with lookups.
pub struct Limits {
    tenants: Vec<Tenant>,
    whole: Whole,
    limit: f64,
    in_hand: usize,
    /// The weights of all tenants with something in hand.
    weights: f64,
    window: Window,
    /// What a lookup takes, smoothed.
    takes: Option<Micros>,
}

#[derive(Default)]
struct Window {
    began: Micros,
    count: u32,
    late: u32,
    /// The limit was reached in it.
    used_up: bool,
}

impl Tenant {
    fn new(terms: Terms) -> Self {
        let (tokens, repeats) = (terms.burst, REPEATS_SAVED * terms.repeats);
        Tenant {
            terms,
            in_hand: 0,
            elsewhere: 0,
            tokens,
            counted: Micros(0),
            repeats,
        }
    }

    fn count_up(&mut self, now: Micros) {
        let came = now.since(self.counted).0 as f64 / 1e6 * self.terms.per_second;
        (self.tokens, self.counted) = (
            (self.tokens + came).min(self.terms.burst),
            now.max(self.counted),
        );
    }
}

/// What is counted, for another process: by tenant the lookups that it may begin at once and the repeats that it has
/// left; the limit on all. Without it, bursts and repeats begin anew.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counted {
    pub tenants: Vec<(f64, f64)>,
    pub limit: f64,
    /// Lookups that the other process still has in hand, by tenant.
    pub in_hand: Vec<usize>,
}

impl Limits {
    pub fn counted(&mut self, now: Micros) -> Counted {
        self.tenants
            .iter_mut()
            .for_each(|tenant| tenant.count_up(now));
        Counted {
            tenants: self
                .tenants
                .iter()
                .map(|tenant| (tenant.tokens, tenant.repeats))
                .collect(),
            limit: self.limit,
            in_hand: self.tenants.iter().map(|tenant| tenant.in_hand).collect(),
        }
    }

    /// Goes on from what another process counted, on the same tenants. What it has in hand counts here too, until
    /// [`Limits::other_done`].
    pub fn go_on(&mut self, now: Micros, from: &Counted) {
        let all = self
            .tenants
            .iter_mut()
            .zip(from.tenants.iter().zip(&from.in_hand));
        for (tenant, ((tokens, repeats), in_hand)) in all {
            tenant.tokens = if tokens.is_finite() {
                tokens.clamp(0.0, tenant.terms.burst)
            } else {
                0.0
            };
            tenant.repeats = if repeats.is_finite() {
                repeats.max(0.0)
            } else {
                0.0
            };
            tenant.counted = now;
            tenant.elsewhere = *in_hand;
        }
        if from.limit.is_finite() {
            self.limit = from.limit.clamp(
                self.whole.least as f64,
                self.whole.most.max(self.whole.least) as f64,
            );
        }
    }

    /// The other process has nothing left in hand.
    pub fn other_done(&mut self) {
        self.tenants
            .iter_mut()
            .for_each(|tenant| tenant.elsewhere = 0);
    }

    /// `tenants` by number, from 0.
    pub fn new(tenants: Vec<Terms>, whole: Whole) -> Self {
        Limits {
            tenants: tenants.into_iter().map(Tenant::new).collect(),
            whole,
            limit: whole.begins.clamp(whole.least, whole.most.max(whole.least)) as f64,
            in_hand: 0,
            weights: 0.0,
            window: Window::default(),
            takes: None,
        }
    }

    /// Takes new terms while lookups are in hand; what is counted stays counted. A number that is left out keeps what
    /// it has in hand and may have nothing more.
    pub fn update(&mut self, tenants: Vec<Terms>, whole: Whole) {
        let nothing = Terms {
            weight: 0.0,
            in_hand: 0,
            per_second: 0.0,
            burst: 0.0,
            repeats: 0.0,
        };
        let count = tenants.len().max(self.tenants.len());
        let mut terms = tenants.into_iter();
        for at in 0..count {
            let new = terms.next().unwrap_or_else(|| nothing.clone());
            match self.tenants.get_mut(at) {
                Some(tenant) => {
                    tenant.tokens = tenant.tokens.min(new.burst);
                    tenant.terms = new;
                }
                None => self.tenants.push(Tenant::new(new)),
            }
        }
        (self.whole, self.limit) = (
            whole,
            self.limit.clamp(whole.least as f64, whole.most as f64),
        );
        let active = self.tenants.iter().filter(|tenant| tenant.in_hand > 0);
        self.weights = active.map(|tenant| tenant.terms.weight).sum();
    }

    /// Lookups in hand, of all tenants.
    pub fn in_flight(&self) -> usize {
        self.in_hand
    }

    /// How many may be in hand before shares count.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    pub fn of_tenant(&self, tenant: CustomerNo) -> Option<usize> {
        self.tenants
            .get(usize::from(tenant.0))
            .map(|tenant| tenant.in_hand)
    }

    /// A tenant's part of the limit, among those that have something in hand.
    fn share(&self, of: &Tenant) -> f64 {
        let others = self.weights - if of.in_hand > 0 { of.terms.weight } else { 0.0 };
        self.limit * of.terms.weight / (others + of.terms.weight).max(f64::MIN_POSITIVE)
    }

    /// Takes a lookup in, or says why not; a refused one changes nothing but what repeats were spent.
    pub fn admit(&mut self, now: Micros, tenant: CustomerNo, repeat: bool) -> Result<(), Refused> {
        let at = usize::from(tenant.0);
        let (limit, whole_in_hand) = (self.limit, self.in_hand);
        let soon = self.takes.unwrap_or_default();
        let Some(of) = self.tenants.get_mut(at) else {
            return Err(Refused::InHand {
                come_back: Micros(0),
            });
        };
        of.count_up(now);
        if of.in_hand + of.elsewhere >= of.terms.in_hand {
            return Err(Refused::InHand { come_back: soon });
        }
        if of.tokens < 1.0 {
            let wait = (1.0 - of.tokens) / of.terms.per_second.max(1e-6) * 1e6;
            return Err(Refused::Rate {
                come_back: Micros(wait.ceil() as u64),
            });
        }
        if repeat && of.repeats < 1.0 {
            // Its other lookups save them up; one a smoothed lookup's time is the best guess there is.
            return Err(Refused::Repeats { come_back: soon });
        }
        // Whoever has less than its part is let in even where all is in use: those with more wait until it has
        // drained. All together stay below twice the limit, since parts sum to it.
        let of = &self.tenants[at];
        if whole_in_hand as f64 >= limit {
            self.window.used_up = true;
            let part = self.share(of).max(1.0);
            if of.in_hand as f64 + 1.0 > part || whole_in_hand as f64 >= 2.0 * limit {
                return Err(Refused::Share { come_back: soon });
            }
        }
        let of = &mut self.tenants[at];
        of.tokens -= 1.0;
        of.repeats = match repeat {
            true => of.repeats - 1.0,
            false => {
                (of.repeats + of.terms.repeats).min(REPEATS_SAVED * of.terms.repeats.max(0.05))
            }
        };
        self.weights += if of.in_hand == 0 {
            of.terms.weight
        } else {
            0.0
        };
        of.in_hand += 1;
        self.in_hand += 1;
        Ok(())
    }

    /// A lookup is over: `took` so long, and was `late` or not.
    pub fn release(&mut self, now: Micros, tenant: CustomerNo, took: Micros, late: bool) {
        let Some(of) = self
            .tenants
            .get_mut(usize::from(tenant.0))
            .filter(|of| of.in_hand > 0)
        else {
            return;
        };
        of.in_hand -= 1;
        self.in_hand -= 1;
        if of.in_hand == 0 {
            self.weights = (self.weights - of.terms.weight).max(0.0);
        }
        if self.in_hand == 0 {
            // What rounding has left.
            self.weights = 0.0;
        }
        let before = self.takes.unwrap_or(took);
        self.takes = Some(Micros(before.times(1.0 - SMOOTH).0 + took.times(SMOOTH).0));
        self.window.count += 1;
        self.window.late += u32::from(late);
        if self.window.count >= WINDOW_COUNT || now.since(self.window.began) >= WINDOW {
            self.look(now);
        }
    }

    /// The limit follows what was seen in a window: it shrinks where answers grow late, and grows while it is used up.
    fn look(&mut self, now: Micros) {
        let window = std::mem::replace(
            &mut self.window,
            Window {
                began: now,
                ..Window::default()
            },
        );
        if f64::from(window.late) > LATE_SHARE * f64::from(window.count) {
            self.limit *= SHRINKS_TO;
        } else if window.used_up {
            self.limit += 1.0 + GROWS_BY * self.limit;
        }
        self.limit = self.limit.clamp(
            self.whole.least as f64,
            self.whole.most.max(self.whole.least) as f64,
        );
    }
}
