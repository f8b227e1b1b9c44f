//! The scripted sequence of `demo --once`: each step checks its own outcome.

use std::{
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use carob_load::caller::key::uuid_v7;

use super::{
    caller::{self, Answer},
    world::World,
};
use crate::exit::Exit;

/// Request for a short answer.
const SHORT_REQUEST: &str =
    r#"{"input":"beeswax taper availability","stream":true,"metadata":{"tokens":"40"}}"#;
/// Request for an answer that is still being generated when the instance shuts down.
const LONG_REQUEST: &str =
    r#"{"input":"an Advent liturgy candle quote","stream":true,"metadata":{"tokens":"400"}}"#;
/// Events of the long answer before the instance shuts down.
const EVENTS_BEFORE_SHUTDOWN: u64 = 20;

/// Runs every step, prints whether its outcome was as expected, and closes the instance and the stand-ins.
pub fn run(world: World) -> Exit {
    let mut held = true;
    let mut report = |name: &str, outcome: eyre::Result<String>| {
        let (verdict, detail) = match outcome {
            Ok(detail) => ("held  ", detail),
            Err(error) => ("MISSED", format!("{error:#}")),
        };
        held &= verdict == "held  ";
        println!("{verdict} {name}: {detail}");
    };
    report("ticket", ticket(&world));
    report("answer", short_answer(&world));
    report("order", duplicate_order(&world));
    report("shutdown", shutdown(world));
    if held { Exit::Done } else { Exit::Refused }
}

fn ticket(world: &World) -> eyre::Result<String> {
    let answer = world.submit_ticket()?;
    eyre::ensure!(
        answer.status == 200,
        "refused with status {}: {}",
        answer.status,
        answer.body
    );
    world.wait_ready()?;
    Ok("recorded, and in force at the instance".to_owned())
}

fn short_answer(world: &World) -> eyre::Result<String> {
    let answer = caller::generate(world.instance.caller_address(), SHORT_REQUEST, |_| {})?;
    check(world, &answer, SHORT_REQUEST)?;
    Ok(format!(
        "{} events, equal to what the engine generated",
        answer.events
    ))
}

fn duplicate_order(world: &World) -> eyre::Result<String> {
    let millis = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let key = uuid_v7(millis, &mut rand::rng());
    let first = caller::order(world.instance.caller_address(), &key)?;
    let second = caller::order(world.instance.caller_address(), &key)?;
    let booked = world.orders.bookings().len();
    eyre::ensure!(first.0 == 201, "the order was answered with status {}", first.0);
    eyre::ensure!(
        first == second,
        "the repeat got another answer: {first:?}, then {second:?}"
    );
    eyre::ensure!(booked == 1, "the order was booked {booked} times");
    Ok("sent twice with one key, booked once, same answer".to_owned())
}

fn shutdown(world: World) -> eyre::Result<String> {
    let address = world.instance.caller_address();
    let (started_tx, started_rx) = flume::bounded(1);
    let reader = thread::spawn(move || {
        caller::generate(address, LONG_REQUEST, |events| {
            if events == EVENTS_BEFORE_SHUTDOWN && started_tx.send(()).is_err() {
                log::debug!("demo: the shutdown step no longer waits for the long answer");
            }
        })
    });
    // If the answer fails before that many events, the channel closes; the reader's error is returned below.
    let started = started_rx.recv().is_ok();
    let World {
        store,
        list,
        engines,
        orders,
        instance,
    } = world;
    instance.close();
    let answer = reader
        .join()
        .map_err(|_panic| eyre::eyre!("the caller panicked"))??;
    let expected = engines
        .iter()
        .any(|engine| engine.expected_answer(LONG_REQUEST.as_bytes()) == answer.text);
    eyre::ensure!(started, "the answer ended before the shutdown");
    eyre::ensure!(
        answer.complete && answer.in_order && expected,
        "the answer was cut off after {} events",
        answer.events
    );
    orders.close();
    list.close();
    engines.into_iter().for_each(carob_standin::Engine::close);
    store.close();
    Ok(format!(
        "in the middle of an answer; all {} events came",
        answer.events
    ))
}

fn check(world: &World, answer: &Answer, body: &str) -> eyre::Result<()> {
    eyre::ensure!(
        answer.in_order,
        "sequence numbers are missing, repeated or out of order"
    );
    eyre::ensure!(answer.complete, "the answer's end is missing");
    let mut engines = world.engines.iter();
    let expected = engines.any(|engine| engine.expected_answer(body.as_bytes()) == answer.text);
    eyre::ensure!(expected, "the text differs from what any engine generated");
    Ok(())
}
