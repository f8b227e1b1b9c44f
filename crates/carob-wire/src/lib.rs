//! Messages exchanged with callers and upstreams over HTTP.
//!
//! * [`answer`]: the authenticated id under which a caller resumes or cancels an answer.
//! * [`create`]: the body of a request for a generation.
//! * [`event`]: one event of a generation's stream, in the shape of the OpenAI Responses API.
//! * [`header`]: names of headers.
//! * [`load`]: an engine's load report, in the Prometheus text format.
//! * [`prefix`]: hashes of a prompt's prefixes.
//! * [`problem`]: typed refusals as `application/problem+json`.
//! * [`sse`]: framing of server-sent events.

pub mod answer;
pub mod create;
pub mod event;
pub mod header;
pub mod load;
pub mod prefix;
pub mod problem;
pub mod sse;

pub use problem::{Code, Execution, Problem};
