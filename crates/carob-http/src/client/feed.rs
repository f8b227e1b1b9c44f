//! A response whose parts go into a channel that the consumer shares between several connections.

use bytes::Bytes;
use flume::Sender;
use tokio::{task::AbortHandle, time::timeout};

use super::{
    Error, Request,
    exchange::{self, Answer, describe},
    runtime,
};
use crate::Headers;

/// A part of a response, with the tag of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedPart {
    /// The tag that the consumer gave the connection.
    pub tag: u32,
    /// The part.
    pub part: Part,
}

carob_base::value! {
    /// A part of a response.
    pub enum Part {
        /// The response has begun.
        Head {
            /// HTTP status.
            status: u16,
            /// Headers.
            headers: Box<Headers>,
        },
        /// A piece of the body, as it came.
        Data(Bytes),
        /// The body has ended as it should.
        End,
        /// There is no response, or the connection broke before the body's end.
        Failed(Error),
    }
}

/// A connection whose parts go into a channel. Dropping it closes the connection.
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
    /// Closes the connection; parts that are in the channel already stay there.
    pub fn close(self) {
        drop(self);
    }
}

pub(super) fn start(request: Request, tag: u32, sink: Sender<TaggedPart>) -> Feed {
    let task = runtime::spawn(run(request, tag, sink));
    Feed { task }
}

/// The whole exchange, under the request's deadline.
async fn run(request: Request, tag: u32, sink: Sender<TaggedPart>) {
    let exchange = async {
        match exchange::head(&request).await {
            Ok(answer) => pump(answer, tag, &sink).await,
            Err(error) => send(&sink, tag, Part::Failed(error)).await,
        }
    };
    if timeout(request.deadline, exchange).await.is_err() {
        let error = Error::Unknown("the deadline has passed".to_owned());
        send(&sink, tag, Part::Failed(error)).await;
    }
}

async fn pump(mut answer: Answer, tag: u32, sink: &Sender<TaggedPart>) {
    let head = Part::Head {
        status: answer.status(),
        headers: Box::new(answer.headers()),
    };
    send(sink, tag, head).await;
    loop {
        let part = match answer.next().await {
            Some(Ok(data)) if data.is_empty() => continue,
            Some(Ok(data)) => Part::Data(data),
            Some(Err(error)) => Part::Failed(Error::Unknown(describe(&error))),
            None => Part::End,
        };
        let last = !matches!(part, Part::Data(_));
        send(sink, tag, part).await;
        if last {
            return;
        }
    }
}

async fn send(sink: &Sender<TaggedPart>, tag: u32, part: Part) {
    // A consumer that has gone closes the connection; nothing needs to be told.
    drop(sink.send_async(TaggedPart { tag, part }).await);
}
