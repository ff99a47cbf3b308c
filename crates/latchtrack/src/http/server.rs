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
    ACCEPT_RETRY_DELAY, KEEP_ALIVE_S, MAX_OPEN_REFUSALS, REFUSAL_LINGER, REFUSAL_READ_BYTES,
    REFUSAL_TIMEOUT, REQUEST_HEAD_TIMEOUT, RETRY_AFTER_S,
};

/// Accepts until the process ends. Beyond `max_connections` a connection is refused at once and
/// closed: if it were left to wait until another one is closed, users and workers would learn
/// nothing.
pub async fn serve(listener: TcpListener, app: AppState, max_connections: usize) {
    let app = App::new().app_data(web::Data::new(app)).configure(routes);
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(Duration::from_secs(KEEP_ALIVE_S)))
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .h1(map_config(app.into_factory(), |()| AppConfig::default()))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!("HTTP service can't be created");
        return;
    };
    let service = Rc::new(service);
    let free = Arc::new(Semaphore::new(max_connections));
    let refusing = Arc::new(Semaphore::new(MAX_OPEN_REFUSALS));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let Ok(permit) = free.clone().try_acquire_owned() else {
                    let Ok(permit) = refusing.clone().acquire_owned().await else { return };
                    actix_rt::spawn(async move {
                        refuse(stream).await;
                        drop(permit);
                    });
                    continue;
                };
                let service = service.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = service.call(stream).await {
                        tracing::debug!(?error, "connection ended");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers any request with 503 and closes the connection. It reads first, so that the answer is
/// not lost with what was not read.
async fn refuse(mut stream: TcpStream) {
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {RETRY_AFTER_S}\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    let mut buffer = [0; REFUSAL_READ_BYTES];
    let refused = async {
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
    };
    if tokio::time::timeout(REFUSAL_TIMEOUT, refused).await.is_ok() {
        let rest = async { while matches!(stream.read(&mut buffer).await, Ok(n) if n > 0) {} };
        let _ = tokio::time::timeout(REFUSAL_LINGER, rest).await;
    }
}
