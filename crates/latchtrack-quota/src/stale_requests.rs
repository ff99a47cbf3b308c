//! Tracks requests of other cells that could be granted but remain pending, because their cells are
//! gone or can't act.

use std::collections::BTreeMap;

use crate::apportionment::{Apportionment, OpenRequest};
use crate::constants::REQUEST_STALE_MS;
use crate::Millis;

/// Grantable requests of other cells, with the time since when each could have been granted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct StaleRequests {
    since: BTreeMap<OpenRequest, Millis>,
}

impl StaleRequests {
    /// Updates the tracked requests, and returns the cells whose requests have been grantable for
    /// [`REQUEST_STALE_MS`] or longer.
    pub(crate) fn observe(&mut self, now: Millis, apportionment: &Apportionment) -> Vec<String> {
        let mut since = BTreeMap::new();
        for request in apportionment.grantable_requests() {
            let began = self.since.get(&request).copied().unwrap_or(now);
            since.insert(request, began);
        }
        self.since = since;
        let is_stale = |began: Millis| now >= began.saturating_add(REQUEST_STALE_MS);
        let stale = self.since.iter().filter(|(_, began)| is_stale(**began));
        stale.map(|(request, _)| request.cell.clone()).collect()
    }
}
