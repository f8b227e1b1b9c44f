//! Serves requests that start a generation, as opposed to resuming one.

use std::sync::Arc;

use carob_http::listen::Exchange;
use carob_route::submit::Request;
use carob_stream::{Delivery, Mode, Options};
use carob_suspect::Fingerprint;
use carob_wire::{Code, Problem, create::CreateRequest, header};

use super::{
    admit::{self, Call},
    deliver::{Driver, Job},
    outlet::ResponseWriter,
    place::{Decision, RequestHandle},
};
use crate::shared::Shared;

/// Obtains a placement for the request and delivers its answer.
pub fn serve(shared: &Arc<Shared>, call: &Call, mut exchange: Exchange) {
    let create = match CreateRequest::parse(exchange.take_body()) {
        Ok(create) => create,
        Err(error) => {
            let problem = Problem::not_run(Code::BadRequest, error.to_string());
            return admit::refuse(exchange, &problem);
        }
    };
    let options = match delivery_options(call, &create, &exchange) {
        Ok(options) => options,
        Err(problem) => return admit::refuse(exchange, &problem),
    };
    let request = route_request(shared, call, &create);
    let fingerprint = Fingerprint::new(&call.service.name, &create.body);
    let handle = RequestHandle::submit(shared, request, fingerprint);
    let destination = match handle.wait(|| exchange.is_disconnected()) {
        Decision::Send(destination) => destination,
        Decision::Refuse(problem) => {
            handle.finish(carob_route::End::Cancelled { tokens: 0 }, None);
            return admit::refuse(exchange, &problem);
        }
        Decision::CallerGone => return handle.finish(carob_route::End::Cancelled { tokens: 0 }, None),
    };
    let response = ResponseWriter::new(exchange, create.stream);
    let job = Job {
        account: call.account.name.clone(),
        create: Some(create),
        destination,
    };
    Driver::new(shared, job, handle, Delivery::new(options), response).run();
}

/// Options of the delivery. A streamed answer is passed on as it is generated, unless the caller asks for
/// buffered delivery.
fn delivery_options(call: &Call, create: &CreateRequest, exchange: &Exchange) -> Result<Options, Problem> {
    let mode_name = exchange.header(header::DELIVERY).unwrap_or("stream");
    let mode = match mode_name {
        "stream" if create.stream => Mode::Stream,
        "stream" | "whole" => Mode::Buffered,
        _ => {
            let detail = format!(
                "`{}` is {mode_name:?}; expected `stream` or `whole`",
                header::DELIVERY
            );
            return Err(Problem::not_run(Code::BadRequest, detail));
        }
    };
    let mut options = Options::new().with_mode(mode);
    options.rerun_window = options.rerun_window.max(call.service.response_timeout);
    Ok(options)
}

fn route_request(shared: &Shared, call: &Call, create: &CreateRequest) -> Request {
    Request::new(
        shared.next_id(),
        call.service.name.clone(),
        call.account.name.clone(),
    )
    .with_tokens(create.prompt_tokens, create.max_tokens)
    .with_prefix(create.prefix_hashes.clone())
    .with_idempotent(call.route.idempotent)
}
