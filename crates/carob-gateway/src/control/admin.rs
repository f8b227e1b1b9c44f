//! The admin listener, which only serves metrics, in the Prometheus text format.

use std::{convert::Infallible, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

/// Time limit of a request's head.
const HEAD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(3);

const METRICS_PATH: &str = "/metrics";

/// Opens the listener that [`serve`] accepts connections on. Must be called within the runtime.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Serves requests for metrics for as long as the process runs.
pub(super) async fn serve(listener: TcpListener, metrics: PrometheusHandle) {
    let metrics = Rc::new(metrics);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "metrics connection not accepted");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                continue;
            }
        };
        let metrics = Rc::clone(&metrics);
        let service = service_fn(move |request: Request<Incoming>| {
            let metrics = Rc::clone(&metrics);
            async move { Ok::<_, Infallible>(answer(&request, &metrics)) }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new()
                .keep_alive(false)
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(error:% = error; "metrics connection ended with an error");
            }
        });
    }
}

fn answer(request: &Request<Incoming>, metrics: &PrometheusHandle) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS_PATH {
        return Response::new(Full::new(Bytes::from(metrics.render())));
    }
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
