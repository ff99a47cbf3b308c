//! Keys and values that cells share in the state service. This is a published format.

use std::collections::BTreeMap;

use latchtrack_quota::{
    CellRecord, CellStatus, LedgerSnapshot, LedgerWrite, StoredLedger, TeamLedger,
};
use serde_json::value::{to_raw_value, RawValue};

use super::records::LEADER_KEY;
use super::store::{Change, Condition, Txn};

/// Prefix of all shared keys.
pub const SHARED_PREFIX: &str = "quota/";
/// Prefix of the teams' ledgers.
const TEAMS_PREFIX: &str = "quota/team/";
/// Prefix of the keys that exist while a cell has a leader.
const LIVE_PREFIX: &str = "quota/live/";
/// Prefix of the cell records. The revision of a record is the fencing token of the cell's last
/// leader.
const TERMS_PREFIX: &str = "quota/term/";

/// Key of a cell's record.
pub fn term_key(cell: &str) -> String {
    format!("{TERMS_PREFIX}{cell}")
}

fn live_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}{cell}")
}

/// Key of a team's ledger.
pub fn team_key(team: &str) -> String {
    format!("{TEAMS_PREFIX}{team}")
}

/// Changes that a campaign makes to the keys of its cell, in the transaction that writes the leader
/// key.
pub fn campaign_changes(
    cell: &str,
    record: &CellRecord,
    lease: u64,
) -> serde_json::Result<Vec<Change>> {
    let live = to_raw_value(&BTreeMap::<(), ()>::new())?;
    Ok(vec![
        Change::Put { key: live_key(cell), value: live, lease: Some(lease) },
        Change::Put { key: term_key(cell), value: to_raw_value(record)?, lease: None },
    ])
}

/// The transaction that writes a ledger. It requires that the writer still leads, that the ledger
/// still has the expected revision, and that no node has led one of the dead cells since.
pub fn ledger_transaction(token: u64, write: &LedgerWrite) -> serde_json::Result<Txn> {
    let key = team_key(&write.team);
    let mut conditions = vec![
        Condition { key: LEADER_KEY.into(), revision: token },
        Condition { key: key.clone(), revision: write.expected_revision },
    ];
    for dead in &write.dead {
        conditions.push(Condition { key: live_key(&dead.cell), revision: 0 });
        conditions.push(Condition { key: term_key(&dead.cell), revision: dead.term_revision });
    }
    let value = to_raw_value(&write.ledger)?;
    Ok(Txn { conditions, changes: vec![Change::Put { key, value, lease: None }] })
}

/// Local copy of the shared keys, with the latest known revision of each.
#[derive(Default)]
pub struct SharedKeys {
    values: BTreeMap<String, (u64, Box<RawValue>)>,
}

impl SharedKeys {
    /// Removes all keys.
    pub fn clear(&mut self) {
        self.values.clear();
    }

    /// Stores a value unless a newer one is known.
    pub fn put(&mut self, key: String, revision: u64, value: Box<RawValue>) {
        if self.values.get(&key).is_none_or(|(known, _)| *known <= revision) {
            self.values.insert(key, (revision, value));
        }
    }

    /// Removes a key that was deleted at this revision, unless its known value is newer.
    pub fn delete(&mut self, key: &str, revision: u64) {
        if self.values.get(key).is_some_and(|(known, _)| *known < revision) {
            self.values.remove(key);
        }
    }

    /// A snapshot of the known ledgers and cells, labelled with this revision.
    pub fn snapshot(&self, revision: u64) -> LedgerSnapshot {
        let mut snapshot = LedgerSnapshot { revision, ..LedgerSnapshot::default() };
        for (key, (revision, value)) in &self.values {
            if let Some(team) = key.strip_prefix(TEAMS_PREFIX) {
                let ledger = TeamLedger::parse(value.get());
                let stored = StoredLedger { revision: *revision, ledger };
                snapshot.teams.insert(team.to_string(), stored);
            } else if let Some(cell) = key.strip_prefix(TERMS_PREFIX) {
                let status = CellStatus {
                    has_leader: self.values.contains_key(&live_key(cell)),
                    term_revision: *revision,
                    record: serde_json::from_str(value.get()).ok(),
                };
                snapshot.cells.insert(cell.to_string(), status);
            }
        }
        snapshot
    }
}
