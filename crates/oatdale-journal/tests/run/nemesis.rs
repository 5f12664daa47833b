//! Brings faults about, drawn from the run's seed.

use super::{CALLING, NODES, Run, node_name, usual_faults};
use oatdale_fakes::KvFaults;
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

impl Run {
    pub(crate) async fn nemesis(self: Arc<Self>) {
        let mut rng = self.rng(400);
        let mut incarnation = 0;
        while self.start.elapsed() < CALLING {
            sleep(millis(&mut rng, 150, 500)).await;
            let node = rng.random_range(0..NODES);
            let name = node_name(node);
            let span = millis(&mut rng, 100, 2_500);
            self.hit();
            match rng.random_range(0..4) {
                0 => {
                    incarnation += 1;
                    self.kill(node, incarnation);
                }
                1 => {
                    self.seen().pauses += 1;
                    self.kv.pause(&name);
                    sleep(span).await;
                    self.kv.resume(&name);
                }
                2 => {
                    self.seen().cuts += 1;
                    self.kv.cut(&name);
                    sleep(span).await;
                    self.kv.mend(&name);
                }
                _ => self.outage(span / 2).await,
            }
        }
    }

    /// Replaces a node by a fresh one; what it knew is gone, and what it sent may still arrive.
    fn kill(&self, index: usize, incarnation: u64) {
        let fresh = self.new_node(index, incarnation);
        let mut nodes = self.nodes.lock().unwrap();
        let old = std::mem::replace(&mut nodes[index], fresh);
        old.task.abort();
        self.seen().kills += 1;
    }

    async fn outage(&self, span: Duration) {
        self.seen().outages += 1;
        self.kv.set_faults(KvFaults {
            outage: true,
            ..usual_faults()
        });
        sleep(span).await;
        self.kv.set_faults(usual_faults());
    }

    fn hit(&self) {
        let mut seen = self.seen();
        seen.hit += seen.under_way;
    }
}

fn millis(rng: &mut impl Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}
