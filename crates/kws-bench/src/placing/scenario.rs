//! The scenarios of the table. Each is a load that a deployment of the users' met, with figures of
//! their site files.

use super::load::{LoadPhase, RequestKind, ServiceLoad, SickSpells};
use clap::ValueEnum;
use std::{fmt, time::Duration};

/// A load that placing is measured under.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum LoadScenario {
    /// Payments that may run once, with capacity to spare.
    Payments,
    /// The same while every server rejects half of its requests.
    Shedding,
    /// Payments with twenty times the servers that they need.
    Sparse,
    /// Lookups that may be repeated, with capacity to spare.
    Lookups,
    /// Lookups at nine tenths of what the healthy servers can do.
    FullLookups,
    /// Lookups with two bursts.
    Bursts,
    /// Bookings on few servers, most of which may run once.
    Bookings,
    /// Bookings whose routes also lead to an overloaded service.
    Split,
    /// Payments while an eighth of the servers goes away without a word.
    Crash,
    /// The same for lookups at nine tenths of what the healthy servers can do.
    FullCrash,
}

impl LoadScenario {
    /// All scenarios, in the order of the table.
    pub const ALL: [Self; 10] = [
        Self::Payments,
        Self::Shedding,
        Self::Sparse,
        Self::Lookups,
        Self::FullLookups,
        Self::Bursts,
        Self::Bookings,
        Self::Split,
        Self::Crash,
        Self::FullCrash,
    ];

    /// The load of the scenario.
    pub fn load(self) -> ServiceLoad {
        match self {
            Self::Payments => payments(),
            Self::Shedding => ServiceLoad {
                shedding: vec![phase(8_000..16_500, 0.55)],
                ..payments()
            },
            Self::Sparse => ServiceLoad {
                servers: 900,
                kinds: vec![RequestKind {
                    rate: 60.0,
                    ..PAYMENT
                }],
                ..payments()
            },
            Self::Lookups => lookups(174.0),
            Self::FullLookups => lookups(350.0),
            Self::Bursts => ServiceLoad {
                bursts: vec![phase(5_000..8_000, 1.8), phase(15_000..17_000, 2.4)],
                ..lookups(230.0)
            },
            Self::Bookings => bookings(),
            Self::Split => ServiceLoad {
                elsewhere: vec![phase(8_000..12_000, 0.3), phase(18_000..24_000, 0.2)],
                ..bookings()
            },
            Self::Crash => ServiceLoad {
                crash: Some((Duration::from_secs(8), 0.125)),
                ..payments()
            },
            Self::FullCrash => ServiceLoad {
                crash: Some((Duration::from_secs(8), 0.125)),
                ..lookups(300.0)
            },
        }
    }
}

impl fmt::Display for LoadScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.to_possible_value();
        formatter.pad(value.as_ref().map_or("", |value| value.get_name()))
    }
}

fn phase(span: std::ops::Range<u64>, value: f64) -> LoadPhase<f64> {
    LoadPhase {
        span: Duration::from_millis(span.start)..Duration::from_millis(span.end),
        value,
    }
}

const SPELLS: SickSpells = SickSpells {
    share: 0.3,
    window: Duration::from_secs(9),
    fails: 0.9,
};

const PAYMENT: RequestKind = RequestKind {
    rate: 502.0,
    repeatable: false,
    priority: 1,
    timeout: Duration::from_secs(4),
    objective: Duration::from_millis(2_500),
};

fn payments() -> ServiceLoad {
    ServiceLoad {
        servers: 257,
        slots: 3,
        service_time: Duration::from_millis(489),
        spread: 0.5,
        error_share: 0.012,
        spells: SPELLS,
        shedding: Vec::new(),
        bursts: Vec::new(),
        elsewhere: Vec::new(),
        crash: None,
        kinds: vec![PAYMENT],
        length: Duration::from_secs(30),
    }
}

fn lookups(rate: f64) -> ServiceLoad {
    ServiceLoad {
        servers: 116,
        service_time: Duration::from_millis(630),
        spread: 0.8,
        kinds: vec![RequestKind {
            rate,
            repeatable: true,
            priority: 2,
            timeout: Duration::from_secs(3),
            objective: Duration::from_millis(2_500),
        }],
        ..payments()
    }
}

fn bookings() -> ServiceLoad {
    let booking = RequestKind {
        rate: 70.0,
        repeatable: false,
        priority: 2,
        timeout: Duration::from_millis(2_500),
        objective: Duration::from_millis(1_500),
    };
    let download = RequestKind {
        repeatable: true,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(2_500),
        ..booking
    };
    ServiceLoad {
        servers: 58,
        service_time: Duration::from_millis(389),
        spread: 0.3,
        kinds: vec![booking, download],
        ..payments()
    }
}
