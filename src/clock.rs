//! A process clock that includes the time during which the host is suspended.
//!
//! `std::time::Instant` stops while a virtual machine is suspended. After it resumes, a process
//! that relies on such a clock would treat its state as fresh: expired deadlines, outdated turns,
//! watches that no longer get a response. Its peers, meanwhile, continued. All ages are therefore
//! computed from the time since boot, suspensions included. Only the runtime's timers exclude
//! suspensions; they are bounded by the core's timer, which fires every 200 ms.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use crate::message::Timestamp;

/// Returns the time since the host booted, suspensions included.
pub fn since_boot() -> Duration {
    // `CLOCK_BOOTTIME` is available since Linux 2.6.39.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Measures the time since its creation.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Duration + Send + Sync>,
    start: Duration,
}

impl Clock {
    /// Creates a clock based on [`since_boot`].
    pub fn of_host() -> Self {
        Self::new(since_boot)
    }

    /// Creates a clock based on another source, which must be monotonic.
    pub fn new(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        let start = read();
        Self { read: Arc::new(read), start }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Timestamp {
        (self.read)().saturating_sub(self.start)
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("now", &self.now()).finish()
    }
}
