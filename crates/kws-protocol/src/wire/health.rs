//! Wire types of health reports. They make up most of the control traffic, so reports are grouped
//! by service, keys are short and zeros are omitted.

use crate::{HealthMessage, HealthReport, ServerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireReport {
    #[serde(rename = "n")]
    server: ServerName,
    #[serde(default, rename = "a", skip_serializing_if = "is_zero")]
    responses: u32,
    #[serde(default, rename = "b", skip_serializing_if = "is_zero")]
    failures: u32,
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
    reports: Vec<WireReport>,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WireHealth {
    #[serde(rename = "Digest")]
    Reports(Vec<WireService>),
}

impl From<&HealthReport> for WireReport {
    fn from(report: &HealthReport) -> Self {
        Self {
            server: report.server.clone(),
            responses: report.responses,
            failures: report.failures,
            median_us: report.median_latency.as_micros() as u64,
            in_flight: report.in_flight,
            draining: report.draining,
            ejected: report.ejected,
        }
    }
}

impl WireReport {
    fn into_report(self, service: &ServiceName) -> HealthReport {
        HealthReport {
            service: service.clone(),
            server: self.server,
            responses: self.responses,
            failures: self.failures,
            median_latency: Duration::from_micros(self.median_us),
            in_flight: self.in_flight,
            draining: self.draining,
            ejected: self.ejected,
        }
    }
}

impl From<&HealthMessage> for WireHealth {
    fn from(message: &HealthMessage) -> Self {
        let HealthMessage::Reports(reports) = message;
        let mut services: Vec<WireService> = Vec::new();
        for report in reports {
            match services.last_mut() {
                Some(last) if last.service == report.service => last.reports.push(report.into()),
                _ => services.push(WireService {
                    service: report.service.clone(),
                    reports: vec![report.into()],
                }),
            }
        }
        Self::Reports(services)
    }
}

impl From<WireHealth> for HealthMessage {
    fn from(wire: WireHealth) -> Self {
        let WireHealth::Reports(services) = wire;
        let reports = services.into_iter().flat_map(|group| {
            let WireService { service, reports } = group;
            reports
                .into_iter()
                .map(move |report| report.into_report(&service))
        });
        Self::Reports(reports.collect())
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
