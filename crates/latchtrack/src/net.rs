//! The HTTP client that all calls share the manner of.

use std::future::Future;
use std::time::Duration;

use actix_web::http::StatusCode;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};

use crate::constants::{ANSWER_BYTES, CONNECT_TIMEOUT};

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent: an attempt to connect that was given up never completes later.
    NotSent,
    /// Sent, or perhaps sent: it may be carried out at any time.
    Lost,
}

/// A client with at most `open` connections.
pub fn http_client(open: usize) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .limit(open)
        .conn_keep_alive(Duration::from_secs(30))
        .conn_lifetime(Duration::from_secs(3_600));
    Client::builder().connector(connector).disable_redirects().finish()
}

/// Waits for an answer and reads it whole.
pub async fn finish<R, S>(sent: R) -> Result<(StatusCode, Vec<u8>), CallError>
where
    R: Future<Output = Result<awc::ClientResponse<S>, SendRequestError>>,
    S: futures_util::Stream<Item = Result<actix_web::web::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut response = sent.await.map_err(|e| match e {
        SendRequestError::Connect(ConnectError::Disconnected) => CallError::Lost,
        SendRequestError::Connect(_) => CallError::NotSent,
        _ => CallError::Lost,
    })?;
    let status = response.status();
    let body = response.body().limit(ANSWER_BYTES).await.map_err(|_| CallError::Lost)?;
    Ok((status, body.to_vec()))
}
