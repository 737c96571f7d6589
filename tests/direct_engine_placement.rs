//! Selection of an engine by the expected time to the first event.

use std::time::Duration;

use stackmast::policy::place::PlacementReason;
use stackmast::policy::start_time::{Engine, PromptTimes, earliest_start, order_by_hash, select};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A prompt whose shared part takes 260 ms to read.
const TIMES: PromptTimes =
    PromptTimes { shared: ms(260), own: ms(70), waiting: ms(60), run: ms(800) };
const OBJECTIVE: Duration = ms(1_200);
const IDS: [&str; 6] = ["e-0", "e-1", "e-2", "e-3", "e-4", "e-5"];

fn engine(id: &'static str) -> Engine<'static> {
    Engine {
        id,
        running: 2.0,
        waiting: 0.0,
        sent_since: 0.0,
        report_age: Duration::ZERO,
        slots: 64.0,
        slowness: 1.0,
        avoided: false,
        has_part: false,
    }
}

/// Six idle engines in the order by hash of the part "p".
fn engines() -> Vec<Engine<'static>> {
    let engines = IDS.map(engine);
    order_by_hash(&engines, "p").into_iter().map(|i| engines[i].clone()).collect()
}

fn chosen(engines: &[Engine<'_>], left: Duration) -> (usize, PlacementReason) {
    let selected = select(engines, "p", &TIMES, left).expect("an engine");
    (selected.index, selected.reason)
}

// Load pattern: a quiet day with a hot part. Most loads are low, one engine runs many requests, and
// none waits: it starts the next one as early as an idle engine would.
#[test]
fn requests_that_run_do_not_make_a_prompt_leave_its_first_choice() {
    let mut engines = engines();
    engines[0].running = 40.0;
    assert_eq!(chosen(&engines, OBJECTIVE), (0, PlacementReason::Prefix));
}

// Load pattern: a short burst on one part. The queue takes less time than reading the part again.
#[test]
fn a_queue_shorter_than_the_read_does_not_make_a_prompt_leave() {
    let mut engines = engines();
    engines[0].waiting = 5.0;
    assert_eq!(chosen(&engines, OBJECTIVE), (0, PlacementReason::Prefix));
}

// Load pattern: a hot part whose first choice has more prompts than it reads.
#[test]
fn a_hot_part_gets_the_second_choice_by_hash() {
    let mut engines = engines();
    engines[0].waiting = 10.0;
    assert_eq!(chosen(&engines, OBJECTIVE), (1, PlacementReason::SecondChoice));
    engines[1].waiting = 0.5;
    assert_eq!(chosen(&engines, OBJECTIVE).0, 1, "within the margin");
    engines[3].has_part = true;
    assert_eq!(chosen(&engines, OBJECTIVE).0, 3, "an engine that has the part starts earlier");
}

// Load pattern: a first choice that would miss the objective; the margin is not kept.
#[test]
fn a_prompt_leaves_a_first_choice_that_misses_the_objective() {
    let mut engines = engines();
    engines[0].waiting = 5.0;
    assert_eq!(chosen(&engines, ms(369)), (1, PlacementReason::SecondChoice));
    assert_eq!(chosen(&engines, ms(370)).0, 0);
}

// Load pattern: engines of three speeds with the same load.
#[test]
fn a_slow_engine_takes_longer_for_its_queue() {
    let mut engines = engines();
    engines[0].waiting = 4.0;
    assert_eq!(chosen(&engines, OBJECTIVE).0, 0);
    engines[0].slowness = 1.7;
    assert_eq!(chosen(&engines, OBJECTIVE).0, 1);
}

// Load pattern: half of the engines are gone, and the slots of the others are in use.
#[test]
fn requests_beyond_the_slots_wait_for_the_end_of_others() {
    let full = Engine { running: 64.0, waiting: 32.0, ..engine("e-0") };
    let expected = ms(70) + ms(60) * 32 + ms(800).mul_f64(33.0 / 64.0);
    let (_, start) = earliest_start(&[full], "p", &TIMES).expect("an engine");
    assert!(start.abs_diff(expected) < ms(1), "{start:?}");
}

// Guards against refusals by a queue that was served since the engine stated it.
#[test]
fn a_queue_is_served_from_the_time_of_its_report_on() {
    let start = |sent_since, report_age| {
        let full = Engine { running: 64.0, waiting: 32.0, sent_since, report_age, ..engine("e-0") };
        earliest_start(&[full], "p", &TIMES).expect("an engine").1
    };
    let queue = start(0.0, ms(0)) - ms(70);
    assert!(start(0.0, ms(600)).abs_diff(queue + ms(70) - ms(600)) < ms(1));
    assert!(start(0.0, queue * 2).abs_diff(ms(70)) < ms(1), "the own prompt is read all the same");
    let later = ms(60) + ms(800) / 64;
    assert!(start(1.0, queue * 2).abs_diff(ms(70) + later) < ms(1), "sent since the report");
}

#[test]
fn avoided_engines_are_not_selected() {
    let mut engines = engines();
    engines[0].avoided = true;
    assert_eq!(chosen(&engines, OBJECTIVE), (1, PlacementReason::Prefix));
    engines.iter_mut().for_each(|e| e.avoided = true);
    assert_eq!(select(&engines, "p", &TIMES, OBJECTIVE), None);
}
