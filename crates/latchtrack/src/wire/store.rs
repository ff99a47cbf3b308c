//! Messages between nodes and the state service.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A condition of a transaction: the key has this revision. Revision 0 stands for a missing key.
#[derive(Serialize, Clone, Debug)]
pub struct Condition {
    /// Key that the condition applies to.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision of the key.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change made by a transaction.
#[derive(Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// Key to write.
        #[serde(rename = "put")]
        key: String,
        /// Value to write.
        #[serde(rename = "data")]
        value: Box<RawValue>,
        /// Id of the lease to attach the key to, if any: the key is deleted when the lease ends.
        #[serde(rename = "charter", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    /// Size of the value written, in bytes; 0 for a deletion.
    pub fn bytes(&self) -> usize {
        match self {
            Change::Put { value, .. } => value.get().len(),
            Change::Delete { .. } => 0,
        }
    }

    /// The changed key.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A transaction: all changes are applied atomically if all conditions hold, otherwise none.
#[derive(Serialize, Clone, Debug)]
pub struct Txn {
    /// Conditions that must all hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// Changes to apply.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// Response to a transaction.
#[derive(Deserialize, Debug)]
pub struct TxnAnswer {
    /// Revision assigned to all changed keys.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Option<Vec<String>>,
}

/// A key with its value and revision.
#[derive(Deserialize, Debug)]
pub struct Item {
    /// Key of the item.
    #[serde(rename = "k")]
    pub key: String,
    /// Value of the key.
    #[serde(rename = "data")]
    pub value: Box<RawValue>,
    /// Revision of the key's last change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A page of a list.
#[derive(Deserialize, Debug)]
pub struct Page {
    /// Items in order of their keys.
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    /// Whether more pages follow; missing means no.
    #[serde(default)]
    pub truncated: Option<bool>,
    /// Revision of the store at which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Request for a lease.
#[derive(Serialize, Clone, Debug)]
pub struct LeaseRequest {
    /// Time until the lease expires unless renewed, in ms.
    pub ttl_ms: u64,
}

/// Response with a granted lease.
#[derive(Deserialize, Debug)]
pub struct LeaseAnswer {
    /// Id of the lease.
    #[serde(rename = "charter")]
    pub lease: u64,
}

/// A change reported by a watch, in its serialized form.
#[derive(Deserialize, Debug)]
pub struct WatchEvent {
    /// The key, if a value was written.
    #[serde(default)]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// The value, if one was written.
    #[serde(rename = "data", default)]
    pub value: Option<Box<RawValue>>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change of a key, as reported by a watch.
#[derive(Debug)]
pub enum KeyChange {
    /// A value was written.
    Put(Item),
    /// The key was deleted.
    Delete {
        /// The deleted key.
        key: String,
        /// Revision of the change.
        revision: u64,
    },
}

impl WatchEvent {
    /// Converts the event; `None` if it is of a kind unknown to this version.
    pub fn into_change(self) -> Option<KeyChange> {
        let revision = self.revision;
        match (self.put, self.delete, self.value) {
            (Some(key), _, Some(value)) => Some(KeyChange::Put(Item { key, value, revision })),
            (_, Some(key), _) => Some(KeyChange::Delete { key, revision }),
            _ => None,
        }
    }
}

/// Response to a watch.
#[derive(Deserialize, Debug)]
pub struct WatchAnswer {
    /// Revision up to which all changes are included.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes in order of their revisions.
    #[serde(rename = "log", default)]
    pub events: Vec<WatchEvent>,
}
