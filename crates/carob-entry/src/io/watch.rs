//! Watches of the configuration's head in the store.

use std::{sync::Arc, time::Duration};

use carob_store::Client;
use carob_ticket::{follow, head::HEAD_KEY};
use flume::Receiver;

use crate::{control::Event, shared::Shared};

/// A watch to open.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// First revision of the store to report.
    pub from: u64,
    /// Lifetime of the watch.
    pub lifetime: Duration,
}

/// Opens watches and passes on what they report, until the channel is closed.
pub fn run(shared: &Arc<Shared>, client: &Client, jobs: &Receiver<Job>) {
    for job in jobs {
        let end = match client.watch(HEAD_KEY, job.from, job.lifetime) {
            Ok(mut watch) => {
                for event in watch.by_ref() {
                    shared.send_event(Event::Follow(follow::Event::WatchReported(event)));
                }
                Ok(watch.next_revision())
            }
            Err(failure) => Err(failure),
        };
        shared.send_event(Event::Follow(follow::Event::WatchEnded(end)));
    }
}
