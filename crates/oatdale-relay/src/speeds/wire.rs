//! Estimates of speeds as they are sent between nodes.

use oatdale_policy::relay::{StatedEstimate, Trend};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of estimates in one datagram: each takes nine bytes. Two datagrams to two nodes
/// each second then stay below 5 KB per second, with their IP headers.
pub const MAX_SPEEDS_PER_DATAGRAM: usize = 125;

/// Steps of the logarithm of the factor, of the weight and of the age.
const LOG_STEPS: f64 = 1_000.0;
const WEIGHT_STEPS: f64 = 4.0;
const AGE_STEP: Duration = Duration::from_millis(50);

/// Largest value of the weight's six bits.
const MAX_WEIGHT_STEPS: f64 = 63.0;

/// Estimate of an endpoint's speed, packed into 64 bits: 32 for the endpoint's number, 16 for the
/// logarithm of the factor in thousandths (signed), 6 for the weight in quarters of a sample, 2 for
/// the trend and 8 for the age in steps of 50 ms.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointSpeed(u64);

impl From<&StatedEstimate> for EndpointSpeed {
    fn from(estimate: &StatedEstimate) -> Self {
        // Truncated towards the usual speed, so that the ends of the range stay in it.
        let log = (estimate.factor.ln() * LOG_STEPS) as i16;
        let weight = (estimate.weight * WEIGHT_STEPS).round();
        let weight = weight.clamp(1.0, MAX_WEIGHT_STEPS) as u64;
        let trend = match estimate.trend {
            Trend::None => 0,
            Trend::Slower => 1,
            Trend::Faster => 2,
        };
        // Rounded up: an estimate that returns to its sender must not be later than the sender's.
        let age = estimate.age.as_nanos().div_ceil(AGE_STEP.as_nanos());
        let age = u64::from(u8::try_from(age).unwrap_or(u8::MAX));
        let endpoint = u64::from(estimate.endpoint) << 32;
        EndpointSpeed(endpoint | u64::from(log as u16) << 16 | weight << 10 | trend << 8 | age)
    }
}

impl From<&EndpointSpeed> for StatedEstimate {
    fn from(speed: &EndpointSpeed) -> Self {
        let log = (speed.0 >> 16) as u16 as i16;
        let weight = (speed.0 >> 10 & 0x3f) as u8;
        let age_steps = (speed.0 & 0xff) as u32;
        StatedEstimate {
            endpoint: (speed.0 >> 32) as u32,
            factor: (f64::from(log) / LOG_STEPS).exp(),
            weight: f64::from(weight) / WEIGHT_STEPS,
            age: AGE_STEP * age_steps,
            trend: match speed.0 >> 8 & 0b11 {
                1 => Trend::Slower,
                2 => Trend::Faster,
                _ => Trend::None,
            },
        }
    }
}
