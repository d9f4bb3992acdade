//! Wire types of loans.

use super::WireError;
use crate::{LoanId, LoanMessage, TeamName};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum WireStep {
    Borrow,
    Lend,
    Return,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireLoan {
    step: WireStep,
    id: u64,
    team: TeamName,
    tokens: f64,
}

impl From<&LoanMessage> for WireLoan {
    fn from(message: &LoanMessage) -> Self {
        let (step, id, team, tokens) = match message {
            LoanMessage::Borrow { id, team, tokens } => (WireStep::Borrow, id, team, tokens),
            LoanMessage::Lend { id, team, tokens } => (WireStep::Lend, id, team, tokens),
            LoanMessage::Return { id, team, tokens } => (WireStep::Return, id, team, tokens),
        };
        Self {
            step,
            id: id.0,
            team: team.clone(),
            tokens: *tokens,
        }
    }
}

impl TryFrom<WireLoan> for LoanMessage {
    type Error = WireError;

    fn try_from(wire: WireLoan) -> Result<Self, WireError> {
        if !wire.tokens.is_finite() || wire.tokens < 0.0 {
            return Err(WireError::OutOfRange { field: "tokens" });
        }
        let id = LoanId(wire.id);
        let team = wire.team;
        let tokens = wire.tokens;
        Ok(match wire.step {
            WireStep::Borrow => Self::Borrow { id, team, tokens },
            WireStep::Lend => Self::Lend { id, team, tokens },
            WireStep::Return => Self::Return { id, team, tokens },
        })
    }
}
