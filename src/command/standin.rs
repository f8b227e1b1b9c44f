//! The `standin` subcommand: runs one stand-in as a separate process.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use carob_standin::{Engine, List, Orders, Store, engine, list, orders, store};

use crate::{
    args::Standin,
    exit::{Exit, failure},
};

/// Starts the stand-in, prints its address and serves until SIGTERM or SIGINT.
pub fn run(args: &Standin) -> eyre::Result<Exit> {
    match args.kind.as_str() {
        "engine" => {
            let options = engine::Options {
                address: args.address,
                ..engine::Options::default()
            };
            let engine = Engine::start(options)?;
            serve_until_signal(engine.address())?;
            engine.close();
        }
        "list" => {
            let list = List::start(&list::Options {
                address: args.address,
                ..list::Options::default()
            })?;
            serve_until_signal(list.address())?;
            list.close();
        }
        "orders" => {
            let orders = Orders::start(&orders::Options {
                address: args.address,
                ..orders::Options::default()
            })?;
            serve_until_signal(orders.address())?;
            orders.close();
        }
        "store" => {
            let store = Store::start(&store::Options {
                address: args.address,
                ..store::Options::default()
            })?;
            serve_until_signal(store.address())?;
            store.close();
        }
        other => {
            let text = format!("unknown stand-in {other:?}; expected store, list, engine or orders");
            return Err(failure(Exit::Usage, text));
        }
    }
    Ok(Exit::Done)
}

fn serve_until_signal(address: std::net::SocketAddr) -> eyre::Result<()> {
    println!("{address}");
    let mut signals =
        Signals::new([SIGINT, SIGTERM]).map_err(|error| failure(Exit::Unreachable, error.to_string()))?;
    signals.forever().next();
    Ok(())
}
