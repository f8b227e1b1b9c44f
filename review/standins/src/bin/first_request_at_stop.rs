//! LOST: the first request of a connection, taken and run during a planned stop, is cut off without an answer.

use std::{
    io::Write as _,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{Upstream, Workload, client};
use carob_review::{Deployment, Record, finish, has_trouble, request, sleep_until, wait_until};

/// Deadline of the clients of `order-post`.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// `TimeoutMs` of the route.
const TIMEOUT: Duration = Duration::from_millis(1_200);

/// How long the sound runner falls silent: "for a second or so".
const SILENCE: Duration = Duration::from_millis(1_100);

/// From SIGTERM to the connections. The balancer's second question without a 200 comes after it.
const CONNECTED: Duration = Duration::from_millis(1_930);

/// Time that the clients take for a head; `HeaderTimeoutMs` is 3,000.
const HEAD_TIME: Duration = Duration::from_millis(2_900);

/// Clients, each with a connection of its own.
const CLIENTS: usize = 4;

fn main() {
    let mut record = Record::create();
    let deployment = Deployment::start(3);
    let runner = Upstream::start(
        &deployment.store,
        &deployment.ledger,
        "i-7f3a91c2",
        "plain",
        Workload::Plain(Duration::from_millis(15)),
    );
    deployment.configure(1);
    deployment.wait_ready();
    let gateway = &deployment.gateways[0];
    wait_until("the runner is known", || gateway.logged("i-7f3a91c2"));
    // The balancer asks once a second; the signal comes just after a 200.
    thread::sleep(Duration::from_secs(1));
    record.line(&format!("readiness: {}", gateway.is_ready()));
    let signal = Instant::now();
    if has_trouble() {
        gateway.signal("TERM");
        record.line("SIGTERM to the first gateway (GraceS 8)");
    }
    sleep_until(signal + Duration::from_millis(990));
    record.line(&format!("first question of the balancer, 200: {}", gateway.is_ready()));
    sleep_until(signal + CONNECTED);
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let id = format!("order-{number}");
        let order = request(&id, "POST", "/order/1", DEADLINE);
        let head = order.head(&format!("Content-Length: {}", order.body.len()));
        let text = format!("{head}{}", order.body).into_bytes();
        let (first, rest) = text.split_at(head.len() / 2);
        let opened = Instant::now();
        let stream = TcpStream::connect_timeout(&gateway.callers, Duration::from_secs(1));
        let sent = stream.and_then(|mut stream| stream.write_all(first).map(|()| stream));
        match sent {
            Ok(stream) => clients.push((id, opened, stream, rest.to_vec())),
            Err(error) => record.line(&format!("{id}: not sent: {error}")),
        }
    }
    record.line(&format!("{} connections opened, half of a head sent on each", clients.len()));
    sleep_until(signal + Duration::from_millis(1_990));
    record.line(&format!("second question of the balancer, 200: {}", gateway.is_ready()));
    runner.set_answer_pause(SILENCE);
    let threads: Vec<_> = clients
        .into_iter()
        .map(|(id, opened, mut stream, rest)| {
            thread::spawn(move || {
                sleep_until(opened + HEAD_TIME);
                let is_sent = stream.write_all(&rest).is_ok();
                let sent = Instant::now();
                let outcome = client::read(&mut stream, sent + DEADLINE);
                (id, is_sent, sent, Instant::now(), outcome)
            })
        })
        .collect();
    let mut lost = 0;
    for client in threads {
        let Ok((id, is_sent, sent, ended, outcome)) = client.join() else { continue };
        let runs = deployment.ledger.run_count(&id);
        record.line_at(sent, &format!("{id}: last byte sent: {is_sent}"));
        let took = ended - sent;
        record.line_at(
            ended,
            &format!(
                "{id}: status {}, complete {}, after {} ms, {} ms after the signal; run by a runner {runs} times",
                outcome.status,
                outcome.complete,
                took.as_millis(),
                (ended - signal).as_millis()
            ),
        );
        // Read whole and passed on, and neither its timeout nor its deadline was reached.
        lost += usize::from(is_sent && runs > 0 && !outcome.complete && took < TIMEOUT);
    }
    record.line(&format!("requests that were run and whose connection ended without an answer: {lost}"));
    finish(record, deployment, lost > 0);
}
