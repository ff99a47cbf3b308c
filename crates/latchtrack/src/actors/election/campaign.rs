//! A single attempt to acquire the leader key.

use actix::Addr;

use super::cell::Cell;
use super::lease::{lease_valid_until, HeldTerm};
use crate::actors::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use crate::actors::store::{self, Store, StoreError};
use crate::constants::ELECTION_REQUEST_WAIT_MS;
use crate::wire::quota::{campaign_changes, term_key};
use crate::wire::records::{LeaderRecord, LEADER_KEY};
use crate::wire::store::{Change, Condition, Txn};

/// The node that campaigns, and the lease and cell that it campaigns for.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    /// Name of this node.
    pub(super) node: String,
    /// Random number that distinguishes this run of the node from its other runs.
    pub(super) run: u64,
    /// Duration of the lease in ms.
    pub(super) ttl_ms: u64,
    /// The cell to lead, if several cells share teams.
    pub(super) cell: Option<Cell>,
}

/// How a campaign ended.
pub(super) enum CampaignOutcome {
    /// This node leads.
    Won(HeldTerm),
    /// The key already exists, or the transaction was refused or not executed.
    Lost,
    /// The leader key may have been created, or may be created later.
    Unknown {
        /// Id of the lease that the key is attached to if it is created.
        lease: u64,
    },
    /// The campaign ended before it tried to create the leader key.
    Failed,
}

/// Acquires a lease, then creates the leader key, attached to the lease, if the key is absent. The
/// records of the cell are written in the same transaction.
pub(super) async fn run_campaign(store: &Addr<Store>, candidate: Candidate) -> CampaignOutcome {
    let cell_condition = match &candidate.cell {
        Some(cell) => match cell.stored_revision(store).await {
            Ok(revision) => Some(Condition { key: term_key(&cell.name), revision }),
            Err(error) => {
                tracing::error!(
                    cell = cell.name,
                    %error,
                    "not campaigning: the check of the cell's stored record failed"
                );
                return CampaignOutcome::Failed;
            }
        },
        None => None,
    };
    let ttl_ms = candidate.ttl_ms;
    let granted = request(store, RequestClass::Lease, StoreRequest::GrantLease { ttl_ms }).await;
    let Ok(StoreAnswer { reply: Reply::Lease(lease), sent_at }) = granted else {
        return CampaignOutcome::Failed;
    };
    let Ok(txn) = campaign_txn(candidate, cell_condition, lease) else {
        return CampaignOutcome::Failed;
    };
    match request(store, RequestClass::Lease, StoreRequest::Txn(txn)).await {
        Ok(StoreAnswer { reply: Reply::Applied(token), .. }) => {
            let valid_until = lease_valid_until(ttl_ms, sent_at);
            CampaignOutcome::Won(HeldTerm { token, lease, valid_until })
        }
        Err(StoreError::OutcomeUnknown) => CampaignOutcome::Unknown { lease },
        Ok(_) | Err(_) => {
            // If the revocation fails, the unused lease expires.
            let _ =
                request(store, RequestClass::Background, StoreRequest::RevokeLease { lease }).await;
            CampaignOutcome::Lost
        }
    }
}

async fn request(
    store: &Addr<Store>,
    class: RequestClass,
    request: StoreRequest,
) -> Result<StoreAnswer, StoreError> {
    store::request(store, class, request, ELECTION_REQUEST_WAIT_MS).await
}

/// Builds the transaction that creates the leader key if it is absent.
fn campaign_txn(
    candidate: Candidate,
    cell_condition: Option<Condition>,
    lease: u64,
) -> serde_json::Result<Txn> {
    let Candidate { node, run, cell, .. } = candidate;
    let value = serde_json::value::to_raw_value(&LeaderRecord { node, run, lease })?;
    let mut txn = Txn {
        conditions: vec![Condition { key: LEADER_KEY.into(), revision: 0 }],
        changes: vec![Change::Put { key: LEADER_KEY.into(), value, lease: Some(lease) }],
    };
    txn.conditions.extend(cell_condition);
    if let Some(cell) = &cell {
        txn.changes.extend(campaign_changes(&cell.name, &cell.record, lease)?);
    }
    Ok(txn)
}
