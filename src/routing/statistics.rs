//! Figures of the whole fleet, with which single nodes are compared. Computed anew before rules run if what
//! they rest on has changed.

use crate::types::{EndpointState, LoadMetric};

use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// m over mean o (see `placement`): nodes do a few requests at a time, so one more costs nearly as much as a
/// call.
const REQUEST_COST_RATIO: f64 = 0.8;

/// The fleet's figures at one moment, over its ready nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetStatistics {
    /// Mean of the nodes' cost (o of the cost model), in the unit of the load reports.
    pub(super) mean_node_cost: f64,
    /// What one more request of the mean cost adds (m of the cost model), in the same unit.
    pub(super) request_cost: f64,
    /// The median node's answer latency, in microseconds.
    pub(super) median_latency: Option<f64>,
    /// The median node's answer latency for each request in flight, in microseconds.
    pub(super) median_latency_per_request: f64,
    /// Requests a second that a warm node surely does.
    pub(super) warm_rate: f64,
}

/// What is known of each ready node, as far as it is known.
#[derive(Default)]
struct Samples {
    costs: Vec<f64>,
    latencies_per_request: Vec<f64>,
    latencies: Vec<f64>,
    /// Time of one request, in microseconds.
    work: Vec<f64>,
    rates: Vec<f64>,
}

impl RoutingEngine {
    pub(super) fn compute_statistics(&self) -> FleetStatistics {
        let samples = self.sample_ready_nodes();
        let costs = samples.costs;
        let mean_node_cost = if costs.is_empty() {
            self.shortest_objective_us()
        } else {
            costs.iter().sum::<f64>() / costs.len() as f64
        };
        // What a warm node surely does: one core's work, or the median reported rate; a few are always odd.
        let work = self
            .mean_cost_hint
            .or_else(|| median(samples.work))
            .unwrap_or(self.shortest_objective_us());
        let reported_rate = median(samples.rates).unwrap_or(0.0);
        FleetStatistics {
            mean_node_cost,
            request_cost: mean_node_cost * REQUEST_COST_RATIO,
            median_latency: median(samples.latencies),
            median_latency_per_request: median(samples.latencies_per_request).unwrap_or(0.0),
            warm_rate: reported_rate.max(1e6 / work),
        }
    }

    /// One walk: at thousands of nodes it is most of what a decision costs.
    fn sample_ready_nodes(&self) -> Samples {
        let latency_is_reported = self.config.load_metrics.contains(&LoadMetric::LatencyMs);
        let mut samples = Samples::default();
        for node in self.nodes.values() {
            if node.endpoint.state != EndpointState::Ready {
                continue;
            }
            samples.costs.extend(self.reported_cost(node));
            samples
                .latencies_per_request
                .extend(node.latency_per_request);
            samples.latencies.extend(node.latency);
            samples.work.extend(if latency_is_reported {
                node.reported_load.map(|millis| millis * 1e3)
            } else {
                node.latency
            });
            let rate = node.max_reported_rate;
            samples.rates.extend(Some(rate).filter(|rate| *rate > 0.0));
        }
        samples
    }
}

/// The upper median.
fn median(mut figures: Vec<f64>) -> Option<f64> {
    let middle = figures.len() / 2;
    (!figures.is_empty()).then(|| *figures.select_nth_unstable_by(middle, f64::total_cmp).1)
}
