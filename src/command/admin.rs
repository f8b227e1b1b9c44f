//! Calls to an instance's operators' address.

use std::net::SocketAddr;

use crate::exit::{Exit, failure};

/// Time limit of one call, in seconds. A ticket whose store is slow may take most of it.
const TIMEOUT_SECONDS: u64 = 60;

/// An instance's answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// Fetches `path`.
///
/// # Errors
///
/// Returns a report with the exit code [`Exit::Unreachable`] if there is no answer.
pub fn get(address: SocketAddr, path: &str, key: Option<&str>) -> eyre::Result<Answer> {
    send(minreq::get(format!("http://{address}{path}")), key)
}

/// Posts `body` to `path`.
///
/// # Errors
///
/// Returns a report with the exit code [`Exit::Unreachable`] if there is no answer.
pub fn post(address: SocketAddr, path: &str, key: Option<&str>, body: Vec<u8>) -> eyre::Result<Answer> {
    send(
        minreq::post(format!("http://{address}{path}")).with_body(body),
        key,
    )
}

fn send(request: minreq::Request, key: Option<&str>) -> eyre::Result<Answer> {
    let request = match key {
        Some(key) => request.with_header("Authorization", format!("Bearer {key}")),
        None => request,
    };
    let response = request
        .with_timeout(TIMEOUT_SECONDS)
        .send()
        .map_err(|error| failure(Exit::Unreachable, format!("no answer: {error}")))?;
    Ok(Answer {
        status: response.status_code,
        body: String::from_utf8_lossy(response.as_bytes()).into_owned(),
    })
}
