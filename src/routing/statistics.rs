//! Fleet-wide figures that single nodes are compared with. They are recomputed before the rules run if their inputs
//! have changed.

use crate::types::{EndpointState, LoadMetric};

use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// The ratio of m to the mean o (see `placement`). Nodes process few requests at a time, so another request costs
/// nearly as much as a call.
const REQUEST_COST_RATIO: f64 = 0.8;

/// Figures over all ready nodes at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetStatistics {
    /// The mean cost of the nodes (o of the cost model), in the unit of the load reports.
    pub(super) mean_node_cost: f64,
    /// The cost that another request of the mean cost adds (m of the cost model), in the same unit.
    pub(super) request_cost: f64,
    /// The answer latency of the median node, in microseconds.
    pub(super) median_latency: Option<f64>,
    /// The median over the nodes of the answer latency per request in flight, in microseconds.
    pub(super) median_latency_per_request: f64,
    /// The number of requests per second that a warm node is sure to serve.
    pub(super) warm_rate: f64,
}

/// The known figures of all ready nodes.
#[derive(Default)]
struct Samples {
    costs: Vec<f64>,
    latencies_per_request: Vec<f64>,
    latencies: Vec<f64>,
    /// The time that one request takes, in microseconds.
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
        // A warm node is sure to serve the work of one core or, if that is more, the median reported rate. The
        // median is used because a few nodes always report unusual rates.
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

    /// Collects all figures in a single pass over the nodes, which is most of the cost of a decision with
    /// thousands of nodes.
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

/// Returns the upper median.
fn median(mut figures: Vec<f64>) -> Option<f64> {
    let middle = figures.len() / 2;
    (!figures.is_empty()).then(|| *figures.select_nth_unstable_by(middle, f64::total_cmp).1)
}
