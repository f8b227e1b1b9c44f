//! The network thread that all clients of the process share.

use std::{sync::OnceLock, thread};

use tokio::{
    runtime::{Builder, Handle},
    task::AbortHandle,
};

static RUNTIME: OnceLock<Handle> = OnceLock::new();

/// Runs `task` on the network thread.
pub(super) fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
    RUNTIME.get_or_init(start).spawn(task).abort_handle()
}

/// Starts the network thread, which runs until the process ends.
///
/// Panics if the thread or its event queue cannot be created, since the process could not serve anything
/// then.
fn start() -> Handle {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system permits an event queue");
    let handle = runtime.handle().clone();
    thread::Builder::new()
        .name("http-client".to_owned())
        .spawn(move || runtime.block_on(std::future::pending::<()>()))
        .expect("the system permits a thread");
    handle
}
