//! Reading the newest value while it is being replaced.

use oatdale_node::Latest;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use tokio::sync::watch;

/// Far longer than a replacement takes.
const LONG: Duration = Duration::from_secs(10);

// A node's status reads the configuration in force twice within one expression, and a new one comes
// into force between the two. If the first read still holds its lock, writer and reader wait for
// each other for ever, and the node gives no request of any kind its end any more.
#[test]
fn a_value_can_be_replaced_between_two_reads_of_one_expression() {
    let tx = watch::Sender::new(Arc::new(1));
    let latest = Latest::from(tx.subscribe());
    let (done_tx, done) = channel();
    thread::spawn(move || {
        let replace = || {
            let (written_tx, written) = channel();
            thread::spawn(move || written_tx.send(tx.send_replace(Arc::new(2))));
            written.recv_timeout(LONG).is_ok()
        };
        let seen = (*latest.get(), replace(), *latest.get());
        done_tx.send(seen)
    });
    assert_eq!(done.recv_timeout(LONG * 2), Ok((1, true, 2)));
}
