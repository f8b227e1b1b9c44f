//! The demo: an entry instance before embedded stand-ins, on loopback, as threads of one process.
//!
//! * [`world`]: the stand-ins, the instance and the ticket that configures it.
//! * [`caller`]: a small caller.
//! * [`round`]: the whole round with its outcomes.

mod caller;
mod round;
mod world;

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{
    args::Demo,
    exit::{Exit, failure},
};
use world::World;

/// Runs the demo: once through the whole round, or until interrupted.
pub fn run(args: &Demo) -> eyre::Result<Exit> {
    let world = World::start()?;
    if args.once {
        return Ok(round::run(world));
    }
    world.submit_ticket()?;
    world.wait_ready()?;
    world.print_guide();
    let mut signals =
        Signals::new([SIGINT, SIGTERM]).map_err(|error| failure(Exit::Unreachable, error.to_string()))?;
    signals.forever().next();
    println!("closing: open requests are finished first");
    world.close();
    Ok(Exit::Done)
}
