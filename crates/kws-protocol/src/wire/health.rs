//! Wire types of health reports. They make up most of the control traffic, so reports are grouped
//! by service, keys are short and zeros are omitted.

use crate::{HealthMessage, ServerDigest, ServerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireReport {
    #[serde(rename = "n")]
    server: ServerName,
    #[serde(default, rename = "a", skip_serializing_if = "is_zero")]
    answers: u32,
    #[serde(default, rename = "b", skip_serializing_if = "is_zero")]
    bad: u32,
    #[serde(default, rename = "m", skip_serializing_if = "is_zero_micros")]
    median_us: u64,
    #[serde(default, rename = "f", skip_serializing_if = "is_zero")]
    in_flight: u32,
    #[serde(default, rename = "d", skip_serializing_if = "is_false")]
    draining: bool,
    #[serde(default, rename = "e", skip_serializing_if = "is_false")]
    ejected: bool,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireService {
    #[serde(rename = "s")]
    service: ServiceName,
    #[serde(rename = "d")]
    digests: Vec<WireReport>,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WireHealth {
    Digest(Vec<WireService>),
}

impl From<&ServerDigest> for WireReport {
    fn from(digest: &ServerDigest) -> Self {
        Self {
            server: digest.server.clone(),
            answers: digest.answers,
            bad: digest.bad,
            median_us: digest.median.as_micros() as u64,
            in_flight: digest.in_flight,
            draining: digest.draining,
            ejected: digest.ejected,
        }
    }
}

impl WireReport {
    fn into_report(self, service: &ServiceName) -> ServerDigest {
        ServerDigest {
            service: service.clone(),
            server: self.server,
            answers: self.answers,
            bad: self.bad,
            median: Duration::from_micros(self.median_us),
            in_flight: self.in_flight,
            draining: self.draining,
            ejected: self.ejected,
        }
    }
}

impl From<&HealthMessage> for WireHealth {
    fn from(message: &HealthMessage) -> Self {
        let HealthMessage::Digest(digests) = message;
        let mut services: Vec<WireService> = Vec::new();
        for digest in digests {
            match services.last_mut() {
                Some(last) if last.service == digest.service => last.digests.push(digest.into()),
                _ => services.push(WireService {
                    service: digest.service.clone(),
                    digests: vec![digest.into()],
                }),
            }
        }
        Self::Digest(services)
    }
}

impl From<WireHealth> for HealthMessage {
    fn from(wire: WireHealth) -> Self {
        let WireHealth::Digest(services) = wire;
        let digests = services.into_iter().flat_map(|group| {
            let WireService { service, digests } = group;
            digests
                .into_iter()
                .map(move |digest| digest.into_report(&service))
        });
        Self::Digest(digests.collect())
    }
}

// serde passes a reference to the field to these functions.
#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_zero_micros(micros: &u64) -> bool {
    *micros == 0
}

#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !*flag
}
