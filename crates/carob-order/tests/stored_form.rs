//! Texts of stored intents, of the lease's value and of the limit's value, which instances of older and newer
//! binaries have to read.

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_order::{
    FencingNumber, Intent, Options, Order, lease, lease::LeaseHolder, limit, order::intent_key,
};
use carob_store::{Call, Entry, Expect, Lease, Reply};

/// An order with the stored form of its intent.
fn intents() -> [(Order, bool, &'static str); 3] {
    [
        (
            Order::LoadModel("m-2".to_owned()),
            false,
            r#"{"fence":7,"order":{"load-model":"m-2"},"settled":false}"#,
        ),
        (
            Order::LoadAdapter("a-1".to_owned()),
            true,
            r#"{"fence":7,"order":{"load-adapter":"a-1"},"settled":true}"#,
        ),
        (
            Order::ChangeRole("prefill".to_owned()),
            false,
            r#"{"fence":7,"order":{"change-role":"prefill"},"settled":false}"#,
        ),
    ]
}

#[test]
fn intents_are_stored_in_these_texts() {
    for (order, settled, stored) in intents() {
        let intent = Intent {
            settled,
            ..Intent::new(FencingNumber(7), order)
        };
        assert_eq!(serde_json::to_string(&intent).expect("JSON"), stored);
        assert_eq!(serde_json::from_str::<Intent>(stored).expect("valid"), intent);
    }
    let upstream = Name::new("kainuu-1").expect("a valid name");
    assert_eq!(intent_key(&upstream), "carob/order/intent/kainuu-1");
}

#[test]
fn the_lease_is_stored_in_this_text() {
    let options = Options::default();
    let mut holder = LeaseHolder::new(Bytes::from_static(b"entry-1"));
    assert!(matches!(
        holder.poll(&options, Time::ZERO),
        Some(Call::Grant { .. })
    ));
    let leased = Reply::Leased {
        lease: Lease(42),
        ttl: options.lease_ttl,
    };
    holder.on_reply(Ok(leased), &options, Time::ZERO);
    let swap = Call::Swap {
        key: Bytes::from_static(b"carob/order/holder"),
        expect: Expect::Absent,
        value: Bytes::from_static(b"entry-1 42"),
        lease: Some(Lease(42)),
    };
    assert_eq!(holder.poll(&options, Time::ZERO), Some(swap));
    // The instance recognizes its own value after a lost reply.
    let current = Entry {
        key: Bytes::from_static(lease::KEY.as_bytes()),
        value: Bytes::from_static(b"entry-1 42"),
        revision: 9,
    };
    let conflict = Reply::Conflict {
        current: Some(current),
    };
    holder.on_reply(Ok(conflict), &options, Time::ZERO);
    let left = std::time::Duration::ZERO;
    assert_eq!(holder.fencing_number(left, Time::ZERO), Some(FencingNumber(9)));
}

#[test]
fn the_limit_is_stored_in_this_text() {
    let interval = std::time::Duration::from_secs(30);
    let key = Bytes::from_static(b"carob/order/next-load");
    assert_eq!(limit::read_next_load(), Call::Get { key: key.clone() });
    let swap = |expect, value: &'static str| Call::Swap {
        key: key.clone(),
        expect,
        value: Bytes::from(value),
        lease: None,
    };
    let (start, call) = limit::reserve_load(None, interval, 1_000);
    assert_eq!((start, call), (2_000, swap(Expect::Absent, "32000")));
    let entry = Entry {
        key: key.clone(),
        value: Bytes::from_static(b"32000"),
        revision: 5,
    };
    let (start, call) = limit::reserve_load(Some(&entry), interval, 1_000);
    assert_eq!((start, call), (32_000, swap(Expect::At(5), "62000")));
}

/// Fails: an instance whose clock is ahead advances the common start time, and the loads of all others wait until
/// their clocks are there.
#[test]
fn a_clock_that_is_ahead_holds_up_the_loads_of_all_instances() {
    const HOUR_MS: u64 = 3_600_000;
    let interval = std::time::Duration::from_secs(1);
    let (_ahead, call) = limit::reserve_load(None, interval, HOUR_MS);
    let Call::Swap { key, value, .. } = call else {
        panic!("a swap: {call:?}");
    };
    let entry = Entry {
        key,
        value,
        revision: 1,
    };
    let (start, _call) = limit::reserve_load(Some(&entry), interval, 0);
    assert!(start < HOUR_MS / 2, "the next load is {start} ms from now");
}
