//! Multicast of bundles within a failure domain.
//!
//! The instances alive form a ring, ordered by short id. Counted from a bundle's origin, the instance at
//! distance `d` forwards the bundle to the instances at distance `d + 2^k` for every `2^k > d`. This is a
//! binomial tree: each of `n` instances receives a bundle once and forwards it to at most log2(n) others.
//! Every fourth bundle traverses the ring in reverse, so that an instance whose parent in the tree is behind
//! a lossy link still receives some. Bundles for the same instance are queued to share datagrams.

use std::collections::BTreeMap;

use carob_peer::Bundle;

/// One bundle of an origin in this many traverses the ring in reverse.
const REVERSE_EVERY: u32 = 4;

/// The instances to which the instance `own_id` forwards `bundle`.
///
/// `ring` is in ascending order and contains `own_id`; nothing is returned if the origin is not in it.
pub(crate) fn children(ring: &[u32], own_id: u32, bundle: &Bundle) -> Vec<u32> {
    let position = |id: u32| ring.binary_search(&id);
    let (Ok(origin), Ok(own)) = (position(bundle.origin), position(own_id)) else {
        return Vec::new();
    };
    let count = ring.len();
    let reverse = bundle.version.is_multiple_of(REVERSE_EVERY);
    let distance = if reverse {
        (origin + count - own) % count
    } else {
        (own + count - origin) % count
    };
    let at = |distance: usize| {
        let offset = if reverse { count - distance } else { distance };
        ring[(origin + offset) % count]
    };
    let steps = std::iter::successors(Some(1), |step| Some(step * 2));
    steps
        .take_while(|step| distance + step < count)
        .filter(|step| *step > distance)
        .map(|step| at(distance + step))
        .collect()
}

/// Bundles queued for sending, by receiver.
#[derive(Clone, Debug, Default)]
pub(crate) struct BundleQueue {
    waiting: BTreeMap<u32, Vec<Bundle>>,
}

impl BundleQueue {
    /// Adds `bundle` for the instance `to`. A later bundle of the same origin does not replace an earlier
    /// one, since each carries only changes.
    pub(crate) fn push(&mut self, to: u32, bundle: Bundle) {
        self.waiting.entry(to).or_default().push(bundle);
    }

    /// Takes the bundles for all instances.
    pub(crate) fn take(&mut self) -> BTreeMap<u32, Vec<Bundle>> {
        std::mem::take(&mut self.waiting)
    }

    /// Takes the bundles for the instance `to`.
    pub(crate) fn take_for(&mut self, to: u32) -> Vec<Bundle> {
        self.waiting.remove(&to).unwrap_or_default()
    }
}
