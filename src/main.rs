//! The `carobhaven` command.

fn main() {}
