//! HTTP calls to the admin address of an instance.

use std::net::SocketAddr;

use crate::exit::{Exit, failure};

/// Timeout of one call, in seconds. Submitting a ticket may take most of it while the store is slow.
const TIMEOUT_SECONDS: u64 = 60;

/// Response of an instance.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body; invalid UTF-8 is replaced.
    pub body: String,
}

/// Sends a GET request, with `key` as bearer token if there is one.
///
/// # Errors
///
/// Returns a report with the exit code [`Exit::Unreachable`] if no response is received.
pub fn get(address: SocketAddr, path: &str, key: Option<&str>) -> eyre::Result<Response> {
    send(minreq::get(format!("http://{address}{path}")), key)
}

/// Sends `body` in a POST request, with `key` as bearer token if there is one.
///
/// # Errors
///
/// Returns a report with the exit code [`Exit::Unreachable`] if no response is received.
pub fn post(address: SocketAddr, path: &str, key: Option<&str>, body: Vec<u8>) -> eyre::Result<Response> {
    send(
        minreq::post(format!("http://{address}{path}")).with_body(body),
        key,
    )
}

/// Sends a GET request with `headers`, and waits for the response for `seconds` at most.
///
/// # Errors
///
/// Returns a report with the exit code [`Exit::Unreachable`] if no response is received.
pub fn get_with(
    address: SocketAddr,
    path: &str,
    headers: Vec<(String, String)>,
    seconds: u64,
) -> eyre::Result<Response> {
    finish(
        minreq::get(format!("http://{address}{path}")).with_headers(headers),
        seconds,
    )
}

fn send(request: minreq::Request, key: Option<&str>) -> eyre::Result<Response> {
    let request = match key {
        Some(key) => request.with_header("Authorization", format!("Bearer {key}")),
        None => request,
    };
    finish(request, TIMEOUT_SECONDS)
}

fn finish(request: minreq::Request, seconds: u64) -> eyre::Result<Response> {
    let response = request
        .with_timeout(seconds)
        .send()
        .map_err(|error| failure(Exit::Unreachable, format!("no answer: {error}")))?;
    Ok(Response {
        status: response.status_code,
        body: String::from_utf8_lossy(response.as_bytes()).into_owned(),
    })
}
