//! Wire types of loans.

use super::WireError;
use crate::{LoanId, LoanMessage, RegionName, TeamName, TreeRevision};
use serde::{Deserialize, Serialize};

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireTokens {
    id: u64,
    team: TeamName,
    tokens: f64,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WireLoan {
    Borrow(WireTokens),
    Lend(WireTokens),
    Return(WireTokens),
    #[serde(rename = "AskRetained")]
    QueryRetained,
    Retained {
        region: RegionName,
        oldest: u64,
    },
}

impl WireTokens {
    fn new(id: LoanId, team: &TeamName, tokens: f64) -> Self {
        Self {
            id: id.0,
            team: team.clone(),
            tokens,
        }
    }

    fn validate(self) -> Result<(LoanId, TeamName, f64), WireError> {
        if !self.tokens.is_finite() || self.tokens < 0.0 {
            return Err(WireError::InvalidField { field: "tokens" });
        }
        Ok((LoanId(self.id), self.team, self.tokens))
    }
}

impl From<&LoanMessage> for WireLoan {
    fn from(message: &LoanMessage) -> Self {
        match message {
            LoanMessage::Borrow { id, team, tokens } => {
                Self::Borrow(WireTokens::new(*id, team, *tokens))
            }
            LoanMessage::Lend { id, team, tokens } => {
                Self::Lend(WireTokens::new(*id, team, *tokens))
            }
            LoanMessage::Return { id, team, tokens } => {
                Self::Return(WireTokens::new(*id, team, *tokens))
            }
            LoanMessage::QueryRetained => Self::QueryRetained,
            LoanMessage::Retained { region, oldest } => Self::Retained {
                region: region.clone(),
                oldest: oldest.to_wire(),
            },
        }
    }
}

impl TryFrom<WireLoan> for LoanMessage {
    type Error = WireError;

    fn try_from(wire: WireLoan) -> Result<Self, WireError> {
        Ok(match wire {
            WireLoan::Borrow(borrow) => {
                let (id, team, tokens) = borrow.validate()?;
                Self::Borrow { id, team, tokens }
            }
            WireLoan::Lend(lend) => {
                let (id, team, tokens) = lend.validate()?;
                Self::Lend { id, team, tokens }
            }
            WireLoan::Return(unspent) => {
                let (id, team, tokens) = unspent.validate()?;
                Self::Return { id, team, tokens }
            }
            WireLoan::QueryRetained => Self::QueryRetained,
            WireLoan::Retained { region, oldest } => Self::Retained {
                region,
                oldest: TreeRevision::from_wire(oldest),
            },
        })
    }
}
