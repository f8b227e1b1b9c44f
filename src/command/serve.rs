//! The `serve` subcommand.

use carob_entry::{Instance, Options};
use carob_settings::Settings;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{
    args::Serve,
    exit::{Exit, failure},
};

/// Runs an entry instance until SIGTERM or SIGINT, then finishes its open requests. Later signals change nothing.
///
/// SIGHUP, by which a gateway reloads its settings, has no effect; unhandled, it would end the process at once.
pub fn run(args: &Serve) -> eyre::Result<Exit> {
    let settings = super::check::load(&args.settings)?;
    log::set_max_level(settings.log.level.min(log::max_level()));
    let mut signals =
        Signals::new([SIGHUP, SIGINT, SIGTERM]).map_err(|error| failure(Exit::Usage, error.to_string()))?;
    let instance =
        Instance::start(options(settings)).map_err(|error| failure(Exit::Usage, error.to_string()))?;
    while signals.forever().next() == Some(SIGHUP) {
        log::info!("entry: SIGHUP has no effect; settings are read at the start");
    }
    instance.close();
    Ok(Exit::Done)
}

fn options(settings: Settings) -> Options {
    let identity = settings.instance;
    let mut options = Options::new(identity.name, identity.domain, identity.region);
    options.leave_delay = identity.leave_delay;
    options.caller_listener = settings.callers;
    options.admin_address = settings.admin.address;
    options.operator_key = settings.admin.key.map(|key| key.bytes().clone());
    options.peer_address = settings.peers.address;
    options.peer_key = settings.peers.key.bytes().clone();
    options.store_addresses = settings.store.endpoints;
    options.store_timeout = settings.store.timeout;
    options.list_address = settings.list.address;
    options.answer_key = settings.answers.key.bytes().clone();
    options.poll_interval = settings.upstreams.poll_interval;
    options.seed = rand::random();
    options
}
