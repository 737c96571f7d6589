//! The clock of a process: it counts the time in which its host is suspended.
//!
//! The pattern: a machine is suspended for seconds and goes on where it was. The steady clock of most runtimes stands
//! still meanwhile, so a process that goes by it takes what it knows for as fresh as before: deadlines that are
//! over, turns that are past, a watch that nobody answers any more. Others went on. So every age here is time since
//! boot with suspensions; only the runtime's own timers are steady, and are bounded by the core's, which wakes
//! every 200 ms.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use crate::message::Timestamp;

/// Time since the host was started, suspensions included.
pub fn since_boot() -> Duration {
    // Every Linux from 2.6.39 on has this clock.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Counts from the moment at which it was made.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Duration + Send + Sync>,
    start: Duration,
}

impl Clock {
    /// A clock that goes by [`since_boot`].
    pub fn of_host() -> Self {
        Self::new(since_boot)
    }

    /// A clock that goes by another one, which must not go back.
    pub fn new(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        let start = read();
        Self { read: Arc::new(read), start }
    }

    /// Time since it was made.
    pub fn now(&self) -> Timestamp {
        (self.read)().saturating_sub(self.start)
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("now", &self.now()).finish()
    }
}
