//! Calls to the store, made by a pool of threads.

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

/// Number of threads that make store calls; several, so that one slow call does not delay the others.
pub const THREADS: usize = 4;

/// A store call to make.
#[derive(Debug)]
pub struct Job {
    /// The component that gets the result.
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
