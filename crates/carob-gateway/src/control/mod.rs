//! The control thread: follows the platform's store, exchanges its content with other instances, and handles
//! settings and signals.

mod admin;
mod apart;
mod changes;
mod follow;
mod register;
mod share;
mod state;

use std::{path::Path, rc::Rc, sync::Arc, time::Duration};

use flume::{Receiver, Sender};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

use crate::{
    Settings,
    run::Error,
    signals::Grace,
    update::{Report, Update},
};
use state::Control;

/// How often the settings file is checked for changes, because changes may come without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// How often recorded values are merged into the histograms; values that are not merged yet each take memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the control thread until the traffic thread, which serves requests, has finished after a signal to
/// shut down.
pub(crate) fn run(
    path: &Path,
    settings: &Arc<Settings>,
    updates: Sender<Update>,
    grace: Arc<Grace>,
    reports: &Receiver<Report>,
    metrics: &PrometheusHandle,
) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Start("a runtime", error.to_string()))?;
    let control = Rc::new(Control::new(Arc::clone(settings), updates, grace));
    let outcome = LocalSet::new().block_on(&runtime, async {
        let sharing = share::bind(settings.peer_address)
            .map_err(|error| Error::Listen(settings.peer_address, error))?;
        let admin = admin::bind(settings.admin_address)
            .map_err(|error| Error::Listen(settings.admin_address, error))?;
        tokio::task::spawn_local(follow::run(Rc::clone(&control)));
        tokio::task::spawn_local(follow::run_status(Rc::clone(&control)));
        tokio::task::spawn_local(register::run(Rc::clone(&control)));
        tokio::task::spawn_local(share::fetch_from_seeds(Rc::clone(&control)));
        tokio::task::spawn_local(share::serve(Rc::clone(&control), sharing));
        tokio::task::spawn_local(admin::serve(admin, Rc::clone(&control), metrics.clone()));
        tokio::task::spawn_local(run_upkeep(metrics.clone()));
        tokio::task::spawn_local(reload_settings(Rc::clone(&control), path.to_owned()));
        loop {
            match reports.recv_async().await {
                Ok(Report::Peer {
                    address,
                    reached,
                    update,
                    watching,
                }) => share::handle_peer_report(&control, address, reached, update, watching),
                Ok(Report::Finished) | Err(_) => return Ok(()),
            }
        }
    });
    // A read of the settings file may take long, and is not waited for.
    runtime.shutdown_background();
    outcome
}

/// Merges recorded values into the histograms at regular intervals.
async fn run_upkeep(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}

/// Reloads the settings on SIGHUP and when the file has changed; an invalid file changes nothing and is
/// reported once.
async fn reload_settings(control: Rc<Control>, path: std::path::PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(error:% = error; "SIGHUP handler not installed; settings are not reloaded");
            return;
        }
    };
    let mut refused = None;
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        // Reading may take seconds while the disk is busy.
        let file = path.clone();
        let loaded = tokio::task::spawn_blocking(move || Settings::load(&file)).await;
        let Ok(loaded) = loaded else {
            log::error!("settings not read: the thread for it has panicked");
            continue;
        };
        match loaded {
            Ok(settings) if settings != *control.settings() => {
                log::info!(file:% = path.display(), asked; "settings reloaded");
                refused = None;
                control.apply_settings(Arc::new(settings));
            }
            Ok(_) if asked => log::info!(file:% = path.display(); "settings read again, nothing has changed"),
            Ok(_) => {}
            Err(errors) if refused.as_ref() != Some(&errors) => {
                log::error!(errors:% = errors; "settings refused; those in force stay");
                refused = Some(errors);
            }
            Err(_same) => {}
        }
    }
}
