//! An emulated state service: keys with revisions, leases, transactions and a change log.

mod faults;
mod server;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

pub use faults::{FaultCounts, TransactionFaults};
pub use server::serve_state;

/// Default number of keys on a page. It is small so that tests exercise paging.
const DEFAULT_PAGE_SIZE: usize = 2;
/// Prefix of the keys of the teams' ledgers, which cells share.
const LEDGER_PREFIX: &str = "quota/team/";
/// Prefix of the keys of job records.
const JOB_PREFIX: &str = "live/job/";
/// The key held by the leader.
const LEADER_KEY: &str = "live/leader";

/// Why a transaction did not commit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransactionError {
    /// The service is set to be down.
    #[error("the state service is down")]
    Unavailable,
    /// Some keys do not have the revisions that the transaction requires.
    #[error("revision conflict at keys: {}", keys.join(", "))]
    Conflict {
        /// The keys whose conditions failed.
        keys: Vec<String>,
    },
}

/// The lease has already ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no such lease")]
pub struct LeaseEnded;

/// The node that holds the leader key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Its node name.
    pub node: String,
    /// The revision of the leader key, which is the leader's fencing token.
    pub revision: u64,
    /// The lease that the leader key is attached to, if any.
    pub lease: Option<u64>,
}

/// The expiry of a lease.
struct Expiry {
    ttl: Duration,
    at: Instant,
}

/// A page of keys, in key order.
struct Page {
    rows: Vec<Value>,
    /// Whether more keys follow this page.
    truncated: bool,
}

/// The state of the service. Leases last until they are ended explicitly, unless
/// [`leases_expire`](Self::leases_expire) is set.
#[derive(Default)]
pub struct StateService {
    /// The value, the revision and the lease of each key.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// All changes, in the format that watches return.
    log: Vec<Value>,
    revision: u64,
    last_lease: u64,
    ended_leases: BTreeSet<u64>,
    /// Expiries of the leases granted while `leases_expire` was set.
    expiries: BTreeMap<u64, Expiry>,
    /// Whether leases expire after their TTL. To be set before the first lease is granted.
    pub leases_expire: bool,
    ledger_writes: u64,
    /// Whether requests get 503, except those that end a lease.
    pub down: bool,
    /// Whether to commit the next transaction on a job record but drop its response.
    pub lose_next_job_response: bool,
    /// Random faults, if any.
    pub faults: Option<TransactionFaults>,
    /// Number of keys on a page; `None` for a small default.
    pub page_size: Option<usize>,
}

impl StateService {
    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|(value, ..)| value.clone())
    }

    /// Returns the node that holds the leader key.
    pub fn leader(&self) -> Option<Leader> {
        let (record, revision, lease) = self.keys.get(LEADER_KEY)?;
        let node = record["node"].as_str()?.to_string();
        Some(Leader { node, revision: *revision, lease: *lease })
    }

    /// Returns the number of ledger writes so far.
    pub fn ledger_writes(&self) -> u64 {
        self.ledger_writes
    }

    /// Writes a key, as a transaction of another client would.
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

    /// Returns one page of the keys that have a prefix and sort after `from`.
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

    /// Returns the changes after a revision to keys with a prefix.
    fn changes_since(&self, revision: u64, prefix: &str) -> Vec<&Value> {
        let newer = self.log.iter().filter(|change| change["stamp"].as_u64() > Some(revision));
        let has_prefix = |change: &&Value| {
            let key = change["put"].as_str().or(change["drop"].as_str()).unwrap_or_default();
            key.starts_with(prefix)
        };
        newer.filter(has_prefix).collect()
    }

    /// Commits a transaction in the protocol's format, and returns its revision.
    fn commit(&mut self, body: &Value) -> Result<u64, TransactionError> {
        if self.down {
            return Err(TransactionError::Unavailable);
        }
        self.expire_leases();
        let conditions = body["if"].as_array().expect("`if` is a list").iter();
        let key_of =
            |condition: &Value| condition["k"].as_str().expect("`k` is a string").to_string();
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

    /// Returns whether to drop the response to this transaction, and clears
    /// `lose_next_job_response` if so. Other transactions do not count, since tests cannot control
    /// when the leader writes.
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

    /// Ends the leases whose TTL has passed without a renewal.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.expiries.iter().filter(|(_, expiry)| expiry.at < now);
        for lease in expired.map(|(lease, _)| *lease).collect::<Vec<u64>>() {
            self.expiries.remove(&lease);
            self.end_lease(lease);
        }
    }

    /// Ends a lease and deletes the keys attached to it.
    pub fn end_lease(&mut self, lease: u64) {
        self.ended_leases.insert(lease);
        self.revision += 1;
        let held = self.keys.iter().filter(|(_, (_, _, of_key))| *of_key == Some(lease));
        for key in held.map(|(key, _)| key.clone()).collect::<Vec<String>>() {
            self.apply_delete(&key);
        }
    }
}
