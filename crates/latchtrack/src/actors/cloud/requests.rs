//! HTTP requests to the cloud and the interpretation of its responses.

use std::future::Future;
use std::net::SocketAddr;

use actix_web::http::StatusCode;
use latchtrack_core::machine::MachineType;
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::{ListedMachine, ProvisionOutcome};

use crate::constants::{CLOUD_TIMEOUT, LIST_PAGE_MACHINES, MAX_CLOUD_CALLS};
use crate::net::{http_client, read_response, CallError};
use crate::wire::cloud::{
    ErrorAnswer, ListAnswer, MachineNames, ProvisionRequest, TypesAnswer, NO_CAPACITY,
};

/// The machines listed so far.
pub(super) enum Listing {
    /// All machines.
    Complete(Vec<ListedMachine>),
    /// The machines of the pages read so far; more pages follow.
    Partial(Vec<ListedMachine>),
}

/// Sends requests to the cloud immediately; the caller enforces the rate limit.
pub(super) struct CloudApi {
    client: awc::Client,
    base: String,
}

impl CloudApi {
    /// Creates a client of the cloud at this address.
    pub(super) fn new(cloud: SocketAddr) -> Self {
        CloudApi { client: http_client(MAX_CLOUD_CALLS), base: format!("http://{cloud}") }
    }

    /// Reads the machine types and prices. Returns `None` on any failure.
    pub(super) fn machine_types(&self) -> impl Future<Output = Option<Vec<MachineType>>> {
        let url = format!("{}/machine_types", self.base);
        let request = self.client.get(url).timeout(CLOUD_TIMEOUT);
        async move {
            let (status, body) = read_response(request.send()).await.ok()?;
            if status != StatusCode::OK {
                return None;
            }
            let answer: TypesAnswer = serde_json::from_slice(&body)
                .map_err(|error| {
                    tracing::error!(%error, "machine types from the cloud can't be parsed");
                })
                .ok()?;
            Some(answer.types.into_iter().map(MachineType::from).collect())
        }
    }

    /// Provisions `number` machines; the cloud treats a repeated `request_id` as the same request.
    pub(super) fn provision(
        &self,
        request_id: String,
        offer: Offer,
        number: u32,
    ) -> impl Future<Output = ProvisionOutcome> {
        let request = self.client.post(format!("{}/rentals", self.base)).timeout(CLOUD_TIMEOUT);
        async move {
            let body = ProvisionRequest {
                request: &request_id,
                machine_type: &offer.machine_type,
                zone: &offer.zone,
                spot: offer.spot,
                number,
            };
            provision_outcome(read_response(request.send_json(&body)).await)
        }
    }

    /// Terminates machines. Returns whether the cloud accepted the request.
    pub(super) fn terminate(&self, machines: Vec<String>) -> impl Future<Output = bool> {
        let url = format!("{}/rentals/delete", self.base);
        let request = self.client.post(url).timeout(CLOUD_TIMEOUT);
        async move {
            let sent = request.send_json(&MachineNames { machines });
            matches!(read_response(sent).await, Ok((StatusCode::OK, _)))
        }
    }

    /// Reads the page of the list that follows `listed`. Returns `None` on any failure.
    pub(super) fn list_page(
        &self,
        mut listed: Vec<ListedMachine>,
    ) -> impl Future<Output = Option<Listing>> {
        let last = listed.last().map(|machine| format!("&from={}", machine.name));
        let from = last.unwrap_or_default();
        let url = format!("{}/rentals?most={LIST_PAGE_MACHINES}{from}", self.base);
        let request = self.client.get(url).timeout(CLOUD_TIMEOUT);
        async move {
            let (status, body) = read_response(request.send()).await.ok()?;
            if status != StatusCode::OK {
                return None;
            }
            let page: ListAnswer = serde_json::from_slice(&body).ok()?;
            let has_more = page.truncated.unwrap_or(false) && !page.machines.is_empty();
            listed.extend(page.machines.into_iter().map(ListedMachine::from));
            Some(if has_more { Listing::Partial(listed) } else { Listing::Complete(listed) })
        }
    }
}

fn provision_outcome(result: Result<(StatusCode, Vec<u8>), CallError>) -> ProvisionOutcome {
    let (status, body) = match result {
        Ok(answer) => answer,
        Err(CallError::NotSent) => return ProvisionOutcome::NotExecuted,
        Err(CallError::OutcomeUnknown) => return ProvisionOutcome::Unknown,
    };
    match status {
        StatusCode::OK => match serde_json::from_slice::<MachineNames>(&body) {
            Ok(names) => ProvisionOutcome::Provisioned(names.machines),
            Err(_) => ProvisionOutcome::Unknown,
        },
        StatusCode::SERVICE_UNAVAILABLE => {
            let answer: ErrorAnswer = serde_json::from_slice(&body).unwrap_or_default();
            if answer.error == NO_CAPACITY {
                ProvisionOutcome::NoCapacity
            } else {
                ProvisionOutcome::NotExecuted
            }
        }
        StatusCode::TOO_MANY_REQUESTS => ProvisionOutcome::NotExecuted,
        other => {
            tracing::error!(status = other.as_u16(), "provision request refused by the cloud");
            ProvisionOutcome::NoCapacity
        }
    }
}
