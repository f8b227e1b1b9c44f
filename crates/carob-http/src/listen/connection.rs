//! One caller's connection, from the first request to the close.

use std::{
    fmt::Write as _,
    future::{Future as _, poll_fn},
    io,
    pin::Pin,
    sync::Arc,
    task::Poll,
    time::Duration,
};

use carob_wire::{Code, Problem};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    net::TcpStream,
    sync::watch,
    time::timeout,
};
use tokio_rustls::server::TlsStream;

use super::{
    Options, Phase,
    exchange::refusal_parts,
    request::{Context, serve},
    socket::{Fault, Socket},
};

/// Minimum size of a read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Time for which a connection still accepts a request once draining has begun, since one may be on its way.
const DRAIN_DELAY: Duration = Duration::from_millis(250);
/// Maximum time to send the final refusal, if there is one, and to close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes from a refused caller that are discarded before the connection is closed.
const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;

/// Serves the requests of a connection until either side closes it.
pub(super) async fn run<S>(stream: S, context: Context)
where
    S: AsyncRead + AsyncWrite + Reset + Unpin + Send + 'static,
{
    let options = Arc::clone(&context.options);
    let mut phase = context.phase.clone();
    let counter = context.counter.clone();
    let socket = Socket::new(stream, counter.clone(), &options);
    let context = Arc::new(context);
    let service = service_fn(move |request| Box::pin(serve(Arc::clone(&context), request)));
    let mut connection = http1::Builder::new()
        .max_buf_size((2 * options.head_limit).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let outcome = {
        let mut draining = Box::pin(async {
            wait_for_phase(&mut phase, Phase::Draining).await;
            tokio::time::sleep(DRAIN_DELAY).await;
        });
        let (mut shutdown_due, mut shutdown_begun) = (false, false);
        poll_fn(|cx| {
            // Also sends what the library still buffers of the last response, and shuts the socket down.
            let outcome = Pin::new(&mut connection).poll(cx);
            if outcome.is_ready() || shutdown_begun {
                return outcome;
            }
            shutdown_due = shutdown_due || draining.as_mut().poll(cx).is_ready();
            // The library would close a kept connection at once, even if a part of the next head has arrived.
            if !shutdown_due || counter.is_reading_head() {
                return Poll::Pending;
            }
            shutdown_begun = true;
            Pin::new(&mut connection).graceful_shutdown();
            Pin::new(&mut connection).poll(cx)
        })
        .await
    };
    let socket = connection.into_parts().io.into_inner();
    if let Err(error) = outcome {
        log::debug!("http: connection failed: {error}");
        if counter.is_unframed() {
            return reset(&socket.into_inner());
        }
    }
    close(socket, &options).await;
}

/// A socket that can be closed with a reset.
pub(super) trait Reset {
    /// Has the socket reset when it is dropped.
    fn set_reset(&self) -> io::Result<()>;
}

impl Reset for TcpStream {
    fn set_reset(&self) -> io::Result<()> {
        self.set_zero_linger()
    }
}

impl Reset for TlsStream<TcpStream> {
    fn set_reset(&self) -> io::Result<()> {
        self.get_ref().0.set_zero_linger()
    }
}

/// Has the connection reset, so that a truncated response without a length does not look complete.
fn reset(stream: &impl Reset) {
    if let Err(error) = stream.set_reset() {
        log::warn!("http: a connection with a truncated response is not reset: {error}");
    }
}

/// Waits until `phase` has reached `target` or its sender has been dropped.
pub(super) async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, target: Phase) {
    // The sender is dropped together with the listener, which is then not in use any more.
    drop(phase.wait_for(|current| *current >= target).await);
}

/// Sends the typed refusal for a fault, if there is one, and closes the socket.
async fn close<S: AsyncRead + AsyncWrite + Unpin>(socket: Socket<S>, options: &Options) {
    let refusal = socket.fault().and_then(|fault| refusal(fault, options));
    let mut stream = socket.into_inner();
    let closing = async {
        let Some(refusal) = refusal else {
            return stream.shutdown().await;
        };
        send_refusal(&mut stream, &refusal).await
    };
    if timeout(CLOSE_TIMEOUT, closing).await.is_err() {
        log::debug!("http: closing a connection timed out");
    }
}

/// Sends `refusal` as the connection's last response, without the HTTP library.
pub(super) async fn send_refusal<S>(stream: &mut S, refusal: &Problem) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let (headers, body) = refusal_parts(refusal);
    let status = hyper::StatusCode::from_u16(refusal.status).unwrap_or(hyper::StatusCode::BAD_REQUEST);
    let reason = status.canonical_reason().unwrap_or_default();
    let mut text = format!("HTTP/1.1 {} {reason}\r\nconnection: close\r\n", refusal.status);
    for (name, value) in headers.iter() {
        write!(text, "{name}: {value}\r\n").expect("writing to a string cannot fail");
    }
    write!(text, "content-length: {}\r\n\r\n", body.len()).expect("writing to a string cannot fail");
    stream.write_all(text.as_bytes()).await?;
    stream.write_all(&body).await?;
    stream.shutdown().await?;
    // Closing a socket with unread bytes would reset the connection, and the caller might lose the refusal.
    tokio::io::copy(&mut stream.take(MAX_DISCARDED_BYTES), &mut tokio::io::sink()).await?;
    Ok(())
}

/// The refusal for a fault; `None` if the connection is closed without a response.
fn refusal(fault: Fault, options: &Options) -> Option<Problem> {
    let (code, detail) = match fault {
        Fault::HeadTooLarge => (
            Code::HeadTooLarge,
            format!("the head exceeds {} bytes", options.head_limit),
        ),
        Fault::HeadTooSlow => (
            Code::RequestTimeout,
            format!("the head took longer than {:?}", options.head_timeout),
        ),
        Fault::Malformed => (Code::BadRequest, "the head is malformed".to_owned()),
        Fault::Idle | Fault::SlowCaller => return None,
    };
    Some(Problem::not_run(code, detail))
}
