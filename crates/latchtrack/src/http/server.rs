//! Serves connections on the one thread, up to a bound.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive};
use actix_service::{map_config, IntoServiceFactory, Service, ServiceFactory};
use actix_web::dev::AppConfig;
use actix_web::{web, App};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::{routes, Desk};
use crate::constants::KEEP_ALIVE_S;

/// Accepts until the process ends. At the bound, connections wait to be accepted, and the load
/// balancer tries another node.
pub async fn serve(listener: TcpListener, desk: Desk, most: usize) {
    let app = App::new().app_data(web::Data::new(desk)).configure(routes);
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(Duration::from_secs(KEEP_ALIVE_S)))
        .client_request_timeout(Duration::from_secs(5))
        .h1(map_config(app.into_factory(), |()| AppConfig::default()))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!("the HTTP service can't be made");
        return;
    };
    let service = Rc::new(service);
    let free = Arc::new(Semaphore::new(most));
    loop {
        let Ok(place) = free.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let service = service.clone();
                actix_rt::spawn(async move {
                    if let Err(e) = service.call(stream).await {
                        tracing::debug!("a connection ended: {e:?}");
                    }
                    drop(place);
                });
            }
            Err(e) => {
                tracing::debug!("accept failed: {e}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}
