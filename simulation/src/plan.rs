//! Plans and worlds, as written in typed records and as the emulator reads them. Times in microseconds.

use std::path::Path;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};
use ternpick::types::{
    IndexConfig, LoadMetric, LoadReporting, Micros, PlatformConfig, RetrySemantics, ZoneNo,
};
use ternpick_settings::{LoadedSettings, ReadError, Schema};

const SCHEMA: Schema = Schema::new(&[("plan.cue", include_str!("plan.cue"))], "#Plan");

/// Who decides in a day: the module, or a baseline.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Who {
    Design,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    Paper,
    Oracle,
}

/// What a repeat of a part does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeated {
    Idempotent,
    Fingerprinted,
    OnceOnly,
}

/// What can happen to a day.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumIter, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    Crash,
    Vanish,
    Hang,
    Slow,
    FailIndex,
    LoseAnswers,
    HalfDead,
    Partition,
    ZoneLoss,
    Release,
    Deadly,
    Burst,
    RetryStorm,
    ColdRestart,
    DiscoveryDown,
    DiscoveryStale,
    DiscoveryFlaps,
    RouterCrash,
    FrozenReports,
    UntrueReports,
    Drain,
    ClockSkew,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    pub kind: String,
    pub mean: u64,
    pub spread: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Index {
    pub name: String,
    pub weight: f64,
    /// Least and most parts of a lookup.
    pub parts: Vec<u64>,
    pub repeat: Repeated,
    pub window: u64,
    pub work: Work,
    pub soft: u64,
    pub hard: u64,
    pub gain: f64,
    pub late: f64,
    pub least: f64,
    pub hint: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Nodes {
    pub cells: u32,
    pub a_cell: u32,
    pub reach: u32,
    pub cores: usize,
    pub queue: usize,
    pub cold: f64,
    pub warm_within: u64,
    pub falls_at: f64,
    pub fall_window: u64,
    pub restarts_in: u64,
    pub pause: u64,
    pub pause_every: u64,
    pub cache_saves: f64,
    pub cache_keys: usize,
    pub dial_work: u64,
    pub idle_close: u64,
    pub reports: String,
    pub columns: Vec<String>,
    pub refresh: u64,
    pub noise: f64,
    pub cancel: String,
    pub drops_late: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Network {
    pub zones: u16,
    pub within: u64,
    pub across: u64,
    pub loss: f64,
    pub again_after: u64,
    pub dial_within: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Discovery {
    pub lag: u64,
    pub known_age: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Clients {
    pub rate: f64,
    pub closed: usize,
    pub thinks: u64,
    pub wave: f64,
    pub wave_every: u64,
    pub keys: u64,
    pub popular: f64,
    pub tenants: Vec<f64>,
    pub quotas: Vec<f64>,
    pub retries: u32,
    pub back_off: u64,
    pub marks_retries: bool,
    pub patience: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    pub kind: Kind,
    pub at: u64,
    #[serde(rename = "for")]
    pub lasts: u64,
    pub share: f64,
    pub times: f64,
    pub index: u8,
    pub zones: Vec<u16>,
    pub both: bool,
}

impl Trouble {
    /// When what it does itself is over.
    pub fn end(&self) -> u64 {
        self.at + self.lasts
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct World {
    pub name: String,
    pub seconds: u64,
    pub settle: u64,
    pub routers: usize,
    pub shards: u32,
    pub most_held: usize,
    pub most_calls: usize,
    pub second_copies: bool,
    pub indexes: Vec<Index>,
    pub nodes: Nodes,
    pub network: Network,
    pub discovery: Discovery,
    pub clients: Clients,
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub name: String,
    pub policies: Vec<Who>,
    pub loads: Vec<f64>,
    pub seeds: u64,
    pub first_seed: u64,
    pub worlds: Vec<World>,
}

#[derive(Debug, thiserror::Error)]
pub enum BadPlan {
    #[error("{0}")]
    Refused(#[from] ReadError),
    #[error("world '{world}': {what}")]
    Senseless { world: String, what: &'static str },
}

impl Plan {
    pub fn read(path: &Path) -> Result<Plan, BadPlan> {
        Plan::whole(SCHEMA.read_file(path)?)
    }

    pub fn parse(name: &str, text: &str) -> Result<Plan, BadPlan> {
        Plan::whole(SCHEMA.read(name, text)?)
    }

    fn whole(read: LoadedSettings<Plan>) -> Result<Plan, BadPlan> {
        for world in &read.value.worlds {
            world.check().map_err(|what| BadPlan::Senseless {
                world: world.name.clone(),
                what,
            })?;
        }
        Ok(read.value)
    }
}

impl World {
    /// What the definitions cannot say.
    pub fn check(&self) -> Result<(), &'static str> {
        let fits = |index: &Index| matches!(index.parts[..], [least, most] if least <= most && most <= u64::from(self.shards));
        let troubles = || self.troubles.iter();
        match () {
            _ if self.indexes.is_empty() => Err("there is no index"),
            _ if !self.indexes.iter().all(fits) => {
                Err("'parts' is the least and the most parts of a lookup, no more than there are shards")
            }
            _ if self.indexes.iter().any(|index| index.soft > index.hard) => {
                Err("a soft deadline lies behind its hard one")
            }
            _ if self.nodes.reach > self.nodes.cells => Err("'reach' is more than 'cells'"),
            _ if self.settle >= self.seconds => Err("nothing is left after 'settle'"),
            _ if !self.clients.quotas.is_empty()
                && self.clients.quotas.len() != self.clients.tenants.len() =>
            {
                Err("there is a quota for each tenant, or for none")
            }
            _ if troubles().any(|of| usize::from(of.index) >= self.indexes.len()) => {
                Err("a trouble names an index that is not there")
            }
            _ if troubles()
                .any(|of| of.zones.len() != 2 || of.zones.iter().any(|at| *at >= self.network.zones)) =>
            {
                Err("a trouble's zones are two of those that there are")
            }
            _ => Ok(()),
        }
    }

    pub fn node_count(&self) -> usize {
        (self.nodes.cells * self.nodes.a_cell) as usize
    }

    /// Work of a lookup on the mean, in microseconds of a core.
    pub fn mean_work(&self) -> f64 {
        let all: f64 = self.indexes.iter().map(|of| of.weight).sum();
        let of =
            |of: &Index| of.weight * (of.parts[0] + of.parts[1]) as f64 / 2.0 * of.work.mean as f64;
        self.indexes.iter().map(of).sum::<f64>() / all
    }

    /// Lookups a second that the warm fleet can do at most.
    pub fn capacity(&self) -> f64 {
        (self.node_count() * self.nodes.cores) as f64 * 1e6 / self.mean_work()
    }

    /// The same with its clients' rate so many times as high.
    pub fn at_load(&self, load: f64) -> World {
        let mut world = self.clone();
        world.clients.rate *= load;
        world.clients.closed = (world.clients.closed as f64 * load).round() as usize;
        world
    }

    /// The terms of service, as a router of this world reads them.
    pub fn tariff(&self, zone: ZoneNo) -> PlatformConfig {
        let (n, c) = (&self.nodes, &self.clients);
        let row = |of: &Index| IndexConfig {
            latency_objective: Micros(of.soft),
            priority_weight: of.gain,
            retry_semantics: match of.repeat {
                Repeated::Idempotent => RetrySemantics::Idempotent,
                Repeated::Fingerprinted => RetrySemantics::Fingerprinted(Micros(of.window)),
                Repeated::OnceOnly => RetrySemantics::OnceOnly,
            },
            required_weight: 1.0,
            min_weight: of.least,
            second_phase_size: 0,
            has_queries: false,
            ..IndexConfig::default()
        };
        let gauge = |of: &String| match of.as_str() {
            "latency" => LoadMetric::LatencyMs,
            "queue" => LoadMetric::Queue,
            _ => LoadMetric::Rate,
        };
        PlatformConfig {
            indexes: self.indexes.iter().map(row).collect(),
            quotas: c.quotas.clone(),
            over_quota_weight: 0.5,
            router_count: self.routers as f64,
            zone,
            cross_zone_cost: 0.0,
            wasted_work_cost: None,
            shard_group_count: n.cells,
            groups_per_shard: n.reach,
            attempt_cost: Micros(n.dial_work),
            load_metrics: n.columns.iter().map(gauge).collect(),
            load_reporting: match n.reports.as_str() {
                "answers" => LoadReporting::InAnswers,
                "probes" => LoadReporting::InHealthChecks,
                _ => LoadReporting::Off,
            },
            health_checks: n.reports == "probes",
            discovery_is_polled: true,
            max_attempts: Some(self.most_calls),
            hedging: self.second_copies,
            cancellation: n.cancel != "none",
            max_retry_after: Some(Micros(1_000_000)),
            tick: Micros(1000),
            connect_timeout: Micros(self.network.dial_within),
            slow_start_initial_share: n.cold,
            slow_start_duration: Micros(n.warm_within),
            overload_multiple: n.falls_at,
            overload_window: Micros(n.fall_window),
            retry_budget_min: 0.0,
            retry_budget_ratio: 0.0,
            retry_budget_window: None,
        }
    }
}
