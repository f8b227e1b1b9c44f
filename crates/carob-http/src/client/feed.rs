//! Responses whose parts are sent to a channel, which several connections can share.

use bytes::Bytes;
use flume::Sender;
use tokio::{task::AbortHandle, time::timeout};

use super::{
    Error, Request,
    exchange::{self, IncomingResponse, describe},
    runtime,
};
use crate::Headers;

/// A part of a response, with the tag of the connection that it came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedPart {
    /// The tag that was passed to [`feed`](super::feed).
    pub tag: u32,
    /// The part.
    pub part: Part,
}

carob_base::value! {
    /// A part of a response.
    pub enum Part {
        /// The head, which comes first.
        Head {
            /// HTTP status.
            status: u16,
            /// Headers.
            headers: Box<Headers>,
        },
        /// A piece of the body, as it was received.
        Data(Bytes),
        /// The body is complete.
        End,
        /// No response was received, or the connection broke or its deadline passed before the body's end.
        Failed(Error),
    }
}

/// A connection whose response is sent to a channel. Dropping it closes the connection.
#[derive(Debug)]
pub struct Feed {
    task: AbortHandle,
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Feed {
    /// Closes the connection. Parts that are in the channel already stay there.
    pub fn close(self) {
        drop(self);
    }
}

pub(super) fn start(request: Request, tag: u32, sink: Sender<TaggedPart>) -> Feed {
    let task = runtime::spawn(run(request, tag, sink));
    Feed { task }
}

/// Sends the request and passes on its response, within the request's deadline.
async fn run(request: Request, tag: u32, sink: Sender<TaggedPart>) {
    let exchange = async {
        match exchange::start(&request).await {
            Ok(response) => forward(response, tag, &sink).await,
            Err(error) => send(&sink, tag, Part::Failed(error)).await,
        }
    };
    if timeout(request.deadline, exchange).await.is_err() {
        let error = Error::Unknown("the deadline has passed".to_owned());
        send(&sink, tag, Part::Failed(error)).await;
    }
}

async fn forward(mut response: IncomingResponse, tag: u32, sink: &Sender<TaggedPart>) {
    let head = Part::Head {
        status: response.status(),
        headers: Box::new(response.headers()),
    };
    send(sink, tag, head).await;
    loop {
        let part = match response.next_chunk().await {
            Some(Ok(data)) if data.is_empty() => continue,
            Some(Ok(data)) => Part::Data(data),
            Some(Err(error)) => Part::Failed(Error::Unknown(describe(&error))),
            None => Part::End,
        };
        let is_last = !matches!(part, Part::Data(_));
        send(sink, tag, part).await;
        if is_last {
            return;
        }
    }
}

async fn send(sink: &Sender<TaggedPart>, tag: u32, part: Part) {
    // A consumer that drops its receiver also drops the `Feed`, which closes the connection.
    drop(sink.send_async(TaggedPart { tag, part }).await);
}
