//! Estimates of stage times by input size class: an exponentially decayed mean and a high quantile.

use std::time::Duration;

use serde::Serialize;

/// Weight of a new measurement in the typical time.
const GAIN: f64 = 0.1;
/// Quantile that `high` tracks.
const HIGH_QUANTILE: f64 = 0.95;
/// Step of `high` for one measurement, as a share of the typical time.
const HIGH_STEP: f64 = 0.2;

/// Class of inputs of similar length: the number of significant bits of the length in KiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct SizeClass(pub u8);

impl SizeClass {
    /// Returns the size class of an input of `len` bytes.
    pub const fn of(len: usize) -> Self {
        let kib = len >> 10;
        Self((usize::BITS - kib.leading_zeros()) as u8)
    }
}

/// Decayed estimate of the time that a stage takes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    typical: f64,
    high: f64,
    samples: u32,
}

impl Estimate {
    /// Adds a measurement.
    pub fn add(&mut self, took: Duration) {
        let seconds = took.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.typical = seconds;
            self.high = seconds * 1.5;
            return;
        }
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.typical += gain * (seconds - self.typical);
        let step = HIGH_STEP * self.typical;
        let above = seconds > self.high;
        self.high += if above { step * HIGH_QUANTILE } else { step * (HIGH_QUANTILE - 1.0) };
        self.high = self.high.max(self.typical);
    }

    /// The exponentially decayed mean.
    pub fn typical(&self) -> Duration {
        Duration::from_secs_f64(self.typical.max(0.0))
    }

    /// Approximate 95th percentile.
    pub fn high(&self) -> Duration {
        Duration::from_secs_f64(self.high.max(0.0))
    }

    /// Number of measurements.
    pub const fn samples(&self) -> u32 {
        self.samples
    }
}
