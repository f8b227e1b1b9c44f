//! Metrics in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// The recorder of the process; `None` if another one had been installed before.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder, once per process.
pub fn install() {
    RECORDER.get_or_init(|| match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!("metrics: another recorder is installed: {error}");
            None
        }
    });
}

/// Renders all metrics of the process; empty if another recorder is installed.
pub fn render() -> String {
    let handle = RECORDER.get().and_then(Option::as_ref);
    handle
        .map(|handle| {
            handle.run_upkeep();
            handle.render()
        })
        .unwrap_or_default()
}
