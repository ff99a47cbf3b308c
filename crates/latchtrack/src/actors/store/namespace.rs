//! Key names of a deployment in the state service. Its own keys have a prefix; keys shared by cells
//! are the same for all.

use crate::actors::messages::store::{Reply, StoreRequest};
use crate::wire::quota::SHARED_PREFIX;
use crate::wire::store::{Change, Txn};

/// Converts between the local keys of a deployment and the full keys of the state service.
#[derive(Clone, Debug)]
pub struct Namespace {
    prefix: String,
}

impl Namespace {
    /// Creates a namespace with this prefix, which may be empty.
    pub fn new(prefix: String) -> Namespace {
        Namespace { prefix }
    }

    /// Returns the full key in the state service.
    pub fn full_key(&self, key: &str) -> String {
        if key.starts_with(SHARED_PREFIX) {
            key.to_string()
        } else {
            format!("{}{key}", self.prefix)
        }
    }

    /// Returns the local key of a full key.
    fn local_key(&self, key: String) -> String {
        match key.strip_prefix(&self.prefix) {
            Some(own) if !key.starts_with(SHARED_PREFIX) => own.to_string(),
            _ => key,
        }
    }

    /// Converts the keys of a transaction to full keys.
    pub fn with_full_keys(&self, mut txn: Txn) -> Txn {
        for condition in &mut txn.conditions {
            condition.key = self.full_key(&condition.key);
        }
        for change in &mut txn.changes {
            match change {
                Change::Put { key, .. } | Change::Delete { key } => *key = self.full_key(key),
            }
        }
        txn
    }

    /// Returns the full key or prefix that a read names; `None` for other requests.
    pub fn full_key_of(&self, request: &StoreRequest) -> Option<String> {
        match request {
            StoreRequest::List { prefix, .. } | StoreRequest::Changes { prefix, .. } => {
                Some(self.full_key(prefix))
            }
            StoreRequest::Get { key } => Some(self.full_key(key)),
            _ => None,
        }
    }

    /// Converts the keys of a reply to local keys.
    pub fn with_local_keys(&self, mut reply: Reply) -> Reply {
        match &mut reply {
            Reply::Page(page) => {
                for item in &mut page.items {
                    item.key = self.local_key(std::mem::take(&mut item.key));
                }
            }
            Reply::Item(item) => item.key = self.local_key(std::mem::take(&mut item.key)),
            Reply::Conflict(keys) => {
                for key in keys {
                    *key = self.local_key(std::mem::take(key));
                }
            }
            Reply::Changes(answer) => {
                for event in &mut answer.events {
                    event.put = event.put.take().map(|key| self.local_key(key));
                    event.delete = event.delete.take().map(|key| self.local_key(key));
                }
            }
            Reply::Applied(_) | Reply::Lease(_) | Reply::Done => {}
        }
        reply
    }
}
