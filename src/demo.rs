//! The `demo` subcommand: an entry instance with embedded stand-ins, on loopback, as threads of one process.
//!
//! * [`world`]: the stand-ins, the instance and the ticket that configures it.
//! * [`caller`]: a minimal client.
//! * [`round`]: the scripted sequence of `--once` and its checks.

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

/// Runs the scripted sequence once, or serves until SIGTERM or SIGINT.
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
