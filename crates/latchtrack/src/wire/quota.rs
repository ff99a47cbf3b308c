//! The keys that cells share in the state service, and the values under them. A published format.

use std::collections::BTreeMap;

use latchtrack_quota::{
    CellRecord, CellStatus, LedgerSnapshot, LedgerWrite, StoredLedger, TeamLedger,
};
use serde_json::value::{to_raw_value, RawValue};

use super::records::LEADER_KEY;
use super::store::{Change, Condition, Txn};

/// Prefix of all keys that cells share.
pub const SHARED_PREFIX: &str = "quota/";
/// Prefix of the teams' ledgers.
const TEAMS_PREFIX: &str = "quota/team/";
/// Prefix of the keys that exist while a cell is led.
const LIVE_PREFIX: &str = "quota/live/";
/// Prefix of the records of the cells; the revision of one is the fencing token of the cell's last
/// leader.
const TERMS_PREFIX: &str = "quota/term/";

/// The key of a cell's record.
pub fn term_key(cell: &str) -> String {
    format!("{TERMS_PREFIX}{cell}")
}

fn live_key(cell: &str) -> String {
    format!("{LIVE_PREFIX}{cell}")
}

/// The key of a team's ledger.
pub fn team_key(team: &str) -> String {
    format!("{TEAMS_PREFIX}{team}")
}

/// What a leader stores of its cell in the transaction that makes it one.
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

/// The transaction of a change of a ledger: fenced by the writer's leader key, by the revision of
/// the ledger that it replaces, and by the keys of the cells that it takes to be dead.
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

/// All that cells share, by key, with the newest revision that was seen.
#[derive(Default)]
pub struct SharedKeys {
    values: BTreeMap<String, (u64, Box<RawValue>)>,
}

impl SharedKeys {
    /// Forgets everything.
    pub fn clear(&mut self) {
        self.values.clear();
    }

    /// Takes in a value, unless a newer one is known.
    pub fn put(&mut self, key: String, revision: u64, value: Box<RawValue>) {
        if self.values.get(&key).is_none_or(|(known, _)| *known <= revision) {
            self.values.insert(key, (revision, value));
        }
    }

    /// A key has gone at this revision.
    pub fn delete(&mut self, key: &str, revision: u64) {
        if self.values.get(key).is_some_and(|(known, _)| *known < revision) {
            self.values.remove(key);
        }
    }

    /// The ledgers and cells as they are known, up to this revision.
    pub fn snapshot(&self, revision: u64) -> LedgerSnapshot {
        let mut view = LedgerSnapshot { revision, ..LedgerSnapshot::default() };
        for (key, (revision, value)) in &self.values {
            if let Some(team) = key.strip_prefix(TEAMS_PREFIX) {
                let ledger = TeamLedger::parse(value.get());
                let seen = StoredLedger { revision: *revision, ledger };
                view.teams.insert(team.to_string(), seen);
            } else if let Some(cell) = key.strip_prefix(TERMS_PREFIX) {
                let presence = CellStatus {
                    has_leader: self.values.contains_key(&live_key(cell)),
                    term_revision: *revision,
                    record: serde_json::from_str(value.get()).ok(),
                };
                view.cells.insert(cell.to_string(), presence);
            }
        }
        view
    }
}
