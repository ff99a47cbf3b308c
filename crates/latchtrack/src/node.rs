//! One node: starts the actors and tells them of each other.

use actix::prelude::*;
use tokio::net::TcpListener;

use crate::actors::cloud::{Cloud, Customers};
use crate::actors::election::{Cell, Election, NotThisCell};
use crate::actors::intake::Intake;
use crate::actors::job_cache::{JobCache, Listeners};
use crate::actors::leader::{ElectionAt, Leader, QuotaAt};
use crate::actors::peers::{Peers, Receive};
use crate::actors::quota::Quota;
use crate::actors::store::Store;
use crate::http::{server, AppState};
use crate::settings::Settings;

/// Why a node can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("quota.cell: {0}: {1}")]
    Cell(String, NotThisCell),
}

/// Refuses a cell's name that another cloud's controllers use. Whether a state service that can't be asked
/// knows it is looked at again before each campaign.
async fn check_cell(settings: &Settings) -> Result<(), StartError> {
    let Some(cell) = Cell::of(settings) else { return Ok(()) };
    let store = Store::new(settings).start();
    match cell.known_term(&store).await {
        Ok(_) | Err(NotThisCell::Store(_)) => Ok(()),
        Err(why) => Err(StartError::Cell(cell.name, why)),
    }
}

/// Runs a node until the process ends.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    check_cell(&settings).await?;
    let users = TcpListener::bind(settings.platform.bind).await?;
    let peers = TcpListener::bind(settings.platform.peer_bind).await?;
    serve(settings, users, peers).await;
    Ok(())
}

/// The same on sockets that are bound already.
pub async fn serve(settings: Settings, users: TcpListener, peers: TcpListener) {
    tracing::info!("node {} serves", settings.platform.node_name);
    let store = Store::new(&settings).start();
    let cache = JobCache::new(store.clone()).start();
    let cloud = Cloud::new(store.clone(), &settings).start();
    let peers = Peers::new(&settings, peers, cache.clone()).start();
    let intake = Intake::new(store.clone(), cache.clone(), &settings).start();
    let leader =
        Leader::new(store.clone(), cache.clone(), cloud.clone(), peers.clone(), &settings).start();
    if let Some(cell) = Cell::of(&settings) {
        let quota = Quota::new(store.clone(), leader.clone(), cell.name, &settings).start();
        leader.do_send(QuotaAt(quota));
    }
    let election = Election::new(
        store,
        cache.clone(),
        leader.clone(),
        settings.platform.node_name.clone(),
        settings.leader_ttl_ms(),
        Cell::of(&settings),
    )
    .start();
    leader.do_send(ElectionAt(election.clone()));
    cache.do_send(Listeners { election, leader: leader.clone() });
    cloud.do_send(Customers { intake: intake.clone(), leader: leader.clone() });
    let alone = settings.platform.peers.is_empty();
    let app = AppState { cache, intake, leader, peers: peers.clone(), alone };
    peers.do_send(Receive(app.clone()));
    server::serve(users, app, settings.connections()).await;
}
