//! Planned stops of gateways: runs last about as long as a stop takes, and the guarantees at the
//! end of a process are checked.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use stackmast::direct::event::Event;
use stackmast::direct::stop::{MIN_DURATION, max_duration};

use super::ms;
use super::world::{BUSY, GATEWAYS, Happening, World};

/// Time from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(8);
/// Requests accepted later than this after the signal are never cut by the end of the process.
const NEVER_CUT_AFTER: Duration = Duration::from_secs(3);
/// Interval at which a stopping process checks whether anything is in flight.
const LOOK: Duration = Duration::from_millis(50);
/// Number of callers in a world with stops.
const CALLERS: u64 = 160;
/// Time within which all callers arrive.
const COMING: Duration = Duration::from_secs(16);
/// Timeout of a request.
const PATIENCE: Duration = Duration::from_secs(20);
/// The shortest run of a route as a share of the longest; the difference is smaller than the margin
/// that is added to the longest run seen.
const SHORTEST: f64 = 0.88;

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
        world.allowed = PATIENCE;
        world.end = Duration::from_secs(45);
        for route in 0..world.routes.len() {
            world.routes[route].timeout = PATIENCE;
            world.lengths[route] = world.time_in(ms(200), ms(6_500));
        }
        world.open();
        for number in 0..CALLERS {
            let at = world.time_in(ms(300), COMING);
            let gateway = world.rng.random_range(0..usize::from(GATEWAYS));
            world.at(at, Happening::Arrival(gateway, number + 1));
        }
        world.plan_troubles();
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
            self.at(at, Happening::Stop(gateway));
            if self.chance(0.3) {
                let again = at + self.time_in(ms(5), ms(3_000));
                self.at(again, Happening::Stop(gateway));
            }
        }
    }

    /// Returns a random length for a stream of a route.
    pub fn stream_length(&mut self, route: usize) -> Duration {
        let share =
            if self.allowed < PATIENCE { 1.0 } else { self.rng.random_range(SHORTEST..1.0) };
        self.lengths[route].mul_f64(share)
    }

    /// Sends SIGTERM to a gateway.
    pub fn stop(&mut self, number: usize) {
        if self.gateways[number].is_none() {
            return;
        }
        let life = self.lives[number];
        self.stops.signals.entry((number, life)).or_insert(self.now);
        let at = self.now;
        self.handle(number, Event::Drain { at });
        self.at(self.now + MIN_DURATION, Happening::LookAtStop(number, life));
    }

    /// Ends the process when nothing is in flight, or when its grace period is over.
    pub fn look_at_stop(&mut self, number: usize, life: u64) {
        let Some(core) = self.gateways[number].as_ref().filter(|_| self.lives[number] == life)
        else {
            return;
        };
        let must_end = self.stops.signals[&(number, life)] + max_duration(GRACE);
        if core.in_flight() > 0 && self.now < must_end {
            let next = (self.now + LOOK).min(must_end);
            return self.at(next, Happening::LookAtStop(number, life));
        }
        self.stops.ending = true;
        self.handle(number, Event::Shutdown);
        self.stops.ending = false;
        self.stops.ended += 1;
        // Jobs of other gateways continue at their next owner.
        let jobs = self.gateways[number].as_ref().map_or(0, |core| core.in_flight());
        self.stops.jobs_left += jobs;
        let mut own = self.callers.values().filter(|c| (c.gateway, c.life) == (number, life));
        let unanswered = own.find(|c| !c.gone && c.answers == 0).map(|c| &c.id);
        assert_eq!(unanswered, None, "no answer at the end of a process");
        self.kill(number);
        let back = self.now + self.time_in(ms(50), ms(1_500));
        self.at(back, Happening::Restart(number));
    }

    /// Records the final answer of a request at a gateway that is stopping.
    pub fn answered_in_stop(&mut self, caller: u64, how: &str) {
        let seen = &self.callers[&caller];
        let Some(signal) = self.stops.signals.get(&(seen.gateway, seen.life)) else {
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
            assert!(late.is_none(), "{id}: of {length:?}, taken {late:?} after the signal, cut");
        }
    }
}
