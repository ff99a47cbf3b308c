//! The cell that a node can lead, if several cells share teams.

use actix::Addr;
use latchtrack_quota::CellRecord;

use crate::actors::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use crate::actors::store::{self, Store, StoreError};
use crate::constants::ELECTION_REQUEST_WAIT_MS;
use crate::settings::Settings;
use crate::wire::quota::term_key;

/// A cell, with the record that its leaders store.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Name of the cell, unique among the cells that share teams.
    pub name: String,
    /// The record that other cells read.
    pub record: CellRecord,
}

/// Reason why a node may not campaign for its cell.
#[derive(Debug, thiserror::Error)]
pub enum CellError {
    /// The request to the state service failed.
    #[error("state service: {0}")]
    Store(#[from] StoreError),
    /// The stored record can't be parsed. It is never overwritten.
    #[error("the stored record can't be parsed and is not overwritten")]
    Unparsable(#[source] serde_json::Error),
    /// The cell name is used by a deployment with another cloud.
    #[error("the cell name is already in use with the cloud at {0}")]
    OtherCloud(String),
}

impl Cell {
    /// Returns the cell that the settings name, if any.
    pub fn from_settings(settings: &Settings) -> Option<Cell> {
        let quota = settings.tuning.quota.as_ref()?;
        let record = CellRecord {
            cloud: settings.platform.services.cloud.to_string(),
            leader_lease_ms: settings.leader_lease_ms(),
            worker_lease_ms: settings.policy().worker_lease_ms,
        };
        Some(Cell { name: quota.cell.clone(), record })
    }

    /// Returns the revision of the stored record, or 0 if there is none. A record of another cloud
    /// is an error: two deployments with one name would mistake each other's leaders for their
    /// own.
    pub async fn stored_revision(&self, store: &Addr<Store>) -> Result<u64, CellError> {
        let get = StoreRequest::Get { key: term_key(&self.name) };
        let answer =
            store::request(store, RequestClass::Lease, get, ELECTION_REQUEST_WAIT_MS).await;
        let item = match answer {
            Ok(StoreAnswer { reply: Reply::Item(item), .. }) => item,
            Ok(_) => return Err(StoreError::OutcomeUnknown.into()),
            Err(StoreError::NotFound) => return Ok(0),
            Err(error) => return Err(error.into()),
        };
        let known: CellRecord =
            serde_json::from_str(item.value.get()).map_err(CellError::Unparsable)?;
        if known.cloud == self.record.cloud {
            Ok(item.revision)
        } else {
            Err(CellError::OtherCloud(known.cloud))
        }
    }
}
