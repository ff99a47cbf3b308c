//! An emulated state service: keys, leases, transactions, a log of changes.

mod faults;
mod server;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

pub use faults::{FaultCounts, TransactionFaults};
pub use server::serve_state;

/// Keys on a page unless a test says otherwise: few, so that paging is exercised.
const DEFAULT_PAGE_SIZE: usize = 2;
/// Keys of the ledgers that cells share.
const LEDGER_PREFIX: &str = "quota/team/";
/// Keys of the job records.
const JOB_PREFIX: &str = "live/job/";
/// The key whose holder leads.
const LEADER_KEY: &str = "live/leader";

/// Why a transaction did not commit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransactionError {
    /// The service is down.
    #[error("the state service is down")]
    Unavailable,
    /// Keys have other revisions than the transaction names.
    #[error("conflict at {}", keys.join(", "))]
    Conflict {
        /// Those keys.
        keys: Vec<String>,
    },
}

/// A lease has ended, or was never granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no such lease")]
pub struct LeaseEnded;

/// The node that leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Its name.
    pub node: String,
    /// The revision of the leader key: its fencing token.
    pub revision: u64,
    /// The lease of the leader key, if it has one.
    pub lease: Option<u64>,
}

/// When a lease expires.
struct Expiry {
    ttl: Duration,
    at: Instant,
}

/// Some of the keys, in their order.
struct Page {
    rows: Vec<Value>,
    /// Whether more keys follow.
    truncated: bool,
}

/// The state service. Its leases last until they are ended, unless
/// [`leases_expire`](Self::leases_expire) is set.
#[derive(Default)]
pub struct StateService {
    /// Each key's value, revision and lease.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// All changes, as a watch returns them.
    log: Vec<Value>,
    revision: u64,
    last_lease: u64,
    ended_leases: BTreeSet<u64>,
    /// Of the leases that expire unless they are renewed.
    expiries: BTreeMap<u64, Expiry>,
    /// Whether leases expire by themselves; to be set before the first is granted.
    pub leases_expire: bool,
    ledger_writes: u64,
    /// Responds with 503 to everything.
    pub down: bool,
    /// Commits the next transaction on a job record but breaks off the response.
    pub lose_next_job_response: bool,
    /// Faults by chance; None: there are none.
    pub faults: Option<TransactionFaults>,
    /// Keys on a page; None: a few.
    pub page_size: Option<usize>,
}

impl StateService {
    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|(value, ..)| value.clone())
    }

    /// The node that leads, by the leader key.
    pub fn leader(&self) -> Option<Leader> {
        let (record, revision, lease) = self.keys.get(LEADER_KEY)?;
        let node = record["node"].as_str()?.to_string();
        Some(Leader { node, revision: *revision, lease: *lease })
    }

    /// Writes of ledgers that cells share, so far.
    pub fn ledger_writes(&self) -> u64 {
        self.ledger_writes
    }

    /// Puts a key, as a transaction of somebody else would.
    pub fn put(&mut self, key: &str, data: Value, lease: Option<u64>) {
        self.revision += 1;
        self.apply_put(key, data, lease);
    }

    fn apply_put(&mut self, key: &str, data: Value, lease: Option<u64>) {
        let revision = self.revision;
        self.log.push(json!({"put": key, "data": data, "stamp": revision}));
        self.keys.insert(key.into(), (data, revision, lease));
    }

    fn apply_delete(&mut self, key: &str) {
        self.log.push(json!({"drop": key, "stamp": self.revision}));
        self.keys.remove(key);
    }

    /// The keys with a prefix after a key, as many as a page has.
    fn page(&self, prefix: &str, from: &str) -> Page {
        let listed = self.keys.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from);
        let rows = listed
            .map(|(key, (data, revision, _))| json!({"k": key, "data": data, "stamp": revision}));
        let mut rows: Vec<Value> = rows.collect();
        let page_size = self.page_size.unwrap_or(DEFAULT_PAGE_SIZE);
        let truncated = rows.len() > page_size;
        rows.truncate(page_size);
        Page { rows, truncated }
    }

    /// The changes of keys with a prefix after a revision.
    fn changes_since(&self, revision: u64, prefix: &str) -> Vec<&Value> {
        let newer = self.log.iter().filter(|change| change["stamp"].as_u64() > Some(revision));
        let has_prefix = |change: &&Value| {
            let key = change["put"].as_str().or(change["drop"].as_str()).unwrap_or_default();
            key.starts_with(prefix)
        };
        newer.filter(has_prefix).collect()
    }

    /// Commits a transaction in the words of the protocol; returns its revision.
    fn commit(&mut self, body: &Value) -> Result<u64, TransactionError> {
        if self.down {
            return Err(TransactionError::Unavailable);
        }
        self.expire_leases();
        let conditions = body["if"].as_array().expect("`if` is a list").iter();
        let key_of = |condition: &Value| condition["k"].as_str().expect("`k`").to_string();
        let is_violated = |condition: &&Value| {
            let revision =
                self.keys.get(&key_of(condition)).map_or(0, |(_, revision, _)| *revision);
            condition["stamp"].as_u64() != Some(revision)
        };
        let keys: Vec<String> = conditions.filter(is_violated).map(key_of).collect();
        if !keys.is_empty() {
            return Err(TransactionError::Conflict { keys });
        }
        self.revision += 1;
        for change in body["apply"].as_array().expect("`apply` is a list") {
            if let Some(key) = change["put"].as_str() {
                self.ledger_writes += u64::from(key.starts_with(LEDGER_PREFIX));
                self.apply_put(key, change["data"].clone(), change["charter"].as_u64());
            } else if let Some(key) = change["drop"].as_str() {
                self.apply_delete(key);
            }
        }
        Ok(self.revision)
    }

    /// Whether the response to this transaction is the one that a test wants lost. Only those on
    /// job records count: the leader writes at times of its own.
    fn loses_response(&mut self, body: &Value) -> bool {
        let first_put = body["apply"][0]["put"].as_str();
        let is_of_job = first_put.is_some_and(|key| key.starts_with(JOB_PREFIX));
        is_of_job && std::mem::take(&mut self.lose_next_job_response)
    }

    fn grant_lease(&mut self, ttl_ms: impl FnOnce() -> u64) -> u64 {
        self.last_lease += 1;
        if self.leases_expire {
            let ttl = Duration::from_millis(ttl_ms());
            self.expiries.insert(self.last_lease, Expiry { ttl, at: Instant::now() + ttl });
        }
        self.last_lease
    }

    fn renew_lease(&mut self, lease: u64) -> Result<(), LeaseEnded> {
        if self.ended_leases.contains(&lease) {
            return Err(LeaseEnded);
        }
        if let Some(expiry) = self.expiries.get_mut(&lease) {
            expiry.at = Instant::now() + expiry.ttl;
        }
        Ok(())
    }

    /// Ends the leases that were not renewed in time.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.expiries.iter().filter(|(_, expiry)| expiry.at < now);
        for lease in expired.map(|(lease, _)| *lease).collect::<Vec<u64>>() {
            self.expiries.remove(&lease);
            self.end_lease(lease);
        }
    }

    /// Ends a lease, and deletes its keys.
    pub fn end_lease(&mut self, lease: u64) {
        self.ended_leases.insert(lease);
        self.revision += 1;
        let held = self.keys.iter().filter(|(_, (_, _, of_key))| *of_key == Some(lease));
        for key in held.map(|(key, _)| key.clone()).collect::<Vec<String>>() {
            self.apply_delete(&key);
        }
    }
}
