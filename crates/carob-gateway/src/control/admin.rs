//! The admin listener, which serves metrics, in the Prometheus text format, and answers where a request would go.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::{Mutex, oneshot},
    time::timeout,
};

use super::state::Control;
use crate::question::{self, Question};

/// Time limit of a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a request's head, in bytes: a question holds the head of a caller's request.
const MAX_HEAD: usize = 16 << 10;

const METRICS_PATH: &str = "/metrics";

/// Time for which a question waits for those before it, and again for its answer.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after each question. One about 600 upstreams, with 370 instances, takes the traffic thread 0.7 ms of a core, so that
/// questions use at most 4% of an instance with 0.09 of a core.
const QUESTION_PAUSE: Duration = Duration::from_millis(200);

/// Opens the listener that [`serve`] accepts connections on. Must be called within the runtime.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// What requests are answered with.
struct Admin {
    metrics: PrometheusHandle,
    control: Rc<Control>,
    /// Held by the question that is being answered.
    question: Mutex<()>,
}

/// Serves requests for metrics, and questions, for as long as the process runs.
pub(super) async fn serve(listener: TcpListener, control: Rc<Control>, metrics: PrometheusHandle) {
    let admin = Rc::new(Admin {
        metrics,
        control,
        question: Mutex::new(()),
    });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "metrics connection not accepted");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let admin = Rc::clone(&admin);
        let service = service_fn(move |request: Request<Incoming>| {
            let admin = Rc::clone(&admin);
            async move { Ok::<_, Infallible>(answer(&admin, request).await) }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new()
                .keep_alive(false)
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_HEAD)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(error:% = error; "metrics connection ended with an error");
            }
        });
    }
}

async fn answer(admin: &Rc<Admin>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == METRICS_PATH {
        return Response::new(Full::new(Bytes::from(admin.metrics.render())));
    }
    if path.starts_with(question::PATH) && request.method() == Method::GET {
        let (status, answer) = explain(admin, request).await;
        metrics::counter!("carobhaven_placement_questions_total", "status" => status.as_str().to_owned())
            .increment(1);
        return respond(status, Bytes::from(format!("{answer:#}\n")));
    }
    respond(StatusCode::NOT_FOUND, Bytes::new())
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Answers a question.
async fn explain(admin: &Rc<Admin>, request: Request<Incoming>) -> (StatusCode, Value) {
    let failed = |status, error: &str| (status, json!({ "error": error }));
    let (reply, answered) = oneshot::channel();
    let question = match question::parse(request) {
        Ok(parts) => Question { parts, reply },
        Err(error) => return failed(StatusCode::BAD_REQUEST, &error),
    };
    // Goes on if the operator's connection ends, so that the pause is kept.
    tokio::task::spawn_local(pass_on(Rc::clone(admin), question));
    match timeout(QUESTION_TIMEOUT * 2, answered).await {
        Ok(Ok(Ok(answer))) => (StatusCode::OK, answer.render(&admin.control.settings().name)),
        Ok(Ok(Err(rejection))) => (
            StatusCode::UNPROCESSABLE_ENTITY,
            json!({ "error": rejection.reason, "caller_status": rejection.status }),
        ),
        Ok(Err(_)) | Err(_) => failed(
            StatusCode::SERVICE_UNAVAILABLE,
            "the instance has no time for the question",
        ),
    }
}

/// Passes a question on to the traffic thread, after those before it; drops it if that takes too long.
async fn pass_on(admin: Rc<Admin>, question: Question) {
    let Ok(_turn) = timeout(QUESTION_TIMEOUT, admin.question.lock()).await else {
        return;
    };
    if admin.control.ask(question) {
        tokio::time::sleep(QUESTION_PAUSE).await;
    }
}
