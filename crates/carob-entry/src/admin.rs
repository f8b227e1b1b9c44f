//! The operators' interface.
//!
//! * `GET /healthz`: whether the process runs.
//! * `GET /readyz`: whether the instance serves requests.
//! * `GET /metrics`: metrics in the Prometheus text format.
//! * `GET /status`: upstreams, peers, configuration and queues, as JSON.
//! * `POST /tickets`: submits a change ticket; `GET /tickets/NUMBER`: the outcome of one.

use std::{sync::Arc, time::Duration};

use carob_http::admin::{AdminRequest, AdminResponse};
use carob_store::Client;
use serde_json::json;

use crate::{
    control::Event,
    shared::{Phase, Shared},
};

pub(crate) mod metrics;
mod status;
mod tickets;

/// Maximum wait for an answer of the control thread.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles operators' requests.
#[derive(Debug)]
pub struct Handler {
    shared: Arc<Shared>,
    client: Arc<Client>,
}

impl Handler {
    /// A handler that submits tickets to the store through `client`.
    pub const fn new(shared: Arc<Shared>, client: Arc<Client>) -> Self {
        Self { shared, client }
    }

    /// Handles one request.
    pub fn handle(&self, request: &AdminRequest) -> AdminResponse {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => AdminResponse::text(200, "ok\n"),
            ("GET", "/readyz") => self.ready(),
            ("GET", "/metrics") => AdminResponse::text(200, metrics::render()),
            ("GET", "/status") => self.status(),
            ("POST", "/tickets") => tickets::submit(&self.shared, &self.client, request),
            ("GET", path) if path.starts_with("/tickets/") => tickets::find(&self.shared, request),
            _ => error(404, "no such resource"),
        }
    }

    fn ready(&self) -> AdminResponse {
        match self.shared.phase() {
            Phase::Ready => AdminResponse::text(200, "ready\n"),
            Phase::Starting => AdminResponse::text(503, "no configuration yet\n"),
            Phase::Leaving | Phase::Closed => AdminResponse::text(503, "leaving\n"),
        }
    }

    fn status(&self) -> AdminResponse {
        let (reply, status) = flume::bounded(1);
        self.shared.send_event(Event::Status { reply });
        match status.recv_timeout(CONTROL_TIMEOUT) {
            Ok(status) => AdminResponse::json(200, status::render(&self.shared, &status)),
            Err(_) => error(503, "the control thread does not answer"),
        }
    }
}

/// A JSON response with an error's text.
fn error(status: u16, detail: &str) -> AdminResponse {
    AdminResponse::json(status, json!({ "error": detail }).to_string())
}
