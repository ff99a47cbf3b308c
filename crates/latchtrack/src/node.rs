//! Startup of a node: binds its sockets, and starts and connects its actors.

use std::sync::Arc;

use actix::prelude::*;
use tokio::net::TcpListener;

use crate::actors::admission::Admission;
use crate::actors::cloud::Cloud;
use crate::actors::election::{Cell, CellError, Election};
use crate::actors::job_cache::JobCache;
use crate::actors::messages::cloud::ConnectCloud;
use crate::actors::messages::job_cache::ConnectJobCache;
use crate::actors::messages::peers::{ForwardedRequestHandler, ServePeers};
use crate::actors::messages::scheduler::{ConnectElection, ConnectQuota};
use crate::actors::peers::Peers;
use crate::actors::quota::Quota;
use crate::actors::scheduler_driver::SchedulerDriver;
use crate::actors::store::Store;
use crate::http::{answer_forwarded, server, AppState, Deployment};
use crate::settings::Settings;

/// Error while starting a node.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket can't be bound.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// The node can't lead the cell configured in its settings.
    #[error("quota.cell: {cell}: {source}")]
    Cell {
        /// Name of the cell.
        cell: String,
        /// Why the node can't lead the cell.
        source: CellError,
    },
}

/// Rejects a cell name that is in use by a deployment with another cloud. If the state service is
/// unavailable, this is left to the same check before each campaign.
async fn check_cell(settings: &Settings) -> Result<(), StartError> {
    let Some(cell) = Cell::from_settings(settings) else { return Ok(()) };
    let store = Store::new(settings).start();
    match cell.stored_revision(&store).await {
        Ok(_) | Err(CellError::Store(_)) => Ok(()),
        Err(source) => Err(StartError::Cell { cell: cell.name, source }),
    }
}

/// Runs a node until the process ends.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    check_cell(&settings).await?;
    let http_listener = TcpListener::bind(settings.platform.bind).await?;
    let peer_listener = TcpListener::bind(settings.platform.peer_bind).await?;
    serve(settings, http_listener, peer_listener).await;
    Ok(())
}

/// Runs a node on sockets that are already bound, until the process ends.
pub async fn serve(settings: Settings, http_listener: TcpListener, peer_listener: TcpListener) {
    tracing::info!(node = settings.platform.node_name, "node serving");
    let app = start_actors(&settings, peer_listener);
    server::serve(http_listener, app, settings.max_connections()).await;
}

/// Starts the actors and connects them.
fn start_actors(settings: &Settings, peer_listener: TcpListener) -> AppState {
    let store = Store::new(settings).start();
    let cache = JobCache::new(store.clone()).start();
    let cloud = Cloud::new(store.clone(), settings).start();
    let peers = Peers::new(settings, peer_listener, cache.clone()).start();
    let admission = Admission::new(store.clone(), cache.clone(), settings).start();
    let scheduler =
        SchedulerDriver::new(store.clone(), cache.clone(), cloud.clone(), peers.clone(), settings)
            .start();
    let cell = Cell::from_settings(settings);
    if let Some(cell) = &cell {
        let events = scheduler.clone().recipient();
        let quota = Quota::new(store.clone(), events, cell.name.clone(), settings).start();
        let (term, changes) = (quota.clone().recipient(), quota.recipient());
        scheduler.do_send(ConnectQuota { term, changes });
    }
    let election = Election::new(
        store,
        cache.clone(),
        scheduler.clone().recipient(),
        settings.platform.node_name.clone(),
        settings.leader_lease_ms(),
        cell,
    )
    .start();
    scheduler.do_send(ConnectElection {
        resign: election.clone().recipient(),
        key_lost: election.clone().recipient(),
    });
    cache.do_send(ConnectJobCache {
        election: election.recipient(),
        scheduler: scheduler.clone().recipient(),
    });
    cloud.do_send(ConnectCloud {
        admission_types: admission.clone().recipient(),
        scheduler_types: scheduler.clone().recipient(),
        scheduler_events: scheduler.clone().recipient(),
    });
    let deployment = if settings.platform.peers.is_empty() {
        Deployment::SingleNode
    } else {
        Deployment::MultiNode
    };
    let app = AppState { cache, admission, scheduler, peers, deployment };
    app.peers.do_send(ServePeers {
        handler: forwarded_request_handler(app.clone()),
        scheduler: app.scheduler.clone().recipient(),
    });
    app
}

fn forwarded_request_handler(app: AppState) -> ForwardedRequestHandler {
    Arc::new(move |request| {
        let app = app.clone();
        Box::pin(async move { answer_forwarded(&app, request).await })
    })
}
