//! Small `Copy` keys and the arenas that they index.

use std::marker::PhantomData;
use std::ops::Index;

/// A key into one [`Arena`]; its number is the item's place in the operators' text.
pub trait Key: Copy + Eq + Ord + std::hash::Hash + std::fmt::Debug {
    /// Makes the key of the item at `index`.
    fn from_index(index: usize) -> Self;
    /// The place of the item in its arena.
    fn index(self) -> usize;
}

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
        pub struct $name(u16);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                $name(u16::try_from(index).expect("the checker bounds every arena"))
            }

            fn index(self) -> usize {
                usize::from(self.0)
            }
        }
    };
}

key!(
    /// Names a service.
    ServiceKey
);
key!(
    /// Names a model.
    ModelKey
);
key!(
    /// Names one version of one model.
    VersionKey
);
key!(
    /// Names a customer.
    CustomerKey
);
key!(
    /// Names an endpoint.
    EndpointKey
);
key!(
    /// Names a pool of endpoints.
    PoolKey
);
key!(
    /// Names a failure domain.
    DomainKey
);

/// A dense list of items, each reached by a key of its own type.
#[derive(Clone, PartialEq, Debug)]
pub struct Arena<K, T> {
    items: Vec<T>,
    key: PhantomData<K>,
}

impl<K: Key, T> Arena<K, T> {
    /// Adds an item and returns its key.
    pub fn push(&mut self, item: T) -> K {
        self.items.push(item);
        K::from_index(self.items.len() - 1)
    }

    /// The item of a key, unless the key comes from a longer arena.
    pub fn get(&self, key: K) -> Option<&T> {
        self.items.get(key.index())
    }

    /// The item of a key, to be completed while the text is checked.
    pub(crate) fn get_mut(&mut self, key: K) -> &mut T {
        &mut self.items[key.index()]
    }

    /// How many items there are.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// All items with their keys, in the order of the text.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.items
            .iter()
            .enumerate()
            .map(|(index, item)| (K::from_index(index), item))
    }

    /// All keys, in the order of the text.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, T> {
        (0..self.items.len()).map(K::from_index)
    }

    /// The key of the first item that satisfies `pred`.
    pub fn find(&self, pred: impl Fn(&T) -> bool) -> Option<K> {
        self.items.iter().position(pred).map(K::from_index)
    }
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Arena {
            items: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: Key, T> Index<K> for Arena<K, T> {
    type Output = T;

    fn index(&self, key: K) -> &T {
        &self.items[key.index()]
    }
}
