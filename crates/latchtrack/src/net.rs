//! HTTP client for calls to the state service, the cloud and workers.

use std::future::Future;

use actix_web::http::StatusCode;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};

use crate::constants::{
    CLIENT_CONNECTION_LIFETIME, CLIENT_KEEP_ALIVE, CONNECT_TIMEOUT, MAX_RESPONSE_BYTES,
};

/// Error of a call, which tells whether the request may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established, so nothing was sent. An abandoned connection attempt never
    /// completes later.
    NotSent,
    /// The request may have been sent, so it may have been executed or may be executed later.
    OutcomeUnknown,
}

/// Creates a client that opens at most `max_connections` connections and follows no redirects.
pub fn http_client(max_connections: usize) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .limit(max_connections)
        .conn_keep_alive(CLIENT_KEEP_ALIVE)
        .conn_lifetime(CLIENT_CONNECTION_LIFETIME);
    Client::builder().connector(connector).disable_redirects().finish()
}

/// Waits for the response and reads its body, up to [`MAX_RESPONSE_BYTES`].
pub async fn read_response<R, S>(sent: R) -> Result<(StatusCode, Vec<u8>), CallError>
where
    R: Future<Output = Result<awc::ClientResponse<S>, SendRequestError>>,
    S: futures_util::Stream<Item = Result<actix_web::web::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut response = sent.await.map_err(|error| match error {
        SendRequestError::Connect(ConnectError::Disconnected) => CallError::OutcomeUnknown,
        SendRequestError::Connect(_) => CallError::NotSent,
        _ => CallError::OutcomeUnknown,
    })?;
    let status = response.status();
    let body =
        response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|_| CallError::OutcomeUnknown)?;
    Ok((status, body.to_vec()))
}
