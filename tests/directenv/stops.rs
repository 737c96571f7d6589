//! Planned stops of gateways: runs last about as long as a stop takes, and the guarantees at the
//! end of a process are checked.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use stackmast::direct::event::Event;
use stackmast::direct::stop::{MIN_DURATION, max_duration};

use super::ms;
use super::world::{BUSY, GATEWAYS, SimEvent, World};

/// Time from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(8);
/// Requests accepted later than this after the signal are never cut by the end of the process.
const NEVER_CUT_AFTER: Duration = Duration::from_secs(3);
/// Interval at which a stopping process checks whether anything is in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of callers in a world with stops.
const CALLERS: u64 = 160;
/// Time within which all callers arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(16);
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The shortest run of a route as a share of the longest; the difference is smaller than the margin
/// that is added to the longest run seen.
const MIN_LENGTH_SHARE: f64 = 0.88;

/// Results about the ends of stopped processes.
#[derive(Debug, Default)]
pub struct Stops {
    /// When each incarnation of a gateway received the signal to stop.
    pub signals: BTreeMap<(usize, u64), Duration>,
    /// Set while a process ends.
    pub ending: bool,
    pub ended: usize,
    /// Requests accepted after the signal and completed before the end.
    pub served_late: usize,
    /// Requests accepted before the signal or within three seconds after it, and cut at the end.
    pub cut: usize,
    /// Jobs of other gateways that were unfinished when their owner ended.
    pub jobs_left: usize,
}

impl World {
    /// Creates a world whose streams last for seconds and whose gateways are stopped.
    pub fn with_stops(seed: u64) -> Self {
        let mut world = Self::empty(seed);
        world.timeout = TIMEOUT;
        world.end = Duration::from_secs(45);
        for route in 0..world.routes.len() {
            world.routes[route].timeout = TIMEOUT;
            world.lengths[route] = world.time_in(ms(200), ms(6_500));
        }
        world.open();
        for number in 0..CALLERS {
            let at = world.time_in(ms(300), ARRIVAL_TIME);
            let gateway = world.rng.random_range(0..usize::from(GATEWAYS));
            world.at(at, SimEvent::Arrival(gateway, number + 1));
        }
        world.plan_faults();
        world.plan_stops();
        world
    }

    /// Stops one, several or all gateways, up to two seconds apart, and signals some of them twice.
    fn plan_stops(&mut self) {
        let first = self.time_in(BUSY, ms(8_000));
        let count = self.rng.random_range(1..=usize::from(GATEWAYS));
        let begin = self.rng.random_range(0..usize::from(GATEWAYS));
        for number in 0..count {
            let gateway = (begin + number) % usize::from(GATEWAYS);
            let at = first + self.time_in(ms(0), ms(2_000));
            self.at(at, SimEvent::Stop(gateway));
            if self.chance(0.3) {
                let again = at + self.time_in(ms(5), ms(3_000));
                self.at(again, SimEvent::Stop(gateway));
            }
        }
    }

    /// Returns a random length for a stream of a route.
    pub fn stream_length(&mut self, route: usize) -> Duration {
        let share =
            if self.timeout < TIMEOUT { 1.0 } else { self.rng.random_range(MIN_LENGTH_SHARE..1.0) };
        self.lengths[route].mul_f64(share)
    }

    /// Sends SIGTERM to a gateway.
    pub fn stop(&mut self, number: usize) {
        if self.gateways[number].is_none() {
            return;
        }
        let incarnation = self.incarnations[number];
        self.stops.signals.entry((number, incarnation)).or_insert(self.now);
        let at = self.now;
        self.handle(number, Event::Drain { at });
        self.at(self.now + MIN_DURATION, SimEvent::CheckStop(number, incarnation));
    }

    /// Ends the process when nothing is in flight, or when its grace period is over.
    pub fn check_stop(&mut self, number: usize, incarnation: u64) {
        let Some(core) =
            self.gateways[number].as_ref().filter(|_| self.incarnations[number] == incarnation)
        else {
            return;
        };
        let must_end = self.stops.signals[&(number, incarnation)] + max_duration(GRACE);
        if core.in_flight() > 0 && self.now < must_end {
            let next = (self.now + CHECK_INTERVAL).min(must_end);
            return self.at(next, SimEvent::CheckStop(number, incarnation));
        }
        self.stops.ending = true;
        self.handle(number, Event::Shutdown);
        self.stops.ending = false;
        self.stops.ended += 1;
        // Jobs of other gateways continue at their next owner.
        let jobs = self.gateways[number].as_ref().map_or(0, |core| core.in_flight());
        self.stops.jobs_left += jobs;
        let mut own =
            self.callers.values().filter(|c| (c.gateway, c.incarnation) == (number, incarnation));
        let unanswered = own.find(|c| !c.disconnected && c.answers == 0).map(|c| &c.id);
        assert_eq!(unanswered, None, "no answer at the end of a process");
        self.kill(number);
        let back = self.now + self.time_in(ms(50), ms(1_500));
        self.at(back, SimEvent::Restart(number));
    }

    /// Records the final answer of a request at a gateway that is stopping.
    pub fn answered_in_stop(&mut self, caller: u64, how: &str) {
        let seen = &self.callers[&caller];
        let Some(signal) = self.stops.signals.get(&(seen.gateway, seen.incarnation)) else {
            return;
        };
        let after = seen.arrived.checked_sub(*signal);
        if how == "streamed" && after.is_some() {
            self.stops.served_late += 1;
        }
        if self.stops.ending && how == "broken off" {
            self.stops.cut += 1;
            let late = after.filter(|a| *a > NEVER_CUT_AFTER);
            let (id, length) = (&seen.id, self.lengths[seen.route]);
            assert!(late.is_none(), "{id}: of {length:?}, accepted {late:?} after the signal, cut");
        }
    }
}
