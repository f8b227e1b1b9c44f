//! Store calls, made one after the other by a few threads.

use std::sync::Arc;

use carob_store::{Call, Client};
use flume::Receiver;

use crate::{
    control::{
        Event,
        stored::{Component, StoreReply},
    },
    shared::Shared,
};

/// Threads that make store calls, so that one slow call does not hold up the others.
pub const THREADS: usize = 4;

/// A store call to make.
#[derive(Debug)]
pub struct Job {
    /// Who asks for it.
    pub component: Component,
    /// The call.
    pub call: Call,
}

/// Makes calls until the channel is closed.
pub fn run(shared: &Arc<Shared>, client: &Client, jobs: &Receiver<Job>) {
    for job in jobs {
        let result = client.call(&job.call);
        if let Err(failure) = &result {
            log::debug!("store: {:?}: {failure}", job.component);
        }
        let reply = StoreReply {
            component: job.component,
            result,
        };
        shared.send_event(Event::StoreReply(reply));
    }
}
