//! Samples the teams' stored ledgers: allotments, the latency of requests and guarantees, and the
//! time until the allotments of dead cells are reclaimed.

use std::collections::BTreeMap;

use serde_json::Value;

use super::cell::{cell_name, Cell};
use super::outcome::{AllotmentSample, RaceOutcome};
use super::GUARANTEE_CPUS;

/// The indices of a team and a cell.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TeamInCell {
    team: usize,
    cell: usize,
}

/// A cell's request in a ledger.
#[derive(Clone, Copy)]
struct OpenRequest {
    ticket: u64,
    /// When it was first seen, in ms since the start of the race.
    first_seen_ms: u64,
    is_met: bool,
}

/// The state of requests and guarantees between two samples.
#[derive(Default)]
pub(super) struct LedgerObserver {
    requests: BTreeMap<TeamInCell, OpenRequest>,
    /// Since when a cell has less of a team's guarantee than it wants, in ms since the start.
    unmet_since: BTreeMap<TeamInCell, u64>,
}

/// Returns the CPUs of a stored resource quantity.
fn cpus(quantity: &Value) -> f64 {
    quantity["millicpus"].as_f64().unwrap_or(0.0) / 1_000.0
}

impl LedgerObserver {
    /// Processes a sample of a team's ledger, taken at `now` ms since the start of the race.
    pub fn observe(
        &mut self,
        now: u64,
        team: usize,
        ledger: &Value,
        cells: &mut [Cell],
        outcome: &mut RaceOutcome,
    ) {
        let entry = |cell: usize| &ledger["cells"][cell_name(cell)];
        let allotted: Vec<f64> =
            (0..cells.len()).map(|cell| cpus(&entry(cell)["allotted"])).collect();
        for (cell, held) in allotted.iter().enumerate() {
            let key = TeamInCell { team, cell };
            let request = &entry(cell)["request"];
            let seen = request["ticket"].as_u64().map(|ticket| {
                let is_met = cpus(&request["need"]) <= *held;
                OpenRequest { ticket, first_seen_ms: now, is_met }
            });
            self.observe_request(now, key, seen, cells, outcome);
            let want = cpus(&request["want"]);
            let lacks = seen.is_some() && want <= GUARANTEE_CPUS && *held < want;
            self.observe_guarantee(now, key, lacks, cells, outcome);
            let died_at_ms = cells[cell].died_at_ms.filter(|_| entry(cell).is_null());
            if let Some(died_at_ms) = died_at_ms.filter(|_| team == 0) {
                cells[cell].died_at_ms = None;
                outcome.reclaim_latencies_ms.push(now - died_at_ms);
            }
        }
        outcome.samples.push(AllotmentSample { at_ms: now, team, allotted });
    }

    /// Processes the sample of a cell's request; `None` if there is none.
    fn observe_request(
        &mut self,
        now: u64,
        key: TeamInCell,
        seen: Option<OpenRequest>,
        cells: &[Cell],
        outcome: &mut RaceOutcome,
    ) {
        let mut record_grant = |request: OpenRequest| {
            if !request.is_met && cells[key.cell].faulty_until_ms == 0 {
                outcome.grant_latencies_ms.push(now - request.first_seen_ms);
            }
        };
        let known = self.requests.remove(&key);
        let is_same = known.map(|known| known.ticket) == seen.map(|seen| seen.ticket);
        if let Some(gone) = known.filter(|_| !is_same) {
            // One write met the request and removed or replaced it.
            record_grant(gone);
        }
        let Some(seen) = seen else { return };
        let before = known.filter(|_| is_same);
        let mut request = before.unwrap_or(OpenRequest { is_met: false, ..seen });
        if seen.is_met {
            record_grant(request);
            request.is_met = true;
        }
        self.requests.insert(key, request);
    }

    fn observe_guarantee(
        &mut self,
        now: u64,
        key: TeamInCell,
        lacks: bool,
        cells: &[Cell],
        outcome: &mut RaceOutcome,
    ) {
        // Not counted during faults, when allotments of a faulty cell must be reclaimed first.
        if !lacks || cells.iter().any(|cell| cell.faulty_until_ms != 0) {
            self.unmet_since.remove(&key);
            return;
        }
        let since = *self.unmet_since.entry(key).or_insert(now);
        outcome.guarantee_unmet_ms = outcome.guarantee_unmet_ms.max(now - since);
    }
}
