//! Orders to engines under a lease and a fencing number.
