//! The HTTP client of this program: how calls are made, and how they can fail.

use std::future::Future;

use actix_web::http::StatusCode;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};

use crate::constants::{
    CLIENT_CONNECTION_LIFETIME, CLIENT_KEEP_ALIVE, CONNECT_TIMEOUT, MAX_RESPONSE_BYTES,
};

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent: an attempt to connect that was given up never completes later.
    NotSent,
    /// Sent, or perhaps sent: it may be carried out at any time.
    OutcomeUnknown,
}

/// A client with at most `max_connections` connections.
pub fn http_client(max_connections: usize) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .limit(max_connections)
        .conn_keep_alive(CLIENT_KEEP_ALIVE)
        .conn_lifetime(CLIENT_CONNECTION_LIFETIME);
    Client::builder().connector(connector).disable_redirects().finish()
}

/// Waits for an answer and reads its body, up to [`MAX_RESPONSE_BYTES`].
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
