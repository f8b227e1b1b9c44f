//! The client, against the stand-in for the platform's key-value service.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use carob_standin::store::{Options as StandIn, Store};
use carob_store::{Call, Change, Client, Entry, Expect, Failure, Reply, WatchEvent, client::Options};

const DEADLINE: Duration = Duration::from_secs(1);

fn start() -> (Store, Client) {
    let store = Store::start(&StandIn::default()).expect("a free port");
    let client = Client::new(Options::new(vec![store.address()]));
    (store, client)
}

fn swap(key: &'static str, expect: Expect, value: &'static str) -> Call {
    Call::Swap {
        key: key.into(),
        expect,
        value: value.into(),
        lease: None,
    }
}

fn get(client: &Client, key: &'static str) -> Option<Entry> {
    let call = Call::Get { key: key.into() };
    let Ok(Reply::Entries { entries, .. }) = client.call(&call) else {
        panic!("the store answers");
    };
    entries.into_iter().next()
}

fn done(result: &Result<Reply, Failure>) -> u64 {
    let Ok(Reply::Applied { revision }) = *result else {
        panic!("not carried out: {result:?}");
    };
    revision
}

#[test]
fn swaps_take_effect_only_as_expected() {
    let (store, client) = start();
    let first = done(&client.call(&swap("a", Expect::Absent, "1")));
    let Ok(Reply::Conflict { current: Some(entry) }) = client.call(&swap("a", Expect::Absent, "2")) else {
        panic!("the key exists");
    };
    assert_eq!((entry.value, entry.revision), (Bytes::from("1"), first));
    done(&client.call(&swap("a", Expect::At(first), "3")));
    assert_eq!(get(&client, "a").expect("exists").value, "3");
    store.close();
}

#[test]
fn scans_find_every_key_of_a_prefix_and_deletes_remove_one() {
    let (store, client) = start();
    for key in ["p/a", "p/b", "q/a"] {
        done(&client.call(&swap(key, Expect::Absent, "x")));
    }
    let scan = Call::Scan { prefix: "p/".into() };
    let Ok(Reply::Entries { entries, .. }) = client.call(&scan) else {
        panic!("the store answers");
    };
    let keys: Vec<_> = entries.iter().map(|entry| &entry.key[..]).collect();
    assert_eq!(keys, [b"p/a", b"p/b"]);
    let delete = |revision| Call::Delete {
        key: "p/a".into(),
        revision,
    };
    let stale = client.call(&delete(entries[0].revision + 9));
    assert!(matches!(stale, Ok(Reply::Conflict { .. })));
    done(&client.call(&delete(entries[0].revision)));
    assert_eq!(get(&client, "p/a"), None);
    store.close();
}

#[test]
fn a_lost_reply_is_unknown_and_the_change_is_in() {
    let (store, client) = start();
    store.drop_replies(1);
    assert_eq!(
        client.call(&swap("a", Expect::Absent, "1")),
        Err(Failure::Unknown)
    );
    assert_eq!(get(&client, "a").expect("carried out").value, "1");
    store.close();
}

#[test]
fn an_outage_is_unavailable_and_a_closed_port_not_sent() {
    let (store, client) = start();
    store.set_outage(true);
    assert_eq!(
        client.call(&swap("a", Expect::Absent, "1")),
        Err(Failure::Unavailable)
    );
    let address = store.address();
    store.close();
    let closed = unused(address);
    let client = Client::new(Options::new(vec![closed]));
    assert_eq!(
        client.call(&swap("a", Expect::Absent, "1")),
        Err(Failure::NotSent)
    );
}

/// An address of the same host at which nothing listens.
fn unused(like: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind((like.ip(), 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

#[test]
fn the_next_endpoint_is_tried_when_one_refuses() {
    let (store, _) = start();
    let addresses = vec![unused(store.address()), store.address()];
    let client = Client::new(Options::new(addresses));
    done(&client.call(&swap("a", Expect::Absent, "1")));
    store.close();
}

#[test]
fn an_answer_that_is_not_understood_is_unknown() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut buffer = [0; 4096];
        let _count = stream.read(&mut buffer).expect("a request");
        let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n?!";
        stream.write_all(reply).expect("sent");
    });
    let client = Client::new(Options::new(vec![address]));
    assert_eq!(
        client.call(&swap("a", Expect::Absent, "1")),
        Err(Failure::Unknown)
    );
    server.join().expect("the server ends");
}

#[test]
fn leases_end_with_their_keys() {
    let (store, client) = start();
    let grant = Call::Grant {
        ttl: Duration::from_secs(30),
    };
    let Ok(Reply::Leased { lease, ttl }) = client.call(&grant) else {
        panic!("granted");
    };
    assert_eq!(ttl, Duration::from_secs(30));
    let put = Call::Swap {
        key: "a".into(),
        expect: Expect::Absent,
        value: "1".into(),
        lease: Some(lease),
    };
    done(&client.call(&put));
    let renewed = client.call(&Call::Renew { lease });
    assert!(matches!(renewed, Ok(Reply::Leased { .. })), "{renewed:?}");
    store.expire_leases();
    assert_eq!(get(&client, "a"), None);
    assert_eq!(client.call(&Call::Renew { lease }), Err(Failure::LeaseLapsed));
    store.close();
}

#[test]
fn a_watch_reports_changes_and_ends_at_its_deadline() {
    let (store, client) = start();
    let revision = done(&client.call(&swap("p/a", Expect::Absent, "1")));
    let mut watch = client.watch(b"p/", revision, DEADLINE).expect("opened");
    let change = watch
        .find_map(|notice| match notice {
            WatchEvent::Changes(changes) => changes.into_iter().next(),
            WatchEvent::Compacted => None,
        })
        .expect("the change");
    assert!(
        matches!(&change, Change::Put(entry) if entry.value == "1"),
        "{change:?}"
    );
    assert_eq!(watch.next_revision(), revision + 1);
    store.stall_watches();
    let rest: Vec<_> = watch
        .filter(|notice| *notice != WatchEvent::Changes(Vec::new()))
        .collect();
    assert_eq!(rest, []);
    store.close();
}

/// The reply to a watch is read line by line, and a line was as long as the store liked.
#[test]
fn a_line_of_a_watch_without_end_is_read_until_the_store_ends_it() {
    const LIMIT: u64 = 1 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut options = Options::new(vec![listener.local_addr().expect("it is bound")]);
    options.reply_limit = LIMIT;
    let sender = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the watch connects");
        let mut request = [0; 4096];
        let _count = stream.read(&mut request).expect("a request");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("a head");
        let piece = vec![b'x'; 64 << 10];
        let mut sent = 0;
        while sent < 64 * LIMIT && stream.write_all(&piece).is_ok() {
            sent += piece.len() as u64;
        }
        sent
    });
    let mut watch = Client::new(options)
        .watch(b"/", 1, Duration::from_secs(20))
        .expect("a head");
    let _event = watch.next();
    watch.close();
    let sent = sender.join().expect("it ends");
    assert!(
        sent < 16 * LIMIT,
        "{sent} bytes of one line were taken, the limit of a reply is {LIMIT}"
    );
}
