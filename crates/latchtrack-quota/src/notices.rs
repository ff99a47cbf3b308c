//! Log notices of an allotment manager, and the ledger problems that the status reports.

use std::fmt;

use crate::ledger::LedgerError;
use crate::resources::MilliResources;

/// Problem with a team's ledger because of which none of the team's tasks are launched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerProblem {
    /// The ledger can't be parsed: the cause.
    Unusable(LedgerError),
    /// The ledger is missing; it is rebuilt from the usage of the cells.
    Missing,
    /// The sum of the allotments exceeds the limit.
    Overallotted,
}

impl LedgerProblem {
    /// Returns the text printed by `latchtrack status`. Operators' tools may match it, so it must
    /// not change.
    pub fn status_text(&self, team: &str) -> String {
        match self {
            LedgerProblem::Unusable(error) => {
                format!("quota: quota/team/{team} {error}; nothing of the team is launched")
            }
            LedgerProblem::Missing => {
                format!("quota: quota/team/{team} is missing; made from what the cells run")
            }
            LedgerProblem::Overallotted => {
                format!("quota: quota/team/{team} allots more than its limit; nothing is launched")
            }
        }
    }
}

/// Notice to be logged once.
///
/// `Display` writes a constant message, followed by the values as `key=value`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// The cell's allotment has changed.
    Allotted {
        /// Name of the team.
        team: String,
        /// The previous allotment.
        from: MilliResources,
        /// The new allotment.
        to: MilliResources,
    },
    /// The allotments of dead cells were reclaimed.
    Reclaimed {
        /// Name of the team.
        team: String,
        /// Names of the dead cells.
        cells: Vec<String>,
    },
    /// A problem with a ledger prevents launches of the team's tasks.
    Problem {
        /// Name of the team.
        team: String,
        /// The problem with its ledger.
        problem: LedgerProblem,
    },
    /// The limit or guarantee in the settings differs from that in the ledger, which takes
    /// precedence.
    SettingsDiffer {
        /// Name of the team.
        team: String,
    },
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Allotted { team, from, to } => write!(
                f,
                "allotment changed team={team} from_cpus={} from_gpus={} to_cpus={} to_gpus={}",
                from.cpus(),
                from.gpus(),
                to.cpus(),
                to.gpus()
            ),
            Notice::Reclaimed { team, cells } => {
                write!(
                    f,
                    "allotments of dead cells reclaimed team={team} cells={}",
                    cells.join(",")
                )
            }
            Notice::Problem { team, problem: LedgerProblem::Unusable(error) } => {
                write!(f, "ledger unusable, launches suspended team={team} error=\"{error}\"")
            }
            Notice::Problem { team, problem: LedgerProblem::Missing } => {
                write!(f, "ledger missing, rebuilding it from the usage of the cells team={team}")
            }
            Notice::Problem { team, problem: LedgerProblem::Overallotted } => {
                write!(f, "allotments exceed the limit, launches suspended team={team}")
            }
            Notice::SettingsDiffer { team } => {
                write!(f, "settings differ from the ledger, which takes precedence team={team}")
            }
        }
    }
}
