//! What an allotment manager has to tell: lines for the log, and problems for the status page.

use std::fmt;

use crate::ledger::LedgerError;
use crate::resources::MilliResources;

/// Why nothing of a team may be launched beyond what its ledger covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerProblem {
    /// The ledger can't be used; nothing of the team is launched.
    Unusable(LedgerError),
    /// The ledger is missing; it is rebuilt from what the cells run.
    Missing,
    /// More is allotted than the limit.
    Overallotted,
}

impl LedgerProblem {
    /// As `latchtrack status` prints it. Operators may compare this text: it stays as it is.
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

/// Something for the log, once each.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// The cell's allotment has changed.
    Allotted {
        /// The team.
        team: String,
        /// The allotment before.
        from: MilliResources,
        /// The allotment now.
        to: MilliResources,
    },
    /// Allotments of dead cells were reclaimed.
    Reclaimed {
        /// The team.
        team: String,
        /// The dead cells.
        cells: Vec<String>,
    },
    /// A ledger keeps a team from being launched.
    Problem {
        /// The team.
        team: String,
        /// What is wrong with its ledger.
        problem: LedgerProblem,
    },
    /// The ledger's limit or guarantee is not that of the settings; the ledger's counts.
    SettingsDiffer {
        /// The team.
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
                write!(f, "ledger unusable, launching nothing team={team} error=\"{error}\"")
            }
            Notice::Problem { team, problem: LedgerProblem::Missing } => {
                write!(f, "ledger missing, rebuilding it from the usage of the cells team={team}")
            }
            Notice::Problem { team, problem: LedgerProblem::Overallotted } => {
                write!(f, "ledger allots more than its limit, launching nothing team={team}")
            }
            Notice::SettingsDiffer { team } => {
                write!(f, "settings differ from the ledger, which counts team={team}")
            }
        }
    }
}
