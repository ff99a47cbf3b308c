//! Serves connections on the one thread, up to a bound.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive};
use actix_service::{map_config, IntoServiceFactory, Service, ServiceFactory};
use actix_web::dev::AppConfig;
use actix_web::{web, App};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::{routes, AppState};
use crate::constants::{
    KEEP_ALIVE_S, REFUSALS_OPEN, REFUSAL_LINGER, REFUSAL_TIMEOUT, RETRY_AFTER_S,
};

/// Accepts until the process ends. Beyond the bound a connection is told so at once and closed: left
/// to wait for a place, which nobody may leave, users and workers would learn nothing.
pub async fn serve(listener: TcpListener, app: AppState, most: usize) {
    let app = App::new().app_data(web::Data::new(app)).configure(routes);
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
    let refusing = Arc::new(Semaphore::new(REFUSALS_OPEN));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let Ok(place) = free.clone().try_acquire_owned() else {
                    let Ok(turn) = refusing.clone().acquire_owned().await else { return };
                    actix_rt::spawn(async move {
                        refuse(stream).await;
                        drop(turn);
                    });
                    continue;
                };
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

/// Answers whatever is asked with 503 and closes; reads first, so that the answer is not lost with
/// what was not read.
async fn refuse(mut stream: TcpStream) {
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {RETRY_AFTER_S}\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    let mut some = [0; 1024];
    let told = async {
        let _ = stream.read(&mut some).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
    };
    if tokio::time::timeout(REFUSAL_TIMEOUT, told).await.is_ok() {
        let rest = async { while matches!(stream.read(&mut some).await, Ok(n) if n > 0) {} };
        let _ = tokio::time::timeout(REFUSAL_LINGER, rest).await;
    }
}
