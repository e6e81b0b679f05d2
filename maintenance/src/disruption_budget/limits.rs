//! The operators' settings of the disruption budget.

use serde::{Deserialize, Serialize};

/// The most machines out at a time, whatever the settings say: every router has to know all of them.
pub(crate) const MAX_MACHINES_OUT: usize = 128;

/// The operators' settings. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Healthy holders of each set at the least. Never fewer than two where there are more, and never none.
    #[serde(rename = "keep")]
    pub min_holders: usize,
    /// The share of each zone's machines that stays healthy.
    #[serde(rename = "zone_share")]
    pub min_zone_share: f64,
    /// The share of all machines that may be out at a time; one always may.
    #[serde(rename = "most_out")]
    pub max_out_share: f64,
    /// What one machine serves, in shard requests a second. `None`: not known; then only late answers tell of overload.
    #[serde(rename = "per_node")]
    pub node_capacity: Option<f64>,
    /// How much the load is expected to grow beyond the measured: 0.25 is a quarter more.
    #[serde(rename = "growth")]
    pub load_growth: f64,
    /// Unplanned failures for which capacity is kept, in machines.
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
    /// How many machines of a fleet of this size may be out at a time.
    pub fn max_out(&self, machines: usize) -> usize {
        ((self.max_out_share * machines as f64) as usize).clamp(1, MAX_MACHINES_OUT)
    }

    /// Healthy machines that a load needs, in shard requests a second. None while a machine's capacity is not known.
    pub(super) fn machines_for(&self, load: f64) -> usize {
        match self.node_capacity {
            Some(capacity) if capacity > 0.0 => {
                (load * (1.0 + self.load_growth) / capacity).ceil() as usize + self.reserve_nodes
            }
            _ => 0,
        }
    }
}
