//! Streams of gateways that are lost, all or some of them, while a software version of their pool
//! leaves: what one version began, no other version continues.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{begins, incoming, resumable};
use directenv::group::Group;
use directenv::{deployment, endpoint, ms};
use stackmast::direct::event::{Event, IncomingRequest, Refused};
use stackmast::direct::published::model::Endpoint;
use stackmast::direct::published::software::{VERSION_LABEL, version_of};
use test_case::test_matrix;

/// How long a test waits for the call or refusal of a request.
const WAIT: Duration = Duration::from_millis(500);
/// Added to the number of a stream for the caller that resumes it.
const CALLERS: u64 = 1_000;
/// Number of gateways.
const GATEWAYS: usize = 4;
/// Number of streams of a test.
const STREAMS: u64 = 12;

/// How gateways are lost. All that are lost start again.
#[derive(Debug, Clone, Copy)]
enum Loss {
    AllAtOnce,
    OneByOne,
    /// The last gateway is suspended meanwhile.
    AllButOnePaused,
    /// The last gateway reaches neither the store nor other gateways meanwhile.
    AllButOneCutOff,
}

/// When the endpoints of the version that began the streams leave.
#[derive(Debug, Clone, Copy)]
enum Leaves {
    BeforeTheLoss,
    DuringTheLoss,
    AfterTheLoss,
}

fn engines(version: &str, numbers: std::ops::RangeInclusive<u16>) -> Vec<Arc<Endpoint>> {
    let engine = |number| {
        let mut engine = (*endpoint("engine", number)).clone();
        engine.labels.insert(VERSION_LABEL.to_owned(), version.to_owned());
        Arc::new(engine)
    };
    numbers.map(engine).collect()
}

fn stream(number: u64) -> IncomingRequest {
    IncomingRequest { id: format!("stream-{number}").into(), ..incoming("r", Vec::new()) }
}

/// The request by which the caller of a stream resumes it.
fn resumption(number: u64) -> IncomingRequest {
    IncomingRequest {
        id: format!("again-{number}").into(),
        after_event: Some("7".to_owned()),
        resumes: Some(stream(number).id),
        ..stream(number)
    }
}

/// Begins a stream at a gateway and forwards its first event; returns the version that began it.
fn begin(group: &mut Group, gateway: usize, number: u64) -> String {
    let (attempt, call) = group.submit(gateway, number, stream(number), WAIT).call.expect("sent");
    group.handle(gateway, begins(number, attempt));
    group.handle(gateway, Event::FirstEvent { caller: number });
    version_of(&call.endpoint).expect("each engine has a version").to_owned()
}

/// Resumes a stream at a gateway; returns the version that continues it, or the reason of the
/// refusal.
fn resume(group: &mut Group, gateway: usize, number: u64) -> Result<String, Refused> {
    let outcome = group.submit(gateway, CALLERS + number, resumption(number), WAIT);
    match (outcome.call, outcome.refusal) {
        (Some((_, call)), _) => Ok(version_of(&call.endpoint).expect("a version").to_owned()),
        (None, Some(refusal)) => Err(refusal.reason),
        (None, None) => panic!("stream {number} is neither continued nor refused"),
    }
}

/// Loses gateways; `meanwhile` is called while as many as possible are lost.
fn lose(group: &mut Group, loss: Loss, meanwhile: impl FnOnce(&mut Group)) {
    match loss {
        Loss::AllAtOnce => {
            (0..GATEWAYS).for_each(|gateway| group.kill(gateway));
            group.run_for(ms(2_500));
            meanwhile(group);
            (0..GATEWAYS).for_each(|gateway| group.start(gateway));
        }
        Loss::OneByOne => {
            let mut meanwhile = Some(meanwhile);
            for gateway in 0..GATEWAYS {
                group.kill(gateway);
                group.run_for(ms(600));
                if let Some(meanwhile) = meanwhile.take_if(|_| gateway == GATEWAYS / 2) {
                    meanwhile(group);
                }
                group.start(gateway);
                group.run_for(ms(600));
            }
        }
        Loss::AllButOnePaused | Loss::AllButOneCutOff => {
            let last = GATEWAYS - 1;
            (0..last).for_each(|gateway| group.kill(gateway));
            group.run_for(ms(2_500));
            meanwhile(group);
            (0..last).for_each(|gateway| group.start(gateway));
        }
    }
    group.run_for(ms(1_000));
}

/// Isolates the last gateway, if the loss spares one.
fn isolate(group: &mut Group, loss: Loss) {
    match loss {
        Loss::AllAtOnce | Loss::OneByOne => {}
        Loss::AllButOnePaused => group.pause(GATEWAYS - 1),
        Loss::AllButOneCutOff => group.cut_off = vec![GATEWAYS - 1],
    }
}

/// Ends the isolation of the last gateway, which reads the list again.
fn rejoin(group: &mut Group) {
    group.cut_off.clear();
    group.resume(GATEWAYS - 1);
    group.run_for(ms(500));
}

/// Checks that streams are continued only by the version that began them, or refused, wherever
/// their callers resume them.
fn check(group: &mut Group, began: &[String]) {
    for gateway in 0..GATEWAYS {
        for (number, first) in (0..).zip(began) {
            let resumed = resume(group, gateway, number);
            group.handle(gateway, Event::CallerDisconnected { caller: CALLERS + number });
            assert!(
                resumed.as_ref().map_or(true, |version| version == first),
                "stream {number}, begun at {first}, resumed at gateway {gateway}: {resumed:?}"
            );
        }
    }
}

// Guards against gateways that started after a loss and take the versions that they have listed
// since for all that can have begun a stream (incident ORDER, inc1).
#[test_matrix(
    [Loss::AllAtOnce, Loss::OneByOne, Loss::AllButOnePaused, Loss::AllButOneCutOff],
    [Leaves::BeforeTheLoss, Leaves::DuringTheLoss, Leaves::AfterTheLoss]
)]
fn no_stream_is_continued_by_another_version_after(loss: Loss, leaves: Leaves) {
    let old = engines("v1", 1..=3);
    let new = engines("v1.1", 4..=6);
    let mut group = Group::new(GATEWAYS, deployment(1, vec![resumable()]), old.clone());
    group.run_for(ms(5_000));
    let began: Vec<String> =
        (0..STREAMS).map(|number| begin(&mut group, number as usize % 2, number)).collect();
    assert!(began.iter().all(|version| version == "v1"));
    isolate(&mut group, loss);
    group.list(old.iter().chain(&new).cloned().collect());
    group.run_for(ms(1_000));
    if matches!(leaves, Leaves::BeforeTheLoss) {
        group.list(new.clone());
        group.run_for(ms(1_000));
    }
    lose(&mut group, loss, |group| {
        if matches!(leaves, Leaves::DuringTheLoss) {
            group.list(new.clone());
        }
    });
    group.list(new);
    group.run_for(ms(1_000));
    rejoin(&mut group);
    check(&mut group, &began);
}

// Guards against a gateway that was isolated and takes the versions which it listed before and
// after for all that served meanwhile: a release that was withdrawn.
#[test_matrix([Loss::AllAtOnce, Loss::OneByOne, Loss::AllButOnePaused, Loss::AllButOneCutOff])]
fn no_stream_of_a_withdrawn_version_is_continued_by_another_one_after(loss: Loss) {
    let old = engines("v1", 1..=3);
    let withdrawn = engines("v1.1", 4..=6);
    let mut group = Group::new(GATEWAYS, deployment(1, vec![resumable()]), old.clone());
    group.run_for(ms(70_000));
    isolate(&mut group, loss);
    group.list(withdrawn.clone());
    group.run_for(ms(1_000));
    let began: Vec<String> =
        (0..STREAMS).map(|number| begin(&mut group, number as usize % 2, number)).collect();
    assert!(began.iter().all(|version| version == "v1.1"));
    group.list(withdrawn.iter().chain(&old).cloned().collect());
    group.run_for(ms(1_000));
    group.list(old.clone());
    lose(&mut group, loss, |group| group.list(old));
    rejoin(&mut group);
    check(&mut group, &began);
}
