//! HTTP requests to the state service and the interpretation of its responses.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::StatusCode;
use futures_util::future::LocalBoxFuture;
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::error::{NotExecutedReason, StoreError, OVER_LIMIT};
use super::namespace::Namespace;
use crate::actors::messages::store::{Reply, StoreRequest};
use crate::constants::{MAX_LOGGED_REFUSAL_BYTES, MAX_STORE_CALLS, STORE_PAGE_ITEMS};
use crate::net::{http_client, read_response};
use crate::wire::store::{LeaseAnswer, LeaseRequest, Txn, TxnAnswer};

/// Future of the outcome of a request.
type PendingReply = LocalBoxFuture<'static, Result<Reply, StoreError>>;

/// Sends requests immediately; the caller enforces the rate limits.
pub(super) struct HttpClient {
    client: awc::Client,
    base: String,
    namespace: Namespace,
}

impl HttpClient {
    /// Creates a client of the service at this address, with the prefix of the deployment's keys.
    pub(super) fn new(service: SocketAddr, key_prefix: String) -> Self {
        HttpClient {
            client: http_client(MAX_STORE_CALLS),
            base: format!("http://{service}"),
            namespace: Namespace::new(key_prefix),
        }
    }

    /// Converts the full keys of a reply to local keys.
    pub(super) fn with_local_keys(&self, reply: Reply) -> Reply {
        self.namespace.with_local_keys(reply)
    }

    /// Sends a request. Its reply contains full keys; see [`HttpClient::with_local_keys`].
    pub(super) fn send(&self, request: &StoreRequest) -> PendingReply {
        let base = &self.base;
        let timeout = request.timeout();
        let key = self.namespace.full_key_of(request).unwrap_or_default();
        match request.clone() {
            StoreRequest::List { from, .. } => {
                let mut url = format!("{base}/store?prefix={key}&most={STORE_PAGE_ITEMS}");
                if let Some(from) = from.map(|from| self.namespace.full_key(&from)) {
                    url.push_str("&from=");
                    url.push_str(&from);
                }
                self.get(url, timeout, Reply::Page)
            }
            StoreRequest::Get { .. } => {
                self.get(format!("{base}/store/{key}"), timeout, Reply::Item)
            }
            StoreRequest::Changes { from, .. } => {
                let url = format!("{base}/watch?prefix={key}&from={from}&wait_ms=0");
                self.get(url, timeout, Reply::Changes)
            }
            StoreRequest::Txn(txn) => self.commit(self.namespace.with_full_keys(txn), timeout),
            StoreRequest::GrantLease { ttl_ms } => self.grant(ttl_ms, timeout),
            StoreRequest::RenewLease { lease } => self.renew(lease, timeout),
            StoreRequest::RevokeLease { lease } => self.revoke(lease, timeout),
        }
    }

    fn get<T: DeserializeOwned + 'static>(
        &self,
        url: String,
        timeout: Duration,
        reply: fn(T) -> Reply,
    ) -> PendingReply {
        let client = self.client.clone();
        Box::pin(async move {
            let (status, body) = read_response(client.get(&url).timeout(timeout).send()).await?;
            parse(status, &body).map(reply)
        })
    }

    fn commit(&self, txn: Txn, timeout: Duration) -> PendingReply {
        let (client, url) = (self.client.clone(), format!("{}/txn", self.base));
        Box::pin(async move {
            let (status, body) = post(&client, &url, &txn, timeout).await?;
            if status == StatusCode::CONFLICT {
                let answer: TxnAnswer =
                    serde_json::from_slice(&body).map_err(|_| StoreError::OutcomeUnknown)?;
                return Ok(Reply::Conflict(answer.failed.unwrap_or_default()));
            }
            parse(status, &body).map(|answer: TxnAnswer| Reply::Applied(answer.revision))
        })
    }

    fn grant(&self, ttl_ms: u64, timeout: Duration) -> PendingReply {
        let (client, url) = (self.client.clone(), format!("{}/grants", self.base));
        Box::pin(async move {
            let (status, body) = post(&client, &url, &LeaseRequest { ttl_ms }, timeout).await?;
            parse(status, &body).map(|answer: LeaseAnswer| Reply::Lease(answer.lease))
        })
    }

    fn renew(&self, lease: u64, timeout: Duration) -> PendingReply {
        let (client, url) = (self.client.clone(), format!("{}/grants/{lease}/renew", self.base));
        Box::pin(async move {
            let (status, body) = post(&client, &url, &(), timeout).await?;
            check_status(status, &body).map(|()| Reply::Done)
        })
    }

    fn revoke(&self, lease: u64, timeout: Duration) -> PendingReply {
        let (client, url) = (self.client.clone(), format!("{}/grants/{lease}", self.base));
        Box::pin(async move {
            let (status, body) = read_response(client.delete(&url).timeout(timeout).send()).await?;
            check_status(status, &body).map(|()| Reply::Done)
        })
    }
}

async fn post<T: Serialize>(
    client: &awc::Client,
    url: &str,
    body: &T,
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), StoreError> {
    Ok(read_response(client.post(url).timeout(timeout).send_json(body)).await?)
}

/// Converts the status of a response to an error, unless it is a success.
fn check_status(status: StatusCode, body: &[u8]) -> Result<(), StoreError> {
    match status.as_u16() {
        200..=299 => Ok(()),
        404 => Err(StoreError::NotFound),
        410 => Err(StoreError::TooOld),
        429 => Err(OVER_LIMIT),
        503 => Err(StoreError::NotExecuted(NotExecutedReason::ServiceUnavailable)),
        400..=499 => {
            let text = String::from_utf8_lossy(&body[..body.len().min(MAX_LOGGED_REFUSAL_BYTES)]);
            Err(StoreError::Refused(text.into_owned()))
        }
        _ => Err(StoreError::OutcomeUnknown),
    }
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, StoreError> {
    check_status(status, body)?;
    serde_json::from_slice(body).map_err(|error| {
        tracing::error!(%error, "state service response can't be parsed");
        StoreError::OutcomeUnknown
    })
}
