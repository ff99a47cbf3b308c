//! The keys of this deployment in the state service: its own under a prefix, those that cells
//! share as they are.

use crate::actors::messages::store::{Reply, StoreRequest};
use crate::wire::quota::SHARED_PREFIX;
use crate::wire::store::{Change, Txn};

/// Maps the keys of a deployment to those of the state service and back.
#[derive(Clone, Debug)]
pub struct Namespace {
    prefix: String,
}

impl Namespace {
    /// Own keys lie under this prefix, which may be empty.
    pub fn new(prefix: String) -> Namespace {
        Namespace { prefix }
    }

    /// A key as the state service has it.
    pub fn full_key(&self, key: &str) -> String {
        if key.starts_with(SHARED_PREFIX) {
            key.to_string()
        } else {
            format!("{}{key}", self.prefix)
        }
    }

    /// A key of the state service as this deployment names it.
    fn local_key(&self, key: String) -> String {
        match key.strip_prefix(&self.prefix) {
            Some(own) if !key.starts_with(SHARED_PREFIX) => own.to_string(),
            _ => key,
        }
    }

    /// A transaction as the state service takes it.
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

    /// The key or prefix that a request names, as the state service has it.
    pub fn full_key_of(&self, request: &StoreRequest) -> Option<String> {
        match request {
            StoreRequest::List { prefix, .. } | StoreRequest::Changes { prefix, .. } => {
                Some(self.full_key(prefix))
            }
            StoreRequest::Get { key } => Some(self.full_key(key)),
            _ => None,
        }
    }

    /// An answer with the keys as this deployment names them.
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
