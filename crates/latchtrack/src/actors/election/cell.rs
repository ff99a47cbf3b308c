//! The cell that a node would lead, where several cells share teams.

use actix::Addr;
use latchtrack_quota::CellRecord;

use crate::actors::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use crate::actors::store::{self, Store, StoreError};
use crate::constants::ELECTION_REQUEST_WAIT_MS;
use crate::settings::Settings;
use crate::wire::quota::term_key;

/// A cell, and what its leaders store of it.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Its name.
    pub name: String,
    /// What other cells may know of it.
    pub record: CellRecord,
}

/// Why a node may not campaign for its cell.
#[derive(Debug, thiserror::Error)]
pub enum CellError {
    /// The state service can't be asked.
    #[error("the state service: {0}")]
    Store(#[from] StoreError),
    /// The stored record can't be parsed.
    #[error("its record is garbled, and is not overwritten")]
    Unparsable(#[source] serde_json::Error),
    /// Another deployment has the same name.
    #[error("the name is in use with the cloud at {0}")]
    OtherCloud(String),
}

impl Cell {
    /// The cell of these settings, if they name one.
    pub fn from_settings(settings: &Settings) -> Option<Cell> {
        let quota = settings.tuning.quota.as_ref()?;
        let record = CellRecord {
            cloud: settings.platform.services.cloud.to_string(),
            leader_lease_ms: settings.leader_lease_ms(),
            worker_lease_ms: settings.policy().worker_lease_ms,
        };
        Some(Cell { name: quota.cell.clone(), record })
    }

    /// The revision of the stored record, 0 if there is none. A record of another cloud is an
    /// error: two deployments under one name would each take the other's leaders for its own.
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
