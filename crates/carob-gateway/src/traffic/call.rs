//! A request, as everything that handles it sees it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_dispatch::{
    fleet::{RequestSize, Requirements, UpstreamKey},
    head::Head,
    table::{Engine, Route},
};
use carob_platform::request::{self, Additions, Resume};
use hyper::{Response, body::Incoming, http::request::Parts};
use tokio::time::Instant;

use super::{body::Held, guard::Run, shared::Shared};
use crate::socket::{self, Connection, Driver};

/// Time for a connection to an upstream. A lost opening packet is sent again after a second, so that another
/// upstream is the better choice well before; the longest way there and back takes 30 ms.
pub(super) const CONNECT: Duration = Duration::from_millis(350);

/// Objectives within which almost all plain calls end; they are set to several times the usual duration.
const USUAL_OBJECTIVES: f64 = 3.0;

/// Time of a step in which an engine makes a token, with several generations running; the site's engines take 7 ms
/// and more.
const STEP: Duration = Duration::from_millis(9);

/// Time to the first event of a usual prompt.
const FIRST: Duration = Duration::from_millis(500);

/// A request that a configuration permits.
pub(super) struct Call {
    pub(super) shared: Rc<Shared>,
    pub(super) head: Head,
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    /// Counts the body.
    pub(super) _held: Held,
    pub(super) route: Route,
    pub(super) service: Box<str>,
    pub(super) engine: Option<Engine>,
    pub(super) account: Option<Box<str>>,
    pub(super) rank: u8,
    pub(super) arrival: Instant,
    /// When its client or its route gives up.
    pub(super) until: Instant,
    /// Version of the configuration that decided.
    pub(super) version: u64,
}

impl Call {
    /// The id for log lines.
    pub(super) fn id(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.head.id)
    }

    /// Milliseconds since the request arrived.
    pub(super) fn age(&self) -> u64 {
        self.arrival.elapsed().as_millis() as u64
    }

    /// What the request takes of an upstream once `made` tokens are there.
    pub(super) fn size(&self, made: u32) -> RequestSize {
        let Some(usage) = self.head.usage else {
            return RequestSize {
                tokens: 0,
                prefill: 0,
            };
        };
        // Estimates are right at the median; sizes are spread to the high side.
        let expected = usage
            .length_hint
            .map_or(usage.max_output / 2, |hint| hint + hint / 4);
        let output = expected.min(usage.max_output).max(made + made / 4);
        RequestSize {
            tokens: u64::from(usage.prompt_tokens) + u64::from(output),
            prefill: if made == 0 {
                u64::from(usage.prompt_tokens)
            } else {
                0
            },
        }
    }

    /// How long it is expected to take at most times.
    pub(super) fn duration(&self) -> Duration {
        let Some(usage) = self.head.usage else {
            return self
                .route
                .timeout
                .min(self.route.target_latency.mul_f64(USUAL_OBJECTIVES));
        };
        let output = usage
            .length_hint
            .unwrap_or(usage.max_output / 2)
            .min(usage.max_output);
        FIRST + STEP * output
    }

    /// How long its stream is expected to go on after `events` events.
    pub(super) fn remaining(&self, events: u32) -> Duration {
        let stride = self.engine.as_ref().map_or(1, |engine| engine.event_tokens);
        let expected = self.head.usage.map_or(0, |usage| {
            usage
                .length_hint
                .unwrap_or(usage.max_output / 2)
                .min(usage.max_output)
        });
        STEP * expected.saturating_sub(events * stride)
    }

    /// Tokens that the request holds when `made` tokens are there.
    pub(super) fn held(&self, made: u32) -> u64 {
        self.head
            .usage
            .map_or(0, |usage| u64::from(usage.prompt_tokens + made))
    }

    /// What the request asks of an upstream.
    pub(super) fn need(&self, size: RequestSize, except: &[UpstreamKey]) -> Requirements {
        Requirements {
            service: self.service.clone(),
            size,
            capacity: self.engine.as_ref().map_or(0, |engine| engine.capacity),
            excluded: except.iter().copied().collect(),
        }
    }

    /// Sends the request to the upstream of `run` and reads the head of its answer.
    pub(super) async fn send(
        &self,
        run: &Run,
        resume: Option<&Resume>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, Driver), socket::Error> {
        let (address, name) = match self.shared.fleet().upstream(run.upstream) {
            Some(found) => (found.entry.address, found.entry.id.clone()),
            None => return Err(socket::Error::Connect("the upstream is forgotten".to_owned())),
        };
        let connect = deadline.min(Instant::now() + CONNECT);
        let connection = Connection::open(address, connect).await?;
        let additions = Additions {
            left: self.until.saturating_duration_since(Instant::now()),
            upstream: &name,
            account: self.account.as_deref(),
            urgency: None,
            resume,
            backup: None,
        };
        let parts = &self.parts;
        let request = request::encode(&parts.method, &parts.uri, &parts.headers, &additions)
            .map_err(|error| socket::Error::Connect(error.to_string()))?;
        metrics::counter!("carobhaven_sends_total").increment(1);
        connection
            .send(request.map(|()| self.body.clone()), deadline)
            .await
    }
}
