//! Which cell this deployment is, where several share the teams' limits.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::check::{refuse, SettingsError};
use super::Settings;
use crate::constants as c;

/// The cell of this deployment and all cells that share its teams.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaTuning {
    /// The name of this cell. Its keys in the state service lie under it.
    pub cell: String,
    /// All cells, this one included; they divide the rates of the state service among them.
    pub cells: Vec<String>,
}

/// Whether a name can be part of a key of the state service.
fn is_key_part(name: &str, max_bytes: usize) -> bool {
    !name.is_empty()
        && name.len() <= max_bytes
        && name.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != '/')
}

impl Settings {
    /// Cells that share the state service.
    pub fn cell_count(&self) -> usize {
        self.tuning.quota.as_ref().map_or(1, |quota| quota.cells.len())
    }

    /// The prefix of this deployment's own keys in the state service.
    pub fn key_prefix(&self) -> String {
        match &self.tuning.quota {
            Some(quota) => format!("{}{}/", c::CELLS_PREFIX, quota.cell),
            None => String::new(),
        }
    }

    /// Refuses cells that could not work together, by name.
    pub(super) fn check_quota(&self) -> Result<(), SettingsError> {
        let Some(quota) = &self.tuning.quota else { return Ok(()) };
        for (field, name) in std::iter::once(("quota.cell", &quota.cell))
            .chain(quota.cells.iter().map(|name| ("quota.cells", name)))
        {
            if !is_key_part(name, c::MAX_CELL_NAME_BYTES) {
                return refuse(
                    field,
                    format!("{name:?} must be 1 to 64 bytes without spaces and slashes"),
                );
            }
        }
        let names: BTreeSet<&String> = quota.cells.iter().collect();
        if names.len() != quota.cells.len() {
            return refuse("quota.cells", "names a cell twice");
        }
        if !names.contains(&quota.cell) {
            return refuse("quota.cells", format!("lacks this cell, {}", quota.cell));
        }
        let state = &self.platform.params.state;
        if state.txn_ops() < c::CAMPAIGN_CHANGES {
            return refuse("params.state.txn_ops", "must be at least 3 where cells share teams");
        }
        let accounts = quota.cells.iter().map(|name| name.len() + c::ALLOTMENT_BYTES);
        let bytes = c::LEDGER_BYTES + accounts.sum::<usize>();
        if bytes > state.value_bytes() {
            let most = state.value_bytes();
            return refuse(
                "quota.cells",
                format!("a team's value may take {bytes} bytes, {most} at most"),
            );
        }
        self.check_shared_teams()
    }

    fn check_shared_teams(&self) -> Result<(), SettingsError> {
        for team in &self.platform.params.teams {
            let name = &team.name;
            if !is_key_part(name, c::MAX_TEAM_NAME_BYTES) {
                return refuse("params.teams", format!("{name:?} can't be part of a key"));
            }
            let is_below = |limit: f64, guarantee: f64| limit > 0.0 && limit < guarantee;
            if is_below(team.cpus_max, team.cpus) || is_below(team.gpus_max, team.gpus) {
                return refuse(
                    "params.teams",
                    format!("the limit of {name} is below its guarantee"),
                );
            }
        }
        Ok(())
    }
}
