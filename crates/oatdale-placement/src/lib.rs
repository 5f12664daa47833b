//! Orders to engines under a lease with a fencing number.
