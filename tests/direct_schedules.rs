//! Random schedules of several gateways that call endpoints directly, in virtual time.
//!
//! Callers, endpoints that fail in every way, messages between gateways that are late or lost, owners
//! that are killed, cut off and stopped, configurations and entries that change. What must hold is
//! checked at every step. `STACKMAST_SCHEDULES` sets how many, `STACKMAST_SEED` the first seed.

mod directenv;

use directenv::ms;
use directenv::world::{GATEWAYS, Happening, World};

const SCHEDULES: u64 = 400;
/// Of those with planned stops, which hold more callers.
const STOP_SCHEDULES: u64 = 60;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn random_schedules_of_several_gateways_keep_every_promise() {
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

// A seed that shows a fault is played again: so nothing may hang on the order of a hash map. Of 400 schedules played
// three times, one or two differed while requests of a lost owner went on in such an order.
#[test]
fn a_schedule_runs_the_same_way_each_time() {
    for seed in 1..=60 {
        let happenings = || {
            let mut world = World::new(seed);
            world.run();
            world.next
        };
        assert_eq!(happenings(), happenings(), "seed {seed}");
    }
}

// Streams last up to 6.5 s and gateways are stopped, several at once: what a gateway takes later than
// three seconds after its signal is whole before its process ends.
#[test]
fn random_schedules_with_planned_stops_cut_nothing_that_was_taken_late() {
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
        "{count} schedules from seed {first}: {ended} processes stopped, {served_late} streams taken \
         after the signal whole, {cut} others cut at the end, {jobs_left} jobs left, 0 breaches"
    );
    assert!(ended > 0 && (served_late > 0 || count < STOP_SCHEDULES));
}

// Endpoints say in answers that they leave or want nothing for a while: a gateway that has heard it sends nothing
// that they don't want, whatever else happens.
#[test]
fn random_schedules_of_endpoints_that_say_what_they_want_keep_to_it() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let (mut said, mut checked) = (0, 0);
    for seed in first..first + count {
        let outcome = std::panic::catch_unwind(|| {
            let mut world = World::with_statements(seed);
            world.run();
            world.statements.map(|s| (s.said, s.checked)).unwrap_or_default()
        });
        match outcome {
            Ok(counts) => (said, checked) = (said + counts.0, checked + counts.1),
            Err(_) => panic!("seed {seed}: STACKMAST_SEED={seed} STACKMAST_SCHEDULES=1"),
        }
    }
    println!(
        "{count} schedules from seed {first}: {said} statements, {checked} later messages, 0 breaches"
    );
    assert!(said > 0 && (checked > 0 || count < SCHEDULES));
}

// Without trouble, everything that can be served is, and nothing is left at the makers.
#[test]
fn a_calm_schedule_serves_all_and_frees_all() {
    for seed in 1..20 {
        let mut world = World::new(seed);
        world.trouble = 0.0;
        world.queue.clear();
        world.happenings.clear();
        world.wakes.clear();
        for number in 0..usize::from(GATEWAYS) {
            world.publish_to(number);
        }
        for caller in 1..=8 {
            let at = ms(500) * caller as u32;
            world.at(at, Happening::Arrival(caller as usize % 3, caller));
        }
        world.run();
        assert!(world.kept.is_empty(), "seed {seed}: {} results kept", world.kept.len());
        let ran = world.callers.values().filter(|c| world.runs.contains_key(&c.id)).count();
        assert!(ran == 8, "seed {seed}: {ran} of {} ran", world.callers.len());
    }
}
