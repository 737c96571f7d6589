//! Random schedules of several gateways that call endpoints directly, in virtual time.
//!
//! Endpoints fail in every way, messages between gateways are delayed or lost, owners are killed,
//! cut off and stopped, configurations and entries change. The guarantees are checked at every
//! step. `STACKMAST_SCHEDULES` sets the number of schedules, `STACKMAST_SEED` the first seed.

mod directenv;

use directenv::ms;
use directenv::world::{GATEWAYS, SimEvent, World};

const SCHEDULES: u64 = 400;
/// Number of schedules with planned stops, which have more callers.
const STOP_SCHEDULES: u64 = 60;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn random_schedules_of_several_gateways_keep_all_guarantees() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let mut answered = 0;
    for seed in first..first + count {
        let outcome = std::panic::catch_unwind(|| {
            let mut world = World::new(seed);
            world.run();
            world.callers.values().map(|c| c.answers).sum::<usize>()
        });
        match outcome {
            Ok(count) => answered += count,
            Err(_) => panic!("seed {seed}: STACKMAST_SEED={seed} STACKMAST_SCHEDULES=1"),
        }
    }
    println!("{count} schedules from seed {first}, {answered} answers, 0 breaches");
    assert!(answered > 0);
}

// A seed that shows a fault must reproduce it, so nothing may depend on the order of a hash map. Of
// 400 schedules run three times, one or two differed while requests of a lost owner were continued
// in such an order.
#[test]
fn schedules_are_deterministic() {
    for seed in 1..=60 {
        let sim_events = || {
            let mut world = World::new(seed);
            world.run();
            world.next
        };
        assert_eq!(sim_events(), sim_events(), "seed {seed}");
    }
}

// Streams last up to 6.5 s and several gateways are stopped at once: a stream that a gateway
// accepts later than three seconds after its signal is complete before the process ends.
#[test]
fn planned_stops_cut_no_late_accepted_streams() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", STOP_SCHEDULES);
    let (mut ended, mut served_late, mut cut, mut jobs_left) = (0, 0, 0, 0);
    for seed in first..first + count {
        let outcome = std::panic::catch_unwind(|| {
            let mut world = World::with_stops(seed);
            world.run();
            world.stops
        });
        match outcome {
            Ok(stops) => {
                ended += stops.ended;
                served_late += stops.served_late;
                cut += stops.cut;
                jobs_left += stops.jobs_left;
            }
            Err(_) => panic!("seed {seed}: STACKMAST_SEED={seed} STACKMAST_SCHEDULES=1"),
        }
    }
    println!(
        "{count} schedules from seed {first}: {ended} processes stopped, {served_late} streams accepted \
         after the signal completed, {cut} others cut at the end, {jobs_left} jobs left, 0 breaches"
    );
    assert!(ended > 0 && (served_late > 0 || count < STOP_SCHEDULES));
}

// Endpoints announce in responses that they leave or pause: a gateway that has received the
// announcement sends nothing that it excludes, whatever else happens.
#[test]
fn gateways_respect_status_headers_in_random_schedules() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let (mut received, mut checked) = (0, 0);
    for seed in first..first + count {
        let outcome = std::panic::catch_unwind(|| {
            let mut world = World::with_statements(seed);
            world.run();
            world.statements.map(|s| (s.received, s.checked)).unwrap_or_default()
        });
        match outcome {
            Ok(counts) => (received, checked) = (received + counts.0, checked + counts.1),
            Err(_) => panic!("seed {seed}: STACKMAST_SEED={seed} STACKMAST_SCHEDULES=1"),
        }
    }
    println!(
        "{count} schedules from seed {first}: {received} statements, {checked} later messages, 0 breaches"
    );
    assert!(received > 0 && (checked > 0 || count < SCHEDULES));
}

// Without faults, every request that can be served is served, and all results are freed.
#[test]
fn a_schedule_without_faults_serves_all_requests_and_frees_all_results() {
    for seed in 1..20 {
        let mut world = World::new(seed);
        world.fault_rate = 0.0;
        world.queue.clear();
        world.sim_events.clear();
        world.wakes.clear();
        for number in 0..usize::from(GATEWAYS) {
            world.publish_to(number);
        }
        for caller in 1..=8 {
            let at = ms(500) * caller as u32;
            world.at(at, SimEvent::Arrival(caller as usize % 3, caller));
        }
        world.run();
        assert!(world.kept.is_empty(), "seed {seed}: {} results kept", world.kept.len());
        let ran = world.callers.values().filter(|c| world.runs.contains_key(&c.id)).count();
        assert!(ran == 8, "seed {seed}: {ran} of {} ran", world.callers.len());
    }
}
