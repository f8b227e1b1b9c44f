//! Cancellation of an answer by its id.

use std::{sync::Arc, time::Duration};

use carob_http::{Headers, client, listen::Exchange};
use carob_wire::{Code, Execution, Problem};
use serde_json::{Value, json};

use super::{
    admit::{self, Call},
    deliver::ENGINE_PATH,
    resume,
};
use crate::{io::cancel::Task, shared::Shared};

/// Time limit of the call to the engine, for which the caller waits.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Cancels the answer `id` at its engine.
pub fn serve(shared: &Arc<Shared>, call: &Call, id: &str, exchange: Exchange) {
    let (answer, destination) = match resume::find(shared, call, id) {
        Ok(found) => found,
        Err(problem) => return admit::refuse(exchange, &problem),
    };
    let path = format!("{ENGINE_PATH}/{}/cancel", answer.engine_id);
    let request = client::Request::post(destination.address, &path, "").with_deadline(CANCEL_TIMEOUT);
    match client::call(&request) {
        Ok(response) if response.status < 300 => {
            log::info!(
                "stream: cancelled upstream={} by its caller",
                destination.upstream
            );
            let headers = Headers::new().with("content-type", "application/json");
            let body = json!({ "id": id, "object": "response", "status": status_of(&response.body) });
            exchange.respond(200, &headers, body.to_string());
        }
        Ok(response) if matches!(response.status, 404 | 410) => {
            let problem = Problem::new(Code::NotFound, Execution::Done, "the answer has ended");
            admit::refuse(exchange, &problem);
        }
        Ok(_) | Err(_) => {
            let generation = carob_stream::Generation::from_answer_id(answer.incarnation, answer.engine_id);
            shared.cancel(Task::cancel(&destination, generation));
            let detail = "the engine has not confirmed; the cancellation is repeated";
            admit::refuse(
                exchange,
                &Problem::new(Code::UpstreamFailed, Execution::Unknown, detail),
            );
        }
    }
}

/// The answer's status as the engine reports it: one that had ended before keeps its status. `cancelled` if
/// the engine reports none.
fn status_of(body: &[u8]) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    value["status"].as_str().unwrap_or("cancelled").to_owned()
}
