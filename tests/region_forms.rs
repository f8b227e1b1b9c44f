//! Forms of one request target on the wire, which must not lead to an upstream outside the regions of its route.

mod fleet;

use std::{
    io::Write as _,
    net::{Shutdown, TcpStream},
    time::{Duration, Instant},
};

use carob_platform_standin::{
    client::{self, Request},
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, LONG};
use serde_json::json;

const WORK_TIME: Duration = Duration::from_millis(2);

/// `/read/home/` is in `b` alone, the rest of the host in `a` alone, and the other host is in `a`.
const ROUTES: [Route; 3] = [
    Route::new("/read/", "safe", "plain").with_regions(&["north"]),
    Route::new("/read/home/", "safe", "plain").with_regions(&["south"]),
    Route::new("/", "safe", "plain").with_regions(&["north"]),
];

const SHOP: &str = "Host: shop.example\r\n";
const OTHER: &str = "Host: other.example\r\n";
const TWO: &str = "Host: other.example\r\nHost: shop.example\r\n";
const SAME: &str = "Host: shop.example\r\nHost: shop.example\r\n";

/// Target and host lines of a request, and the upstream that runs it or the status of its refusal.
const CASES: [(&str, &str, Result<&str, u16>); 25] = [
    ("/read/home/1", SHOP, Ok("south")),
    ("/read/home/1", OTHER, Ok("north")),
    ("/read/home/1", "Host: SHOP.Example\r\n", Ok("south")),
    ("/read/home/1", "hOST:shop.example:8080 \r\n", Ok("south")),
    ("/read/home/1", "Host: shop.example.\r\n", Err(404)),
    ("/read/home/1", "Host: [shop.example]\r\n", Err(404)),
    ("/read/home/1", "Host: [::1]:80\r\n", Err(404)),
    ("/read/home/1", "Host:\r\n", Err(404)),
    ("/read/home/1", "", Err(404)),
    ("/read/home", SHOP, Ok("north")),
    ("/read", SHOP, Err(404)),
    ("//read/home/1", SHOP, Err(404)),
    ("/read//home/1", SHOP, Ok("north")),
    ("/read/home//1", SHOP, Ok("south")),
    ("/read/%68ome/1", SHOP, Ok("north")),
    ("/%72ead/home/1", SHOP, Err(404)),
    ("/read/x/../home/1", SHOP, Ok("north")),
    ("/read/home/../1", SHOP, Ok("south")),
    ("/read/home/1?x=/read/2", SHOP, Ok("south")),
    ("http://shop.example/read/home/1", OTHER, Ok("south")),
    ("http://Shop.Example:80/read/home/1?x", OTHER, Ok("south")),
    ("http://other.example/read/home/1", SHOP, Ok("north")),
    ("http://shop.example@other.example/read/home/1", SHOP, Ok("north")),
    ("/read/home/1", TWO, Err(400)),
    ("/read/home/1", SAME, Err(400)),
];

/// Guards against requests that run in the regions of another route by the form in which they name their own.
#[test]
fn no_form_of_a_target_leads_outside_its_regions() {
    let fleet = Fleet::start(1);
    let _north = fleet.start_plain_in("a", "north", WORK_TIME);
    let _south = fleet.start_plain_in("b", "south", WORK_TIME);
    let mut config = config::config(1, &ROUTES, &[CLIENT_KEY]);
    config["Routes"][2]["Host"] = json!("other.example");
    fleet.store.put(config::KEY, &config);
    fleet.wait_ready();
    fleet::wait_until("both upstreams are known", || {
        let gateway = &fleet.gateways[0];
        gateway.logged("\"upstream\":\"north\"") && gateway.logged("\"upstream\":\"south\"")
    });
    let mut failures = Vec::new();
    for (number, (target, hosts, expected)) in CASES.into_iter().enumerate() {
        let id = format!("f{number}");
        let status = send_raw(&fleet, &format!("GET {target} HTTP/1.1\r\n{hosts}"), &id);
        let arrivals = fleet.ledger.arrivals();
        let arrived = arrivals.iter().filter(|arrival| arrival.id == id);
        let arrived: Vec<&str> = arrived.map(|arrival| &*arrival.upstream).collect();
        let is_met = match expected {
            Ok(upstream) => status == 200 && arrived == [upstream],
            Err(refusal) => status == refusal && arrived.is_empty(),
        };
        if !is_met {
            failures.push((target, hosts, status, format!("{arrived:?}")));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Sends a request that begins with `lines`. Returns the status of the answer.
fn send_raw(fleet: &Fleet, lines: &str, id: &str) -> u16 {
    let mut stream = TcpStream::connect(fleet.gateways[0].caller_address).expect("the gateway listens");
    let plain = Request::new(id, "GET", "/")
        .with_key(CLIENT_KEY)
        .with_header("Connection", "close");
    let head = plain.head("Content-Length: 0");
    // Its own request line and host are the first two lines.
    let rest = head.splitn(3, "\r\n").nth(2).expect("a head has more lines");
    let text = format!("{lines}{rest}");
    stream.write_all(text.as_bytes()).expect("the gateway reads");
    let outcome = client::read(&mut stream, Instant::now() + LONG);
    let _closed = stream.shutdown(Shutdown::Both);
    outcome.status
}
