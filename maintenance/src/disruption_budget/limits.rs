//! The operators' settings of the disruption budget.

use serde::{Deserialize, Serialize};

/// The maximum number of machines out at a time, independent of the settings: every router has to know all of them.
pub(crate) const MAX_MACHINES_OUT: usize = 128;

/// The settings of the disruption budget. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The minimum number of healthy holders of each shard set. The budget raises it to two for sets with more than two
    /// holders, and always keeps at least one.
    #[serde(rename = "keep")]
    pub min_holders: usize,
    /// The minimum share of each zone's machines that stays healthy and in service.
    #[serde(rename = "zone_share")]
    pub min_zone_share: f64,
    /// The maximum share of all machines that may be out at a time; one machine always may.
    #[serde(rename = "most_out")]
    pub max_out_share: f64,
    /// The capacity of one machine in shard requests per second. If it is not known (`None`), only late queries
    /// indicate an overload.
    #[serde(rename = "per_node")]
    pub node_capacity: Option<f64>,
    /// The expected growth of the load beyond the measured load; 0.25 stands for a quarter more.
    #[serde(rename = "growth")]
    pub load_growth: f64,
    /// The number of machines kept as a reserve for unplanned failures.
    #[serde(rename = "reserve")]
    pub reserve_nodes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            min_holders: 2,
            min_zone_share: 0.5,
            max_out_share: 0.2,
            node_capacity: None,
            load_growth: 0.25,
            reserve_nodes: 1,
        }
    }
}

impl Limits {
    /// How many machines may be out at a time if the cluster has `machines` machines.
    pub fn max_out(&self, machines: usize) -> usize {
        ((self.max_out_share * machines as f64) as usize).clamp(1, MAX_MACHINES_OUT)
    }

    /// The number of healthy machines needed for a load in shard requests per second; 0 if the capacity of a machine is
    /// not known.
    pub(super) fn machines_for(&self, load: f64) -> usize {
        match self.node_capacity {
            Some(capacity) if capacity > 0.0 => {
                (load * (1.0 + self.load_growth) / capacity).ceil() as usize + self.reserve_nodes
            }
            _ => 0,
        }
    }
}
