//! Messages between nodes and the state service.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A condition of a transaction: the key has this version, 0 for none.
#[derive(Serialize, Clone, Debug)]
pub struct Condition {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "put")]
        key: String,
        #[serde(rename = "data")]
        value: Box<RawValue>,
        #[serde(rename = "charter", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
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

#[derive(Serialize, Clone, Debug)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

#[derive(Deserialize, Debug)]
pub struct TxnAnswer {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Option<Vec<String>>,
}

#[derive(Deserialize, Debug)]
pub struct Item {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "data")]
    pub value: Box<RawValue>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Deserialize, Debug)]
pub struct Page {
    #[serde(rename = "rows")]
    pub items: Vec<Item>,
    #[serde(default)]
    pub truncated: Option<bool>,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

#[derive(Serialize, Clone, Debug)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}

#[derive(Deserialize, Debug)]
pub struct LeaseAnswer {
    #[serde(rename = "charter")]
    pub lease: u64,
}

/// One change that a watch tells of.
#[derive(Deserialize, Debug)]
pub struct Logged {
    #[serde(default)]
    pub put: Option<String>,
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    #[serde(rename = "data", default)]
    pub value: Option<Box<RawValue>>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Deserialize, Debug)]
pub struct WatchAnswer {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(rename = "log", default)]
    pub events: Vec<Logged>,
}
