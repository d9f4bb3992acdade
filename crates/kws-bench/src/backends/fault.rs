//! The deployments and what goes wrong in them.

use clap::ValueEnum;
use std::time::Duration;

/// When the fault begins.
pub const FAULT_START: Duration = Duration::from_secs(15);

/// When the run ends.
pub const RUN_END: Duration = Duration::from_secs(45);

/// The server that is sick, when one is.
pub const SICK_SERVER: usize = 3;

/// The host that has a bad link, when one has.
const BAD_HOST: usize = 2;

/// One of today's deployments.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Deployment {
    /// The berry farm.
    Farm,
    /// The coopers' association.
    Association,
}

impl Deployment {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Farm, Self::Association];

    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Farm => "farm",
            Self::Association => "association",
        }
    }

    /// The round trip between data centres of a region.
    pub fn center_trip(self) -> Duration {
        match self {
            Self::Farm => Duration::from_micros(500),
            Self::Association => Duration::from_micros(1_500),
        }
    }

    /// The connections that a server accepts.
    pub fn connections(self) -> u32 {
        match self {
            Self::Farm => 400,
            Self::Association => 330,
        }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum FaultKind {
    /// Nothing.
    Calm,
    /// One server answers 4 in 10 requests with an error.
    Errors,
    /// One server is ten times as slow.
    Slow,
    /// One server fails everything for 4 s out of 8.
    Flapping,
    /// Five servers fail 6 in 10.
    FiveSick,
    /// One host's requests to the servers of one data centre fail.
    BadLink,
    /// Every server is four times as slow.
    Together,
    /// One large team sends five times its rate.
    Flood,
}

/// What one try meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TryFault {
    /// The probability of an error.
    pub error: f64,
    /// By how much the time in service grows.
    pub slower: f64,
}

impl FaultKind {
    /// Every fault.
    pub const ALL: [Self; 8] = [
        Self::Calm,
        Self::Errors,
        Self::Slow,
        Self::Flapping,
        Self::FiveSick,
        Self::BadLink,
        Self::Together,
        Self::Flood,
    ];

    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Errors => "errors",
            Self::Slow => "slow",
            Self::Flapping => "flapping",
            Self::FiveSick => "five-sick",
            Self::BadLink => "bad-link",
            Self::Together => "together",
            Self::Flood => "flood",
        }
    }

    /// What a try of `host` at `server` meets at `at`.
    pub fn meets(self, host: usize, server: usize, at: Duration) -> TryFault {
        let healthy = TryFault {
            error: 0.0,
            slower: 1.0,
        };
        if at < FAULT_START {
            return healthy;
        }
        let error = |error| TryFault { error, ..healthy };
        let slower = |slower| TryFault { slower, ..healthy };
        let odd_phase = at.saturating_sub(FAULT_START).as_secs() % 8 < 4;
        match self {
            Self::Errors if server == SICK_SERVER => error(0.4),
            Self::Slow if server == SICK_SERVER => slower(10.0),
            Self::Flapping if server == SICK_SERVER && odd_phase => error(1.0),
            Self::FiveSick if server < 5 => error(0.6),
            Self::BadLink if host == BAD_HOST && server % 4 == 2 => error(1.0),
            Self::Together => slower(4.0),
            _ => healthy,
        }
    }

    /// Whether ejecting `server` at `host` is right at some time of the run.
    pub fn sick(self, host: usize, server: usize) -> bool {
        let met = self.meets(host, server, FAULT_START);
        self != Self::Together && (met.error > 0.0 || met.slower > 1.0)
    }

    /// The servers by which detection is timed.
    pub fn sick_server(self) -> Option<usize> {
        match self {
            Self::Errors | Self::Slow | Self::Flapping => Some(SICK_SERVER),
            Self::FiveSick => Some(0),
            Self::Calm | Self::BadLink | Self::Together | Self::Flood => None,
        }
    }

    /// By how much team 0 exceeds its rate at `at`.
    pub fn flood(self, at: Duration) -> f64 {
        if self == Self::Flood && at >= FAULT_START {
            return 5.0;
        }
        1.0
    }
}
