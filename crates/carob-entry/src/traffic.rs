//! Handling of one caller's request on a worker thread.
//!
//! * [`admit`]: authentication and route lookup.
//! * [`generate`]: requests for a new answer; [`resume`]: resumption of an answer by its id; [`cancel`]: its
//!   cancellation.
//! * [`deliver`]: the loop that moves bytes between a delivery's connections and the caller.
//! * [`plain`]: calls to plain services; [`claimed`]: those that run at most once.

pub mod admit;
pub mod cancel;
pub mod claimed;
pub mod deliver;
pub mod generate;
pub mod plain;
pub mod resume;

mod answer;
mod count;
mod links;
mod outlet;
pub(crate) mod place;

use std::sync::Arc;

use carob_config::ServiceKind;
use carob_http::listen::Exchange;
use carob_wire::{Code, Problem};

use crate::shared::Shared;

/// Serves one caller's request, on a worker thread.
pub fn serve(shared: &Arc<Shared>, exchange: Exchange) {
    if !shared.is_configured() {
        let problem = Problem::not_run(Code::NotReady, "this instance has no configuration yet");
        return exchange.refuse(&problem.with_retry_after(admit::NOT_READY_RETRY));
    }
    let call = match admit::check(shared, &exchange) {
        Ok(call) => call,
        Err(problem) => return admit::refuse(exchange, &problem),
    };
    match (call.service.kind, call.resource()) {
        (ServiceKind::Plain, _) => plain::serve(shared, &call, exchange),
        (ServiceKind::Generation, admit::Resource::Collection) => generate::serve(shared, &call, exchange),
        (ServiceKind::Generation, admit::Resource::Answer(id)) => resume::serve(shared, &call, id, exchange),
        (ServiceKind::Generation, admit::Resource::Cancel(id)) => cancel::serve(shared, &call, id, exchange),
        (ServiceKind::Generation, admit::Resource::Unknown) => {
            admit::refuse(exchange, &Problem::not_run(Code::NotFound, "no such resource"));
        }
    }
}
