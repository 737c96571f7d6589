//! The table that the command `group` prints: traffic and delays in groups of several sizes.

use std::fmt::Write;
use std::time::Duration;

use crate::group::{Counts, Group, Shape};

/// Time from the start of the processes to the first measurement.
const START_TIME: Duration = Duration::from_secs(6);
/// Duration of a measurement without changes.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// Time in which a change or a failure must reach all gateways.
const SPREAD_TIME: Duration = Duration::from_secs(6);
/// Changes of entries in the measurement of such changes, and the time between two of them.
const CHANGES: u32 = 20;
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the table for groups of these sizes.
pub fn table(sizes: &[usize], seed: u64) -> String {
    let mut text = String::new();
    for &gateways in sizes {
        append(&mut text, gateways, seed);
    }
    text
}

fn append(text: &mut String, gateways: usize, seed: u64) {
    let mut group = Group::new(&Shape::new(gateways, seed));
    group.run_for(START_TIME);
    let start = group.take_counts();
    let ready = group.ready();
    writeln!(text, "{gateways} gateways").ok();
    writeln!(text, "  start: {ready} ready, {}", per_gateway(&start, gateways, START_TIME)).ok();

    group.run_for(QUIET_TIME);
    let quiet = group.take_counts();
    writeln!(text, "  quiet: {}", per_gateway(&quiet, gateways, QUIET_TIME)).ok();
    for (kind, traffic) in &quiet.by_kind {
        let rate = traffic.bytes as f64 / gateways as f64 / QUIET_TIME.as_secs_f64();
        writeln!(text, "    {kind}: {rate:.0} B/s").ok();
    }
    let connections = group.connections(gateways / 2);
    writeln!(text, "    connections of a gateway: {connections}").ok();

    let begun = group.now();
    let version = group.publish_configuration();
    group.run_for(SPREAD_TIME);
    let changed = group.take_counts();
    let reached = group.configured_at(version).map(|at| at - begun);
    writeln!(
        text,
        "  configuration in force everywhere after {reached:?}: {} calls",
        changed.calls
    )
    .ok();

    for _ in 0..CHANGES {
        group.publish_endpoint();
        group.run_for(CHANGE_INTERVAL);
    }
    let entries = group.take_counts();
    let time = CHANGE_INTERVAL * CHANGES;
    writeln!(text, "  {CHANGES} entries: {}", per_gateway(&entries, gateways, time)).ok();

    for (name, is_cut) in [("killed", false), ("cut off", true)] {
        let failed = gateways - 1 - usize::from(is_cut);
        let begun = group.now();
        if is_cut {
            group.cut(failed);
        } else {
            group.kill(failed);
        }
        group.run_for(SPREAD_TIME);
        let reached = group.down_at(failed).map(|at| at.saturating_sub(begun));
        writeln!(text, "  {name}: known everywhere after {reached:?}").ok();
    }
    let failed = group.take_counts();
    writeln!(text, "  wrongly considered down: {}", failed.false_failures + quiet.false_failures)
        .ok();
}

fn per_gateway(counts: &Counts, gateways: usize, time: Duration) -> String {
    let per_second = |count: u64| count as f64 / gateways as f64 / time.as_secs_f64();
    let [near, far, farthest] = counts.by_distance.map(per_second);
    format!(
        "{:.0} B/s sent by a gateway ({near:.0} within, {far:.0} between data centres, \
         {farthest:.0} between regions), {:.0} events/s, {} calls to the store, {} wrong failures",
        per_second(counts.bytes()),
        per_second(counts.events),
        counts.calls,
        counts.false_failures,
    )
}
