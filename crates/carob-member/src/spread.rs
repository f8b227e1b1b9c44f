//! How bundles travel within a failure domain.
//!
//! The instances alive form a ring, ordered by short id. Counted from a bundle's origin, the instance at distance
//! `d` passes it on to the instances at distance `d + 2^k` for every `2^k > d`: a binomial tree, in which each
//! instance receives a bundle once and nobody has more than log2 of the instances to send to. Every fourth bundle
//! goes round the other way, so that an instance behind one lossy link is not left out for good. Bundles for the
//! same instance wait for each other and share datagrams.

use std::collections::BTreeMap;

use carob_peer::Bundle;

/// Which bundles of an origin go round the other way.
const REVERSE_EVERY: u32 = 4;

/// The instances to which the instance `own` passes a bundle on; `ring` is ordered and holds `own`.
pub(crate) fn children(ring: &[u32], own: u32, bundle: &Bundle) -> Vec<u32> {
    let position = |id: u32| ring.binary_search(&id);
    let (Ok(origin), Ok(own)) = (position(bundle.origin), position(own)) else {
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

/// Bundles that wait to be sent, by receiver.
#[derive(Clone, Debug, Default)]
pub(crate) struct BundleQueue {
    waiting: BTreeMap<u32, Vec<Bundle>>,
}

impl BundleQueue {
    /// Adds `bundle` for the instance `to`; a later bundle of the same origin does not replace an earlier one,
    /// since each carries only what has changed.
    pub(crate) fn push(&mut self, to: u32, bundle: Bundle) {
        self.waiting.entry(to).or_default().push(bundle);
    }

    /// Takes everything.
    pub(crate) fn take(&mut self) -> BTreeMap<u32, Vec<Bundle>> {
        std::mem::take(&mut self.waiting)
    }

    /// Takes what waits for the instance `to`.
    pub(crate) fn take_for(&mut self, to: u32) -> Vec<Bundle> {
        self.waiting.remove(&to).unwrap_or_default()
    }
}
