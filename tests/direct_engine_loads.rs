//! The view of the engines' load: reports of own calls and of peers, and what heartbeats carry.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::{endpoint, ms};
use stackmast::direct::engines::load::{Load, SharedLoad};
use stackmast::direct::engines::read_times::ReadTimes;
use stackmast::direct::engines::view::{LoadView, REPORT_TTL};
use stackmast::direct::published::model::{Endpoint, Name};
use test_case::test_case;

fn load(running: u32) -> Load {
    Load { running, waiting: 3, slots: 64, work_time_percent: Some(120) }
}

fn shared(engine: &Endpoint, running: u32, age: Duration) -> SharedLoad {
    let (endpoint, incarnation) = (engine.id.clone(), engine.incarnation);
    SharedLoad { endpoint, incarnation, load: load(running), age }
}

fn running(view: &LoadView, engine: &Endpoint, now: Duration) -> Option<u32> {
    view.get(engine, now).map(|known| known.load.running)
}

#[test]
fn the_newest_report_by_age_counts_whoever_sent_it() {
    let (mut view, engine) = (LoadView::default(), endpoint("engine", 1));
    view.record_own(&engine, load(1), ms(1_000));
    view.record_shared(shared(&engine, 2, ms(500)), ms(1_200));
    assert_eq!(running(&view, &engine, ms(1_200)), Some(1), "the peer's is older");
    view.record_shared(shared(&engine, 3, ms(100)), ms(1_200));
    assert_eq!(running(&view, &engine, ms(1_200)), Some(3));
    view.record_shared(shared(&engine, 4, ms(85)), ms(1_200));
    assert_eq!(running(&view, &engine, ms(1_200)), Some(3), "not newer by more than the transit");
}

#[test]
fn old_reports_are_not_used_and_not_sent() {
    let (mut view, engine) = (LoadView::default(), endpoint("engine", 1));
    view.record_shared(shared(&engine, 1, REPORT_TTL), ms(5_000));
    assert_eq!(running(&view, &engine, ms(5_000)), None, "old on arrival");
    view.record_own(&engine, load(1), ms(5_000));
    assert_eq!(running(&view, &engine, ms(5_999)), Some(1));
    assert_eq!(running(&view, &engine, ms(6_000)), None);
    assert!(view.take_reports(4, ms(6_000)).is_empty());
    assert!(view.has_stated(&engine));
}

#[test]
fn reports_of_another_incarnation_do_not_count() {
    let (mut view, engine) = (LoadView::default(), endpoint("engine", 1));
    view.record_own(&engine, load(1), ms(1_000));
    let restarted = Endpoint { incarnation: 2, ..(*engine).clone() };
    assert_eq!(running(&view, &restarted, ms(1_000)), None);
    assert!(!view.has_stated(&restarted));
    view.record_shared(shared(&restarted, 5, ms(300)), ms(1_000));
    assert_eq!(running(&view, &restarted, ms(1_000)), Some(5), "whatever its age");
}

#[test]
fn own_calls_since_the_report_are_counted() {
    let (mut view, engine) = (LoadView::default(), endpoint("engine", 1));
    view.sent(&engine, ms(900));
    view.record_own(&engine, load(1), ms(1_000));
    view.sent(&engine, ms(1_010));
    view.sent(&engine, ms(1_020));
    assert_eq!(view.get(&engine, ms(1_030)).map(|known| known.sent_since), Some(2));
    view.record_own(&engine, load(1), ms(1_040));
    assert_eq!(view.get(&engine, ms(1_040)).map(|known| known.sent_since), Some(0));
}

#[test]
fn the_work_time_is_an_average() {
    let (mut view, engine) = (LoadView::default(), endpoint("engine", 1));
    for n in 0..100 {
        let percent = if n % 2 == 0 { 80 } else { 160 };
        let stated = Load { work_time_percent: Some(percent), ..load(1) };
        view.record_own(&engine, stated, ms(1_000 + n));
    }
    let known = view.get(&engine, ms(1_100)).expect("a report");
    assert!((1.1..1.3).contains(&known.work_time), "{}", known.work_time);
}

fn view_of(engines: &[Arc<Endpoint>], now: Duration) -> LoadView {
    let mut view = LoadView::default();
    engines.iter().for_each(|engine| view.record_own(engine, load(1), now));
    view
}

// Load pattern: many engines and many receivers. What a gateway sends does not grow with either.
#[test_case(4, 8; "few receivers")]
#[test_case(32, 1; "many receivers")]
#[test_case(300, 0; "more receivers than reports")]
fn the_reports_of_a_round_are_bounded(receivers: usize, expected: usize) {
    let engines: Vec<_> = (0..500).map(|n| endpoint("engine", n)).collect();
    let mut view = view_of(&engines, ms(1_000));
    let reports = view.take_reports(receivers, ms(1_000));
    assert_eq!(reports.len(), expected);
    assert!(reports.len() * receivers <= 32);
    let is_bounded = view.take_reports(receivers, ms(1_050)).is_empty();
    assert!(is_bounded, "changes of members add no reports");
    let bytes = postcard::to_allocvec(&reports).expect("encodes").len();
    assert!(bytes <= expected * 30 + 1, "{bytes} bytes");
}

#[test]
fn own_new_reports_go_first_and_each_is_sent_a_few_times() {
    let engines: Vec<_> = (0..2).map(|n| endpoint("engine", n)).collect();
    let mut view = LoadView::default();
    view.record_own(&engines[0], load(1), ms(1_000));
    view.record_shared(shared(&engines[1], 1, ms(0)), ms(1_010));
    let ids = |reports: Vec<SharedLoad>| -> Vec<String> {
        reports.into_iter().map(|report| report.endpoint.to_string()).collect()
    };
    assert_eq!(ids(view.take_reports(4, ms(1_200))), ["engine-0", "engine-1"]);
    assert_eq!(ids(view.take_reports(4, ms(1_400))), ["engine-0"]);
    assert!(view.take_reports(4, ms(1_600)).is_empty());
}

#[test]
fn the_age_of_a_report_grows_while_it_waits() {
    let (mut view, engine) = (LoadView::default(), endpoint("engine", 1));
    view.record_shared(shared(&engine, 1, ms(200)), ms(1_000));
    assert_eq!(view.take_reports(4, ms(1_150))[0].age, ms(350));
    assert_eq!(view.mean_age(ms(1_150)), Some(ms(350)));
}

// Load pattern: prompts of three sizes at engines with a queue that varies.
#[test]
fn the_time_to_read_a_token_follows_from_prompts_of_different_sizes() {
    let mut times = ReadTimes::default();
    let pool: Name = "engine".into();
    assert_eq!(times.time_for(&pool, 1_000), ms(30));
    for n in 0..60 {
        let tokens = [1_110, 2_890, 3_720][n % 3];
        let queue = Duration::from_millis((n as u64 * 7) % 11);
        times.record(&pool, tokens, ms(80) + Duration::from_micros(20) * tokens as u32 + queue);
    }
    let time = times.time_for(&pool, 10_000);
    assert!(time.abs_diff(ms(200)) < ms(20), "{time:?}");
}
