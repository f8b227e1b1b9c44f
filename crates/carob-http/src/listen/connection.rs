//! One caller's connection, from its first byte to its close.

use std::{fmt::Write as _, future::poll_fn, pin::Pin, sync::Arc, time::Duration};

use carob_wire::{Code, Problem};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    sync::watch,
    time::timeout,
};

use super::{
    Options, Phase,
    exchange::refusal_parts,
    request::{Context, serve},
    socket::{Fault, Socket},
};

/// Smallest read buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 * 1024;
/// Time in which a draining connection still takes a request that was on its way.
const LINGER: Duration = Duration::from_millis(250);
/// Time for a caller to take its last refusal.
const FAREWELL: Duration = Duration::from_secs(1);
/// Bytes that a refused caller may still send before the connection is closed.
const FAREWELL_BYTES: u64 = 1024 * 1024;

/// Serves the requests of a connection until either end closes it.
pub(super) async fn run<S>(stream: S, context: Context)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let options = Arc::clone(&context.options);
    let mut phase = context.phase.clone();
    let socket = Socket::new(stream, context.open.clone(), &options);
    let context = Arc::new(context);
    let service = service_fn(move |request| Box::pin(serve(Arc::clone(&context), request)));
    let mut connection = http1::Builder::new()
        .max_buf_size((2 * options.head_limit).max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(socket), service);
    let outcome = {
        let mut draining = Box::pin(async {
            until(&mut phase, Phase::Draining).await;
            tokio::time::sleep(LINGER).await;
        });
        let mut told = false;
        poll_fn(|cx| {
            if !told && draining.as_mut().poll(cx).is_ready() {
                told = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            connection.poll_without_shutdown(cx)
        })
        .await
    };
    let socket = connection.into_parts().io.into_inner();
    if let Err(error) = outcome {
        log::debug!("http: a connection ended early: {error}");
    }
    finish(socket, &options).await;
}

/// Returns once `phase` has come to `target`, or its sender has gone.
pub(super) async fn until(phase: &mut watch::Receiver<Phase>, target: Phase) {
    // The sender goes with the listener itself, which then wants no more connections.
    drop(phase.wait_for(|present| *present >= target).await);
}

/// Sends the typed refusal of a fault and closes the socket.
async fn finish<S: AsyncRead + AsyncWrite + Unpin>(socket: Socket<S>, options: &Options) {
    let refusal = socket.fault().and_then(|fault| refusal(fault, options));
    let mut stream = socket.into_inner();
    let farewell = async {
        let Some(refusal) = refusal else {
            return stream.shutdown().await;
        };
        send_refusal(&mut stream, &refusal).await
    };
    if timeout(FAREWELL, farewell).await.is_err() {
        log::debug!("http: a caller took no farewell");
    }
}

/// Sends `refusal` as the connection's last response, outside of the HTTP library.
pub(super) async fn send_refusal<S>(stream: &mut S, refusal: &Problem) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let (headers, body) = refusal_parts(refusal);
    let status = hyper::StatusCode::from_u16(refusal.status).unwrap_or(hyper::StatusCode::BAD_REQUEST);
    let reason = status.canonical_reason().unwrap_or_default();
    let mut text = format!("HTTP/1.1 {} {reason}\r\nconnection: close\r\n", refusal.status);
    for (name, value) in headers.iter() {
        write!(text, "{name}: {value}\r\n").expect("strings take any text");
    }
    write!(text, "content-length: {}\r\n\r\n", body.len()).expect("strings take any text");
    stream.write_all(text.as_bytes()).await?;
    stream.write_all(&body).await?;
    stream.shutdown().await?;
    // Closing a socket with unread bytes resets the connection, and the caller might lose the refusal.
    tokio::io::copy(&mut stream.take(FAREWELL_BYTES), &mut tokio::io::sink()).await?;
    Ok(())
}

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
