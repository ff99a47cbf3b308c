//! Requests of the cloud as HTTP, and what their answers mean.

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

/// What has been listed so far.
pub(super) enum ListedPage {
    /// All machines.
    Last(Vec<ListedMachine>),
    /// Those up to a page after which others come.
    MoreToCome(Vec<ListedMachine>),
}

/// Sends requests to the cloud at once; who asks is to keep to the call rate.
pub(super) struct CloudApi {
    client: awc::Client,
    base: String,
}

impl CloudApi {
    /// The cloud at this address.
    pub(super) fn new(cloud: SocketAddr) -> Self {
        CloudApi { client: http_client(MAX_CLOUD_CALLS), base: format!("http://{cloud}") }
    }

    /// The machine types and prices; None if the cloud did not tell them.
    pub(super) fn machine_types(&self) -> impl Future<Output = Option<Vec<MachineType>>> {
        let url = format!("{}/machine_types", self.base);
        let request = self.client.get(url).timeout(CLOUD_TIMEOUT);
        async move {
            let (status, body) = read_response(request.send()).await.ok()?;
            if status != StatusCode::OK {
                return None;
            }
            let answer: TypesAnswer = serde_json::from_slice(&body)
                .map_err(|error| tracing::error!(%error, "machine types can't be parsed"))
                .ok()?;
            Some(answer.types.into_iter().map(MachineType::from).collect())
        }
    }

    /// Provisions machines.
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

    /// Terminates machines; whether the cloud has accepted it.
    pub(super) fn terminate(&self, machines: Vec<String>) -> impl Future<Output = bool> {
        let url = format!("{}/rentals/delete", self.base);
        let request = self.client.post(url).timeout(CLOUD_TIMEOUT);
        async move {
            let sent = request.send_json(&MachineNames { machines });
            matches!(read_response(sent).await, Ok((StatusCode::OK, _)))
        }
    }

    /// Reads one more page of the list, after what is listed; None if the cloud did not tell it.
    pub(super) fn list_page(
        &self,
        mut listed: Vec<ListedMachine>,
    ) -> impl Future<Output = Option<ListedPage>> {
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
            Some(if has_more { ListedPage::MoreToCome(listed) } else { ListedPage::Last(listed) })
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
