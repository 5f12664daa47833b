//! Slab of requests with generations, so that a stale ticket never refers to a later request.

use crate::request::Ticket;

/// In-flight requests by ticket.
///
/// A slot is reused once its request has ended. The generation in the ticket tells the two requests
/// apart; without it, a late `finish` would end an unrelated request.
pub(crate) struct RequestSlab<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

struct Slot<T> {
    generation: u32,
    item: Option<T>,
}

impl<T> Default for RequestSlab<T> {
    fn default() -> Self {
        RequestSlab::new()
    }
}

impl<T> RequestSlab<T> {
    pub(crate) fn new() -> Self {
        RequestSlab {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }

    pub(crate) fn insert(&mut self, item: T) -> Ticket {
        let slot = self.free.pop().unwrap_or_else(|| self.add_slot());
        let entry = &mut self.slots[slot as usize];
        entry.item = Some(item);
        Ticket {
            slot,
            generation: entry.generation,
        }
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&T> {
        self.slots
            .get(ticket.slot as usize)
            .filter(|slot| slot.generation == ticket.generation)
            .and_then(|slot| slot.item.as_ref())
    }

    pub(crate) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut T> {
        self.slots
            .get_mut(ticket.slot as usize)
            .filter(|slot| slot.generation == ticket.generation)
            .and_then(|slot| slot.item.as_mut())
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let slot = self.slots.get_mut(ticket.slot as usize)?;
        if slot.generation != ticket.generation {
            return None;
        }
        let item = slot.item.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(ticket.slot);
        Some(item)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (Ticket, &mut T)> {
        self.slots.iter_mut().enumerate().filter_map(|(i, slot)| {
            let ticket = Ticket {
                slot: i as u32,
                generation: slot.generation,
            };
            slot.item.as_mut().map(|item| (ticket, item))
        })
    }

    fn add_slot(&mut self) -> u32 {
        self.slots.push(Slot {
            generation: 0,
            item: None,
        });
        u32::try_from(self.slots.len() - 1)
            .expect("admission bounds the number of in-flight requests")
    }
}
