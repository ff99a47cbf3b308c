//! Settings of a deployment that is one of several cells sharing the teams' limits.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::check::{reject, SettingsError};
use super::Settings;
use crate::constants as c;

/// This deployment's cell and all cells that share its teams.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaTuning {
    /// Name of this cell, which is part of the prefix of its keys in the state service.
    pub cell: String,
    /// Names of all cells, including this one. They share the rate limits of the state service
    /// equally.
    pub cells: Vec<String>,
}

/// Returns whether a name can be part of a key in the state service: not empty, at most `max_bytes`
/// long and free of slashes, whitespace and control characters.
fn is_key_part(name: &str, max_bytes: usize) -> bool {
    !name.is_empty()
        && name.len() <= max_bytes
        && name.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != '/')
}

impl Settings {
    /// Number of cells that share the state service, 1 if none are configured.
    pub fn cell_count(&self) -> usize {
        self.tuning.quota.as_ref().map_or(1, |quota| quota.cells.len())
    }

    /// Prefix of this deployment's own keys in the state service; empty without cells.
    pub fn key_prefix(&self) -> String {
        match &self.tuning.quota {
            Some(quota) => format!("{}{}/", c::CELLS_PREFIX, quota.cell),
            None => String::new(),
        }
    }

    /// Rejects invalid cell names, limits of the state service that are too low for a campaign or a
    /// ledger, and invalid teams.
    pub(super) fn check_quota(&self) -> Result<(), SettingsError> {
        let Some(quota) = &self.tuning.quota else { return Ok(()) };
        for (field, name) in std::iter::once(("quota.cell", &quota.cell))
            .chain(quota.cells.iter().map(|name| ("quota.cells", name)))
        {
            if !is_key_part(name, c::MAX_CELL_NAME_BYTES) {
                return reject(
                    field,
                    format!(
                        "{name:?} must have 1 to 64 bytes and no slashes, whitespace or control \
                         characters"
                    ),
                );
            }
        }
        let names: BTreeSet<&String> = quota.cells.iter().collect();
        if names.len() != quota.cells.len() {
            return reject("quota.cells", "lists a cell twice");
        }
        if !names.contains(&quota.cell) {
            return reject("quota.cells", format!("lacks this cell, {}", quota.cell));
        }
        let state = &self.platform.params.state;
        if state.txn_ops() < c::CAMPAIGN_CHANGES {
            return reject("params.state.txn_ops", "must be at least 3 where cells share teams");
        }
        let allotments = quota.cells.iter().map(|name| name.len() + c::ALLOTMENT_BYTES);
        let bytes = c::LEDGER_BYTES + allotments.sum::<usize>();
        if bytes > state.value_bytes() {
            let max_bytes = state.value_bytes();
            return reject(
                "quota.cells",
                format!("a team's ledger may take {bytes} bytes, at most {max_bytes} are allowed"),
            );
        }
        self.check_shared_teams()
    }

    /// Rejects teams whose name can't be part of a key, or whose limit is below their guarantee.
    fn check_shared_teams(&self) -> Result<(), SettingsError> {
        for team in &self.platform.params.teams {
            let name = &team.name;
            if !is_key_part(name, c::MAX_TEAM_NAME_BYTES) {
                return reject(
                    "params.teams",
                    format!("the team name {name:?} can't be part of a key"),
                );
            }
            let is_below = |limit: f64, guarantee: f64| limit > 0.0 && limit < guarantee;
            if is_below(team.cpus_max, team.cpus) || is_below(team.gpus_max, team.gpus) {
                return reject(
                    "params.teams",
                    format!("the limit of team {name} is below its guarantee"),
                );
            }
        }
        Ok(())
    }
}
