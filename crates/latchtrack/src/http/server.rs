//! HTTP server on a single thread, with a limit on the number of connections.

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

/// Accepts connections until the process ends. Connections beyond `max_connections` are answered
/// with 503 and closed, because clients left waiting for a free slot could not tell that the node
/// is overloaded.
pub async fn serve(listener: TcpListener, app: AppState, max_connections: usize) {
    let app = App::new().app_data(web::Data::new(app)).configure(routes);
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(Duration::from_secs(KEEP_ALIVE_S)))
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .h1(map_config(app.into_factory(), |()| AppConfig::default()))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!("failed to create the HTTP service");
        return;
    };
    let service = Rc::new(service);
    let free_slots = Arc::new(Semaphore::new(max_connections));
    let refusing = Arc::new(Semaphore::new(MAX_OPEN_REFUSALS));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let Ok(permit) = free_slots.clone().try_acquire_owned() else {
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
                        tracing::debug!(?error, "connection closed with an error");
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::debug!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers any request with 503 and closes the connection. It reads before and after, because
/// closing a connection with unread data resets it, which can discard the response.
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
