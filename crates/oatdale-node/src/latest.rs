//! The newest of values that one duty writes and others read.

use std::sync::Arc;
use tokio::sync::watch;
use tokio::sync::watch::error::RecvError;

/// Reads the newest value and lets go of it at once.
///
/// A channel's own `borrow` keeps a lock until the value that it returns is dropped, which for a
/// part of a larger expression is the end of that expression. Read twice there, and a writer that
/// began to wait in between lets no second reader in: writer and reader wait for each other, and
/// with them all duties that read.
///
/// ```
/// use oatdale_node::Latest;
/// use std::sync::Arc;
/// use tokio::sync::watch;
///
/// let tx = watch::Sender::new(Arc::new(1));
/// let latest = Latest::from(tx.subscribe());
/// tx.send_replace(Arc::new(2));
/// assert_eq!(*latest.get(), 2);
/// ```
pub struct Latest<T>(watch::Receiver<Arc<T>>);

impl<T> Latest<T> {
    /// The newest value.
    pub fn get(&self) -> Arc<T> {
        self.0.borrow().clone()
    }

    /// The newest value, of which [`changed`](Latest::changed) then need not tell any more.
    pub fn take(&mut self) -> Arc<T> {
        self.0.borrow_and_update().clone()
    }

    /// Whether there is a value that this reader has not been told of.
    ///
    /// # Errors
    ///
    /// The writer is gone.
    pub fn has_changed(&self) -> Result<bool, RecvError> {
        self.0.has_changed()
    }

    /// Waits for a value that fulfils a condition.
    ///
    /// # Errors
    ///
    /// The writer is gone.
    pub async fn wait_for(&mut self, mut test: impl FnMut(&T) -> bool) -> Result<(), RecvError> {
        self.0.wait_for(|value| test(value)).await.map(drop)
    }

    /// Waits for a value that this reader has not been told of.
    ///
    /// # Errors
    ///
    /// The writer is gone.
    pub async fn changed(&mut self) -> Result<(), RecvError> {
        self.0.changed().await
    }
}

impl<T> Clone for Latest<T> {
    fn clone(&self) -> Self {
        Latest(self.0.clone())
    }
}

impl<T> From<watch::Receiver<Arc<T>>> for Latest<T> {
    fn from(rx: watch::Receiver<Arc<T>>) -> Self {
        Latest(rx)
    }
}
