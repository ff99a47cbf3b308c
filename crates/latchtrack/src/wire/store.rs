//! Messages between nodes and the state service.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A condition of a transaction: the key has this revision, 0 if it must not exist.
#[derive(Serialize, Clone, Debug)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its revision.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change of a transaction.
#[derive(Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        #[serde(rename = "data")]
        value: Box<RawValue>,
        /// The lease that the key is to go with, if any.
        #[serde(rename = "charter", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    /// Bytes of the value that it puts.
    pub fn bytes(&self) -> usize {
        match self {
            Change::Put { value, .. } => value.get().len(),
            Change::Delete { .. } => 0,
        }
    }

    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A compare-and-swap: the changes take effect if all conditions hold.
#[derive(Serialize, Clone, Debug)]
pub struct Txn {
    /// What must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// What is changed.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// The answer to a transaction.
#[derive(Deserialize, Debug)]
pub struct TxnAnswer {
    /// The revision that all changed keys have.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Option<Vec<String>>,
}

/// A key with its value.
#[derive(Deserialize, Debug)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Box<RawValue>,
    /// Revision of the last change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A page of a list.
#[derive(Deserialize, Debug)]
pub struct Page {
    /// The items, in order of their keys.
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    /// Whether others follow.
    #[serde(default)]
    pub truncated: Option<bool>,
    /// Revision of the service when it was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Asks for a lease.
#[derive(Serialize, Clone, Debug)]
pub struct LeaseRequest {
    /// ms until it expires.
    pub ttl_ms: u64,
}

/// A lease that is granted.
#[derive(Deserialize, Debug)]
pub struct LeaseAnswer {
    /// Its id.
    #[serde(rename = "charter")]
    pub lease: u64,
}

/// One change that a watch tells of, as it stands on the wire.
#[derive(Deserialize, Debug)]
pub struct WatchEvent {
    /// The key, if a value was put.
    #[serde(default)]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// The value that was put.
    #[serde(rename = "data", default)]
    pub value: Option<Box<RawValue>>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug)]
pub enum KeyChange {
    /// It has a value now.
    Put(Item),
    /// It was deleted.
    Delete {
        /// The key.
        key: String,
        /// Revision of the change.
        revision: u64,
    },
}

impl WatchEvent {
    /// What has changed; None for an event that this version does not know.
    pub fn into_change(self) -> Option<KeyChange> {
        let revision = self.revision;
        match (self.put, self.delete, self.value) {
            (Some(key), _, Some(value)) => Some(KeyChange::Put(Item { key, value, revision })),
            (_, Some(key), _) => Some(KeyChange::Delete { key, revision }),
            _ => None,
        }
    }
}

/// The answer to a watch.
#[derive(Deserialize, Debug)]
pub struct WatchAnswer {
    /// Up to which revision the changes are included.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes, in order.
    #[serde(rename = "log", default)]
    pub events: Vec<WatchEvent>,
}
