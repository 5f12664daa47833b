//! Nemesis: injects faults drawn from the run's seed.

use super::{NODES, Run, WORKLOAD_DURATION, baseline_faults, node_name};
use oatdale_fakes::KvFaults;
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

impl Run {
    pub(crate) async fn run_nemesis(self: Arc<Self>) {
        let mut rng = self.rng(400);
        let mut incarnation = 0;
        while self.start.elapsed() < WORKLOAD_DURATION {
            sleep(random_millis(&mut rng, 150, 500)).await;
            let node = rng.random_range(0..NODES);
            let name = node_name(node);
            let fault_duration = random_millis(&mut rng, 100, 2_500);
            self.count_in_flight();
            match rng.random_range(0..4) {
                0 => {
                    incarnation += 1;
                    self.kill(node, incarnation);
                }
                1 => {
                    self.observations().pauses += 1;
                    self.kv.pause(&name);
                    sleep(fault_duration).await;
                    self.kv.resume(&name);
                }
                2 => {
                    self.observations().partitions += 1;
                    self.kv.cut(&name);
                    sleep(fault_duration).await;
                    self.kv.mend(&name);
                }
                _ => self.outage(fault_duration / 2).await,
            }
        }
    }

    /// Replaces a node by a new one. The old node's memory is lost; its writes may still arrive.
    fn kill(&self, index: usize, incarnation: u64) {
        let replacement = self.new_node(index, incarnation);
        let mut nodes = self.nodes.lock().unwrap();
        let old = std::mem::replace(&mut nodes[index], replacement);
        old.task.abort();
        self.observations().kills += 1;
    }

    async fn outage(&self, fault_duration: Duration) {
        self.observations().outages += 1;
        self.kv.set_faults(KvFaults {
            outage: true,
            ..baseline_faults()
        });
        sleep(fault_duration).await;
        self.kv.set_faults(baseline_faults());
    }

    /// Adds the requests in flight at this fault to the total.
    fn count_in_flight(&self) {
        let mut observations = self.observations();
        observations.in_flight_at_faults += observations.in_flight;
    }
}

fn random_millis(rng: &mut impl Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}
