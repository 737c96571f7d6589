//! Which gateways hold the origins of streams, how long records last, and random schedules of lost
//! gateways and changing versions.

mod directenv;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{begins, incoming, resumable};
use directenv::group::Group;
use directenv::{address, deployment, endpoint, engine_of, ms, table};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stackmast::direct::event::{Event, IncomingRequest, Refused};
use stackmast::direct::origins::Origin;
use stackmast::direct::origins::holders::{Holder, Holders};
use stackmast::direct::origins::records::Records;
use stackmast::direct::origins::versions::RecentVersions;
use stackmast::direct::peers::build::{Build, Builds};
use stackmast::direct::peers::member::Location;
use stackmast::direct::peers::members::{Member, MemberState, Members};
use stackmast::direct::published::model::{Endpoint, Name};
use stackmast::direct::published::software::{VERSION_LABEL, version_of};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);
/// Number of streams whose cost is counted.
const STREAMS: u64 = 200;

fn members(count: u16) -> Members {
    let mut members =
        Members::new(address(1), 1, 1_000, Location::default(), vec![address(1), address(2)]);
    let member = |port| Member {
        address: address(port),
        incarnation: 1,
        heartbeat: 1,
        state: MemberState::Serving,
        capacity: 1_000,
    };
    members.merge(&(2..=count).map(member).collect::<Vec<_>>(), ms(0));
    members
}

fn addresses(holders: &[Holder]) -> BTreeSet<SocketAddr> {
    holders.iter().map(|holder| holder.address).collect()
}

// Guards against connections of each gateway to each other one.
#[test]
fn holders_are_selected_among_a_bounded_number_of_gateways() {
    let mut holders = Holders::default();
    assert!(holders.update(&members(600), &Builds::default()));
    let all: BTreeSet<SocketAddr> =
        (0..5_000).flat_map(|n| addresses(&holders.asked(&format!("stream-{n}")))).collect();
    assert_eq!(all.len(), 128);
}

// Guards against records that are not found, since the asked gateways are others than the holders.
#[test]
fn the_asked_gateways_include_the_holders_after_one_of_them_is_lost() {
    let (mut before, mut after) = (Holders::default(), Holders::default());
    let (all, mut fewer) = (members(12), members(12));
    before.update(&all, &Builds::default());
    assert!(fewer.mark_unreachable(address(5), 1, ms(1)));
    after.update(&fewer, &Builds::default());
    for number in 0..1_000 {
        let stream = format!("stream-{number}");
        let mut left = addresses(&before.of(&stream));
        left.remove(&address(5));
        assert!(left.is_subset(&addresses(&after.asked(&stream))), "{stream}");
    }
}

// Guards against records that are sent to a build which does not know them.
#[test]
fn builds_before_form_9_hold_no_records() {
    let mut builds = Builds::default();
    let older = Build { version: "0.0.9".to_owned(), commit: None, form: 8 };
    let mut holders = Holders::default();
    holders.update(&members(3), &builds);
    builds.on_greeting(address(2), 1, &older);
    assert!(holders.update(&members(3), &builds), "the greeting changes the holders");
    assert_eq!(addresses(&holders.of("stream")), [address(1), address(3)].into_iter().collect());
}

fn origin(version: &str) -> Origin {
    Origin { pool: "engine".into(), version: Some(version.into()) }
}

// Guards against memory that grows with the number of streams ever begun.
#[test]
fn records_expire_and_the_latest_origin_counts() {
    let mut records = Records::default();
    let stream: Name = "stream".into();
    records.insert(&stream, origin("v1"), SECOND, ms(0));
    records.insert(&stream, origin("v2"), 2 * SECOND, ms(10));
    assert_eq!((records.len(), records.origin("stream", ms(1_500))), (1, Some(&origin("v2"))));
    assert_eq!(records.origin("stream", 2 * SECOND), None);
    records.insert(&"other".into(), origin("v1"), 4 * SECOND, 3 * SECOND);
    assert_eq!(records.len(), 1, "the expired one is removed");
    records.remove("other");
    assert!(records.is_empty());
}

#[test]
fn records_are_bounded() {
    let mut records = Records::default();
    for number in 0..70_000 {
        let expires = SECOND + Duration::from_micros(number);
        records.insert(&format!("{number}").into(), origin("v1"), expires, ms(0));
    }
    assert_eq!(records.len(), 65_536);
    assert!(records.origin("0", ms(1)).is_none(), "the first to expire is dropped");
    assert!(records.origin("69999", ms(1)).is_some());
}

fn of_version(number: u16, version: &str) -> Arc<Endpoint> {
    let mut engine = (*endpoint("engine", number)).clone();
    engine.labels.insert(VERSION_LABEL.to_owned(), version.to_owned());
    Arc::new(engine)
}

// Guards against a version that is forgotten while callers wait for streams that it began.
#[test]
fn a_version_counts_for_a_minute_after_its_last_endpoint_was_removed() {
    let mut table = table(Vec::new());
    let mut versions = RecentVersions::default();
    let id: Name = "engine-1".into();
    let ids = [id.clone(), "engine-2".into()];
    ids.iter().for_each(|id| table.replace_endpoint(id, None));
    table.replace_endpoint(&id, Some(&of_version(1, "v1")));
    assert_eq!(versions.update(&table, true, &[], ms(0)), [Name::from("engine")]);
    assert!(!versions.has_several("engine", ms(0)));
    // The endpoint starts again under its id, with another version.
    table.replace_endpoint(&id, Some(&of_version(1, "v2")));
    assert_eq!(versions.update(&table, false, &ids, 10 * SECOND), [Name::from("engine")]);
    assert!(versions.has_several("engine", 69 * SECOND));
    assert!(!versions.has_several("engine", 70 * SECOND));
    assert_eq!(versions.of("engine", 70 * SECOND).collect::<Vec<_>>(), [&Some("v2".into())]);
    assert_eq!(versions.update(&table, true, &[], 71 * SECOND), [Name::from("engine")]);
}

/// A random schedule of streams, resumptions, lost gateways, and releases.
struct Schedule {
    rng: StdRng,
    group: Group,
    engines: Vec<Arc<Endpoint>>,
    started: u16,
    next: u64,
    /// Open streams with the version that began them.
    open: BTreeMap<u64, String>,
    /// Number of resumptions that were continued, and that were refused.
    continued: usize,
    refused: usize,
    /// Those of which no gateway knew the origin.
    unknown: usize,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let engines: Vec<_> = (1..=4).map(|number| of_version(number, "v1")).collect();
        Self {
            rng: StdRng::seed_from_u64(seed),
            group: Group::new(4, deployment(1, vec![resumable()]), engines.clone()),
            engines,
            started: 4,
            next: 0,
            open: BTreeMap::new(),
            continued: 0,
            refused: 0,
            unknown: 0,
        }
    }

    fn gateway(&mut self) -> usize {
        self.rng.random_range(0..4)
    }

    fn request(&mut self) -> (u64, IncomingRequest) {
        self.next += 1;
        let id = format!("stream-{}", self.next).into();
        (self.next, IncomingRequest { id, ..incoming("r", Vec::new()) })
    }

    fn begin(&mut self) {
        let gateway = self.gateway();
        let (number, request) = self.request();
        let Some((attempt, call)) = self.group.submit(gateway, number, request, SECOND).call else {
            return;
        };
        let version = version_of(&call.endpoint).unwrap_or_default().to_owned();
        self.group.handle(gateway, begins(number, attempt));
        self.group.handle(gateway, Event::FirstEvent { caller: number });
        self.open.insert(number, version);
    }

    /// A caller loses its connection and resumes its stream.
    fn resume(&mut self) {
        let Some((number, began_at)) = self.open.pop_first() else {
            return;
        };
        let gateway = self.gateway();
        let (caller, request) = self.request();
        let resumes = Some(format!("stream-{number}").into());
        let request = IncomingRequest { after_event: Some("3".to_owned()), resumes, ..request };
        let outcome = self.group.submit(gateway, caller, request, SECOND);
        if let Some((_, call)) = outcome.call {
            assert_eq!(version_of(&call.endpoint), Some(&*began_at), "stream {number}");
            self.continued += 1;
        } else {
            let reason = outcome.refusal.expect("a refusal").reason;
            self.unknown += usize::from(reason == Refused::UnknownOrigin);
            self.refused += 1;
        }
        self.group.handle(gateway, Event::CallerDisconnected { caller });
    }

    /// An engine is replaced by one of a newer version; two of the first version stay.
    fn release(&mut self) {
        self.started += 1;
        let version = format!("v{}", 1 + self.started / 4);
        let replaced = self.rng.random_range(2..4);
        self.engines[replaced] = of_version(self.started, &version);
        self.group.list(self.engines.clone());
    }

    fn step(&mut self, with_losses: bool) {
        let gateway = self.gateway();
        match self.rng.random_range(0..20) {
            0..9 => self.begin(),
            9..15 => self.resume(),
            15 => self.release(),
            16 if with_losses => {
                self.group.kill(gateway);
                self.group.start(gateway);
            }
            17 if with_losses => self.group.silent = vec![gateway],
            18 => self.group.silent.clear(),
            _ => {}
        }
        let pause = self.rng.random_range(1..80);
        self.group.run_for(ms(pause));
    }
}

// Guards against any order of losses, messages and releases in which a stream is continued by
// another version; and, without losses, against refusals of streams that could be continued.
#[test_case(false; "without losses")]
#[test_case(true; "with lost and silent gateways")]
fn streams_are_continued_at_their_version_in_random_schedules(with_losses: bool) {
    let (mut continued, mut refused, mut unknown) = (0, 0, 0);
    for seed in 0..20 {
        let mut schedule = Schedule::new(seed);
        (0..150).for_each(|_| schedule.step(with_losses));
        continued += schedule.continued;
        refused += schedule.refused;
        unknown += schedule.unknown;
    }
    println!("{continued} continued, {refused} refused, {unknown} of unknown origin");
    assert!(continued > 300, "{continued} continued");
    assert!(refused < continued, "{refused} refused, {continued} continued");
    assert!(with_losses || unknown == 0, "{unknown} of unknown origin");
}

// Guards against messages that grow with the number of gateways. `STACKMAST_GATEWAYS` sets another
// number, for the figures in docs/CAPACITY.md.
#[test_case(8; "a few gateways")]
#[test_case(40; "many gateways")]
fn a_stream_and_its_resumption_cost_the_same_for_any_number_of_gateways(gateways: usize) {
    let gateways =
        std::env::var("STACKMAST_GATEWAYS").map_or(gateways, |n| n.parse().expect("a number"));
    let versions = ["v1", "v2"];
    let engines = (1..=4).map(|number| of_version(number, versions[usize::from(number) % 2]));
    let mut group = Group::new(gateways, deployment(1, vec![resumable()]), engines.collect());
    let sent = resume_streams(&mut group, gateways);
    let [(began, bytes), (asked, _), (answered, _)] = sent;
    // A resumed stream is recorded again, by the gateway that continues it.
    assert!(began <= 6 * STREAMS as usize && bytes <= 60 * began, "{began} records, {bytes} bytes");
    assert!(
        asked <= 4 * STREAMS as usize && answered <= asked,
        "{asked} asked, {answered} answered"
    );
}

/// Begins streams and resumes each one at another gateway; returns the number of records, questions
/// and responses, and their bytes.
fn resume_streams(group: &mut Group, gateways: usize) -> [(usize, usize); 3] {
    let streams = STREAMS;
    let stream = |number: u64| format!("9c41d07be2a3{number:04x}").into();
    for number in 0..streams {
        let request = IncomingRequest { id: stream(number), ..incoming("r", Vec::new()) };
        group.submit(number as usize % gateways, number, request, SECOND).call.expect("sent");
    }
    for number in 0..streams {
        let request = IncomingRequest {
            after_event: Some("3".to_owned()),
            resumes: Some(stream(number)),
            ..incoming("r", Vec::new())
        };
        let gateway = (number as usize + gateways / 2) % gateways;
        group.submit(gateway, streams + number, request, SECOND).call.expect("continued");
    }
    let kinds = ["streams_began", "ask_origin", "stream_origin"];
    let sent = kinds.map(|kind| group.sent_of_kind(kind));
    println!("{gateways} gateways, {streams} streams and resumptions: {sent:?} messages and bytes");
    sent
}

// Guards against records and questions that grow with the number of gateways or of engines.
#[test_case(30, 40; "30 gateways, 40 engines")]
#[test_case(30, 160; "30 gateways, 160 engines")]
#[test_case(100, 40; "100 gateways, 40 engines")]
fn the_cost_of_witnesses_is_constant_with(gateways: usize, engines: u16) {
    let gateways =
        std::env::var("STACKMAST_GATEWAYS").map_or(gateways, |n| n.parse().expect("a number"));
    let versions = ["v1", "v2"];
    let engine = |number: u16| engine_of(versions[usize::from(number) % 2], number);
    let engines = (1..=engines).map(engine).collect();
    let deployment = deployment(1, vec![resumable()]);
    let mut group = Group::with_witnesses(gateways, deployment, engines);
    let [(began, bytes), (asked, _), _] = resume_streams(&mut group, gateways);
    // Three gateways and three witnesses, twice.
    assert!(began <= 12 * STREAMS as usize && bytes <= 60 * began, "{began}, {bytes} bytes");
    // Four gateways, and six witnesses of each of two versions.
    assert!(asked <= 16 * STREAMS as usize, "{asked} questions");
}
