//! Values that undo what they stand for when they are dropped: a request's future may be dropped at any point.

use std::rc::Rc;

use carob_dispatch::fleet::{RequestSize, RunKey, UpstreamKey, WaitKey};

use super::shared::Shared;

/// A request that is being handled.
pub(super) struct Active(Rc<Shared>);

impl Active {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        shared.begin();
        Self(Rc::clone(shared))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// A request's place at an upstream.
pub(super) struct Run {
    shared: Rc<Shared>,
    pub(super) upstream: UpstreamKey,
    key: RunKey,
    pub(super) size: RequestSize,
}

impl Run {
    /// Takes a place at `upstream`.
    pub(super) fn new(shared: &Rc<Shared>, upstream: UpstreamKey, size: RequestSize) -> Self {
        let key = shared.fleet_mut().start_request(upstream, size);
        Self::with_key(shared, upstream, key, size)
    }

    /// Keeps a place that was taken before.
    pub(super) fn with_key(
        shared: &Rc<Shared>,
        upstream: UpstreamKey,
        key: RunKey,
        size: RequestSize,
    ) -> Self {
        shared.changed.notify_one();
        Self {
            shared: Rc::clone(shared),
            upstream,
            key,
            size,
        }
    }

    /// Corrects what the request takes.
    pub(super) fn resize(&mut self, size: RequestSize) {
        self.size = size;
        self.shared.fleet_mut().resize(self.key, size);
        self.shared.changed.notify_one();
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.shared.fleet_mut().finish_request(self.key);
        self.shared.changed.notify_one();
        self.shared.grant();
    }
}

/// A place in the line.
pub(super) struct Wait {
    shared: Rc<Shared>,
    key: WaitKey,
}

impl Wait {
    pub(super) fn new(shared: &Rc<Shared>, key: WaitKey) -> Self {
        Self {
            shared: Rc::clone(shared),
            key,
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.shared.abandon(self.key);
    }
}
