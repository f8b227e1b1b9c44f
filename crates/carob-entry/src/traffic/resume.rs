//! Resumption of an answer by its id.
//!
//! The id contains everything that is needed, so that any instance can resume an answer after the instance
//! that started it has crashed.

use std::sync::Arc;

use carob_config::Config;
use carob_http::listen::Exchange;
use carob_stream::{Delivery, EventIntervals, Generation, Options};
use carob_wire::{Code, Execution, Problem, answer::AnswerId};

use super::{
    admit::{self, Call},
    deliver::{Driver, Job},
    outlet::ResponseWriter,
    place::RequestHandle,
};
use crate::{control::Destination, shared::Shared};

/// Delivers the events of the answer `id`, from the one after `starting_after` on.
pub fn serve(shared: &Arc<Shared>, call: &Call, id: &str, exchange: Exchange) {
    let query = match Query::parse(exchange.query()) {
        Ok(query) => query,
        Err(problem) => return admit::refuse(exchange, &problem),
    };
    let (answer, destination) = match find(shared, call, id) {
        Ok(found) => found,
        Err(problem) => return admit::refuse(exchange, &problem),
    };
    let request = shared.next_id();
    log::info!(
        "stream: request={request} resumes upstream={} after={:?}",
        answer.upstream,
        query.after
    );
    let generation = Generation::from_answer_id(answer.incarnation, answer.engine_id.clone());
    let handle = RequestHandle::resume(shared, request, (answer.upstream, answer.engine_id));
    let job = Job {
        account: call.account.name.clone(),
        create: None,
        destination: Box::new(destination),
    };
    let delivery = Delivery::resume(Options::new(), generation, query.after);
    let response = ResponseWriter::new(exchange, query.stream);
    Driver::new(shared, job, handle, delivery, response).run();
}

/// Finds the upstream that holds the caller's answer `id`.
///
/// # Errors
///
/// Returns the problem with which the caller is refused: the id is malformed or belongs to another account,
/// or its upstream has left.
pub fn find(shared: &Shared, call: &Call, id: &str) -> Result<(AnswerId, Destination), Problem> {
    let unknown = || Problem::not_run(Code::NotFound, "no such answer");
    let answer = AnswerId::decode(id, &shared.options.answer_key).map_err(|_error| unknown())?;
    // Another account's answer is refused like one that does not exist.
    if answer.account != call.account.name.as_str() {
        return Err(unknown());
    }
    let Some(destination) = destination_of(&call.config, &answer.upstream) else {
        let detail = "the upstream that held the answer has left";
        return Err(Problem::new(Code::AnswerLost, Execution::Unknown, detail));
    };
    Ok((answer, destination))
}

fn destination_of(config: &Config, upstream: &str) -> Option<Destination> {
    let upstream = config.upstreams.get(upstream)?;
    Some(Destination {
        upstream: upstream.name.clone(),
        address: upstream.address,
        priority: 0,
        intervals: EventIntervals::new(),
    })
}

struct Query {
    stream: bool,
    after: Option<u64>,
}

impl Query {
    fn parse(text: &str) -> Result<Self, Problem> {
        let mut query = Self {
            stream: false,
            after: None,
        };
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=') {
                Some(("stream", "true")) => query.stream = true,
                Some(("stream", "false")) => query.stream = false,
                Some(("starting_after", number)) => query.after = Some(parse_number(number)?),
                _ => {
                    return Err(Problem::not_run(
                        Code::BadRequest,
                        format!("unknown parameter {pair:?}"),
                    ));
                }
            }
        }
        Ok(query)
    }
}

fn parse_number(text: &str) -> Result<u64, Problem> {
    let number = text.parse().ok().filter(|number| *number < u64::MAX);
    number.ok_or_else(|| {
        let detail = format!("`starting_after` is {text:?}; expected a sequence number");
        Problem::not_run(Code::BadRequest, detail)
    })
}
