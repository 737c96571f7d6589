//! Cells: which data centres have an owner of their own, which gateway is the owner, and where a
//! job is submitted after its cell has refused it.

mod directenv;

use std::collections::BTreeSet;
use std::sync::Arc;

use directenv::gateway::{configured, incoming, receive_gossip, refusal, serving, submit};
use directenv::{address, batch, deployment, endpoint, job, job_id, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::answers::{BatchOutcome, PieceOutcome};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::owner::owners::Owners;
use stackmast::direct::peers::member::Location;
use stackmast::direct::peers::members::{Member, MemberState, Members};
use stackmast::direct::peers::message::{Job, JobReason, PeerMessage};
use stackmast::direct::published::documents::Merged;
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Name, Pool, Repeat, Work};
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;
use test_case::test_case;

const POOLS: [&str; 3] = ["first", "second", "third"];

/// Endpoints in one data centre per element of `counts`, which is their number in each pool.
fn fleet(counts: &[usize]) -> Vec<Arc<Endpoint>> {
    let mut number = 0;
    let mut endpoints = Vec::new();
    for (place, count) in counts.iter().enumerate() {
        for pool in POOLS {
            for _ in 0..*count {
                number += 1;
                let one = Endpoint::clone(&endpoint(pool, number));
                let data_centre = format!("dc-{place}").into();
                endpoints.push(Arc::new(Endpoint { data_centre, ..one }));
            }
        }
    }
    endpoints
}

fn table(counts: &[usize]) -> Table {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let mut deployment = deployment(1, vec![route]);
    let roomy = |pool: Pool| match &*pool.name {
        "engine" => pool,
        _ => Pool { work: batch(4, 1_000_000), ..pool },
    };
    deployment.pools = deployment.pools.into_iter().map(roomy).collect();
    Table::new(Arc::new(deployment), fleet(counts).iter())
}

fn names(table: &Table) -> Vec<String> {
    table.cells().names().map(ToString::to_string).collect()
}

#[test_case(&[5, 4, 4], &["stages"]; "a small fleet has one owner")]
#[test_case(&[10, 10, 10], &["stages/dc-0", "stages/dc-1", "stages/dc-2"]; "a large one has one in each data centre")]
#[test_case(&[1, 15, 15], &["stages/dc-0", "stages/dc-2"]; "neighbours with few endpoints share a cell")]
#[test_case(&[15, 15, 1], &["stages/dc-0", "stages/dc-1"]; "also the last data centres")]
fn cells_follow_the_data_centres_of_large_fleets(counts: &[usize], expected: &[&str]) {
    assert_eq!(names(&table(counts)), expected);
}

// Single endpoints that are replaced, fail or are added while the others serve.
#[test_case(&[7, 7, 7], &[7, 6, 7]; "one owner")]
#[test_case(&[10, 10, 10], &[10, 9, 8]; "one owner in each data centre")]
fn cells_remain_when_single_endpoints_leave(before: &[usize], after: &[usize]) {
    assert_eq!(names(&table(before)), names(&table(after)));
}

// The same endpoints with calls of 0.28 s and of 0.56 s: what counts is the work of the owner.
#[test]
fn cells_follow_the_calls_that_one_owner_would_handle() {
    let with_calls_of = |factor: u32| {
        let mut deployment = deployment(1, Vec::new());
        for pool in &mut deployment.pools {
            if let Work::Batch(spec) = &mut pool.work {
                spec.call_overhead *= factor;
                spec.piece_time *= factor;
            }
        }
        names(&Table::new(Arc::new(deployment), fleet(&[9, 9, 9]).iter()))
    };
    assert_eq!(with_calls_of(1).len(), 3, "289 calls a second");
    assert_eq!(with_calls_of(2), ["stages"], "145 calls a second");
}

// Endpoints are added while a job runs, so that the only cell is split: its owner keeps the job and
// its results, and finishes it at the endpoints of the job's cell.
#[test]
fn a_job_that_runs_while_the_cells_change_is_finished() {
    let (small, large) = (table(&[5, 5, 5]), table(&[10, 10, 10]));
    let mut owners = Owners::new(address(1), bounds());
    owners.submit(job_of(1, "stages"), &small, ms(0));
    let mut ready = false;
    let mut sent = 0;
    for step in 0..4 {
        let now = ms(300 * step);
        let table = if step == 0 { &small } else { &large };
        if step == 1 {
            owners.table_changed(table, &Merged::default(), &[], now);
        }
        for action in owners.actions(table, now) {
            match action {
                Action::CallBatch { call, pieces, .. } => {
                    sent += pieces.len();
                    let made = (0..pieces.len()).map(|i| PieceOutcome::Made(format!("{i}").into()));
                    let outcome = BatchOutcome::Pieces(made.collect());
                    owners.batch_ended(call, outcome, table, now + ms(260));
                }
                Action::Send { message: PeerMessage::Ready(_), .. } => ready = true,
                _ => {}
            }
        }
    }
    assert!(ready);
    assert_eq!(sent, 4, "two stages of two pieces, each produced once");
}

#[test]
fn a_single_cell_has_all_endpoints_and_each_of_several_its_own() {
    let small = table(&[5, 4, 4]);
    assert!(small.cells().contains("stages", "dc-2"));
    let large = table(&[10, 10, 10]);
    let cell = large.cells().of_data_centre("dc-1");
    assert!(large.cells().contains(&cell, "dc-1"));
    assert!(!large.cells().contains(&cell, "dc-2"));
    assert_eq!(large.cells().of_data_centre("elsewhere"), large.cells().of_data_centre("dc-0"));
}

fn members(count: u16, strong: u16) -> Members {
    let mut members = Members::new(address(1), 1, 100, Location::default(), Vec::new());
    members.set_state(MemberState::Serving);
    let others: Vec<Member> = (2..=count)
        .map(|port| {
            let capacity = if port <= strong { 500 } else { 90 };
            Member { capacity, ..serving(port) }
        })
        .collect();
    members.merge(&others, ms(0));
    members
}

fn cells(count: usize) -> Vec<Name> {
    (0..count).map(|cell| format!("stages/dc-{cell}").into()).collect()
}

fn firsts(members: &Members, cells: &[Name]) -> Vec<u16> {
    let owners = members.owners(cells, 3);
    cells.iter().map(|cell| owners[cell][0].address.port()).collect()
}

#[test]
fn no_host_owns_two_cells_while_an_equally_strong_one_owns_none() {
    let cells = cells(6);
    let owners: BTreeSet<u16> = firsts(&members(40, 9), &cells).into_iter().collect();
    assert_eq!(owners.len(), 6);
    assert!(owners.iter().all(|port| *port <= 9), "the strongest: {owners:?}");
}

#[test]
fn few_strong_hosts_own_several_cells_each() {
    let cells = cells(6);
    let owners: BTreeSet<u16> = firsts(&members(40, 3), &cells).into_iter().collect();
    assert_eq!(owners, BTreeSet::from([2, 3]));
}

#[test]
fn the_loss_of_an_owner_moves_its_cell_and_at_most_one_other() {
    let cells = cells(6);
    let mut moved = 0;
    for lost in firsts(&members(60, 30), &cells) {
        let mut members = members(60, 30);
        let before = firsts(&members, &cells);
        assert!(members.mark_unreachable(address(lost), 5, ms(1)));
        let after = firsts(&members, &cells);
        let changed = before.iter().zip(&after).filter(|(b, a)| b != a).count();
        assert!((1..=2).contains(&changed), "{changed} cells moved with {lost}");
        moved += changed;
    }
    assert!(moved <= 8, "{moved} moves for six losses");
}

fn bounds() -> RepeatBudget {
    RepeatBudget { ratio: 0.2, slack: 50.0, window: std::time::Duration::from_secs(10) }
}

fn job_of(number: u64, cell: &str) -> Job {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    Job { cell: cell.into(), ..job(number, &route, 2) }
}

#[test]
fn pieces_of_a_cell_run_at_its_endpoints_and_results_reach_their_job() {
    let table = table(&[10, 10, 10]);
    let mut owners = Owners::new(address(1), bounds());
    owners.submit(job_of(1, "stages/dc-1"), &table, ms(0));
    owners.submit(job_of(2, "stages/dc-2"), &table, ms(0));
    assert_eq!(owners.jobs(), 2);
    let mut ready = BTreeSet::new();
    for step in 0..4 {
        let now = ms(300 * step);
        for action in owners.actions(&table, now) {
            match action {
                Action::CallBatch { call, endpoint, pieces, .. } => {
                    let expected = if &*pieces[0].request == "request-1" { "dc-1" } else { "dc-2" };
                    assert_eq!(&*endpoint.data_centre, expected);
                    let made = (0..pieces.len()).map(|i| PieceOutcome::Made(format!("{i}").into()));
                    let outcome = BatchOutcome::Pieces(made.collect());
                    owners.batch_ended(call, outcome, &table, now + ms(260));
                }
                Action::Send { message: PeerMessage::Ready(id), .. } => {
                    ready.insert(id);
                }
                _ => {}
            }
        }
    }
    assert_eq!(ready, BTreeSet::from([job_id(1), job_id(2)]));
    owners.release(job_id(1), &table);
    owners.release(job_id(2), &table);
    assert_eq!(owners.jobs(), 0);
}

/// A gateway in a fleet of three cells that are all owned by other gateways.
fn gateway_with_cells() -> GatewayCore {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let mut core = configured(vec![route]);
    let documents: Vec<Revised> = fleet(&[10, 10, 10])
        .into_iter()
        .map(|e| Revised {
            position: position(3),
            created_revision: 0,
            document: Document::Endpoint(e),
        })
        .collect();
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(0));
    let strong = (2..=9).map(|port| Member { capacity: 9_000, ..serving(port) }).collect();
    receive_gossip(&mut core, strong, ms(0));
    core
}

fn submitted(actions: &[Action]) -> Vec<(std::net::SocketAddr, Job)> {
    let submitted = actions.iter().filter_map(|a| match a {
        Action::Send { to, message: PeerMessage::Submit(job) } => Some((*to, Job::clone(job))),
        _ => None,
    });
    submitted.collect()
}

fn refuse(core: &mut GatewayCore, from: std::net::SocketAddr, job: &Job, at: u64) -> Vec<Action> {
    let (reason, retry_after) = (JobReason::NoRoom, ms(300));
    let message = PeerMessage::Cancelled { job: job.id, reason, not_started: true, retry_after };
    core.handle(Event::PeerMessage { from, message }, ms(at))
}

#[test]
fn a_job_refused_by_its_cell_is_submitted_to_one_other_cell() {
    let mut core = gateway_with_cells();
    let actions = submit(&mut core, 1, incoming("r", vec![1, 1]), ms(10));
    let (owner, first) = submitted(&actions)[0].clone();
    let actions = refuse(&mut core, owner, &first, 12);
    assert!(refusal(&actions).is_none());
    let (other, second) = submitted(&actions)[0].clone();
    assert_ne!((owner, first.cell), (other, second.cell.clone()));
    assert!(!second.resubmitted, "no stage was started");
    let actions = refuse(&mut core, other, &second, 14);
    assert!(submitted(&actions).is_empty());
    assert!(refusal(&actions).is_some_and(|r| r.not_run), "two cells refused");
}

#[test]
fn when_all_cells_have_just_refused_the_caller_is_refused_at_once() {
    let mut core = gateway_with_cells();
    for caller in 1..=40 {
        let actions = submit(&mut core, caller, incoming("r", vec![1, 1]), ms(10));
        let (owner, job) = submitted(&actions)[0].clone();
        let actions = refuse(&mut core, owner, &job, 10);
        let Some((other, job)) = submitted(&actions).first().cloned() else {
            assert!(refusal(&actions).is_some());
            continue;
        };
        refuse(&mut core, other, &job, 10);
    }
    let actions = submit(&mut core, 41, incoming("r", vec![1, 1]), ms(11));
    let (owner, job) = submitted(&actions)[0].clone();
    let actions = refuse(&mut core, owner, &job, 12);
    assert!(submitted(&actions).is_empty());
    assert!(refusal(&actions).is_some());
}
