//! A gateway that gets most new connections of a region: what it reads is served, the others try
//! another gateway.

mod directenv;

use std::collections::BTreeMap;
use std::time::Duration;

use directenv::gateway::{Heartbeat, configured, good, incoming, receive_gossip, serving};
use directenv::{address, ms, route};
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, IncomingRequest};
use stackmast::direct::published::model::Repeat;

/// Processor time that an event takes on the host.
const EVENT_COST: Duration = Duration::from_millis(3);
/// Time in which an endpoint answers.
const RUN_TIME: Duration = Duration::from_millis(15);
/// When most new connections begin to go to the gateway, and when that ends.
const HOT: std::ops::Range<Duration> = Duration::from_secs(4)..Duration::from_secs(12);
/// Time after which the rules hold for the gateway: `contact_ms` of the platform.
const CONTACT: Duration = Duration::from_secs(3);
/// Connections per second outside of that time and within it.
const USUAL_RATE: u64 = 30;
const HOT_RATE: u64 = 400;
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// A gateway on a host with little processor time, in virtual time. Each connection carries one
/// request.
struct Host {
    core: GatewayCore,
    /// Events by the time at which they arrive at the process.
    queue: BTreeMap<(Duration, u64), Event>,
    next: u64,
    free_at: Duration,
    sheds: bool,
    /// When each request was read, and whether it was served in time.
    read: BTreeMap<u64, (Duration, bool)>,
}

impl Host {
    fn new() -> Self {
        let mut core = configured(vec![route("r", Repeat::Idempotent, &[])]);
        receive_gossip(&mut core, vec![serving(2), serving(3)], ms(100));
        let (queue, read) = (BTreeMap::new(), BTreeMap::new());
        Self { core, queue, next: 0, free_at: Duration::ZERO, sheds: false, read }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.queue.insert((at, self.next), event);
    }

    /// Peers announce their event lag five times a second.
    fn plan_heartbeats(&mut self, event_lag: Duration) {
        for beat in 1..80 {
            for port in [2, 3] {
                let member = stackmast::direct::peers::members::Member {
                    heartbeat: beat + 1,
                    ..serving(port)
                };
                let heartbeat = Heartbeat {
                    members: vec![member],
                    complete: true,
                    event_lag,
                    ..Heartbeat::default()
                };
                let (from, message) = (address(port), heartbeat.message());
                self.at(ms(200 * beat), Event::PeerMessage { from, message });
            }
        }
    }

    fn plan_connections(&mut self) {
        let mut at = ms(200);
        while at < HOT.end {
            self.next += 1;
            let request = IncomingRequest { timeout: Some(TIMEOUT), ..incoming("r", vec![]) };
            let id = self.next.to_string().as_str().into();
            let incoming = IncomingRequest { id, ..request };
            self.at(at, Event::Submit { caller: self.next, incoming });
            let rate = if HOT.contains(&at) { HOT_RATE } else { USUAL_RATE };
            at += Duration::from_secs(1) / u32::try_from(rate).expect("a rate");
        }
    }

    fn run(&mut self) {
        while let Some(((arrived, _), event)) = self.queue.pop_first() {
            let is_new = matches!(event, Event::Submit { .. });
            if is_new && self.sheds {
                continue;
            }
            let now = arrived.max(self.free_at);
            if let Event::Submit { caller, .. } = event {
                self.read.insert(caller, (arrived, false));
            }
            self.free_at = now + EVENT_COST;
            self.core.on_queue_delay(now - arrived, now);
            for action in self.core.handle(event, now) {
                self.act(action, now);
            }
        }
    }

    fn act(&mut self, action: Action, now: Duration) {
        match action {
            Action::SetShedding(sheds) => self.sheds = sheds,
            Action::Call { caller, attempt, .. } => {
                let answer = Event::Answered { caller, attempt, proof: good(), is_open: false };
                self.at(now + EVENT_COST + RUN_TIME, answer);
            }
            Action::Deliver { caller, .. } => {
                if let Some((read, served)) = self.read.get_mut(&caller) {
                    *served = now < *read + TIMEOUT;
                }
            }
            _ => {}
        }
    }

    /// Share of the requests read in a span that were served, and their number.
    fn served(&self, span: std::ops::Range<Duration>) -> (f64, usize) {
        let read: Vec<bool> =
            self.read.values().filter(|(at, _)| span.contains(at)).map(|(_, s)| *s).collect();
        let served = read.iter().filter(|served| **served).count();
        (served as f64 / read.len().max(1) as f64, read.len())
    }
}

/// Guards against a gateway that reads more requests than it has time for, while others have time.
#[test]
fn requests_that_a_hot_gateway_reads_are_served() {
    let mut host = Host::new();
    host.plan_heartbeats(Duration::ZERO);
    host.plan_connections();
    host.run();
    let (before, _) = host.served(ms(500)..HOT.start);
    let (during, read) = host.served(HOT.start + CONTACT..HOT.end);
    println!("served before {before:.2}, during {during:.2} of {read} read");
    assert!(during >= 0.75 * before, "{during:.2} of {read} read are served, {before:.2} before");
    let usual = (HOT.end - HOT.start - CONTACT).as_secs() * USUAL_RATE;
    assert!(read as u64 > usual, "{read} read: the gateway goes on serving");
}

/// Guards against a ready gateway that takes no connections for seconds.
#[test]
fn a_hot_gateway_reads_connections_in_each_second() {
    let mut host = Host::new();
    host.plan_heartbeats(Duration::ZERO);
    host.plan_connections();
    host.run();
    for start in (0..HOT.end.as_secs()).map(Duration::from_secs) {
        let (_, read) = host.served(start..start + Duration::from_secs(1));
        assert!(read > 0, "none read from {start:?}");
    }
}

/// Guards against callers that are sent from one overloaded gateway to the next.
#[test]
fn no_connection_is_closed_unread_while_the_peers_are_overloaded_too() {
    let mut host = Host::new();
    host.plan_heartbeats(ms(100));
    host.plan_connections();
    let planned = host.queue.values().filter(|e| matches!(e, Event::Submit { .. })).count();
    host.run();
    assert_eq!(host.read.len(), planned);
}
