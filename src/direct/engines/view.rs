//! The newest known load report of each engine, from own calls and from heartbeats of peers.
//!
//! Clocks of gateways differ, so heartbeats carry the age of a report instead of a time. The number
//! of reports that a gateway sends in a round of heartbeats is bounded, however many gateways and
//! engines there are.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::direct::engines::load::{Load, MAX_REPORTS_PER_HEARTBEAT, SharedLoad};
use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// Maximum age of a report that is used and shared. Within this time a full queue of prompts is
/// read, so an older report says nothing about the queue.
pub const REPORT_TTL: Duration = Duration::from_secs(1);
/// Time by which a report must be newer than the known one to replace it. The transit time of
/// heartbeats is not part of the age, so a report that returns to its sender appears newer.
const MIN_NEWER: Duration = Duration::from_millis(20);
/// Number of heartbeat rounds in which a report of an own call is sent.
const OWN_ROUNDS: u8 = 2;
/// Number of heartbeat rounds in which a report of a peer is sent on.
const PEER_ROUNDS: u8 = 1;
/// Number of reports in one round of heartbeats, summed over its receivers. At five rounds a second
/// and 30 bytes a report, they take less than 5 KB/s of a gateway's control traffic of 7 KB/s.
const MAX_REPORTS_PER_ROUND: usize = 32;
/// Minimum time between two rounds with reports. Heartbeats that announce changes of members are
/// sent more often than regular ones.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Number of calls to one engine whose times are kept.
const MAX_SENDS: usize = 256;
/// Weight of a new report in the moving average of the stated work time, which changes many times a
/// second.
const WORK_TIME_WEIGHT: f64 = 0.2;

/// Newest report of one engine.
#[derive(Debug, Clone)]
struct Report {
    incarnation: u64,
    load: Load,
    stated_at: Timestamp,
    /// Whether a response to this gateway stated the load.
    is_own: bool,
    /// Number of rounds in which the report is still to be sent.
    rounds_left: u8,
    /// Moving average of the stated work time relative to the usual one.
    work_time: f64,
}

impl Report {
    fn age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.stated_at)
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.age(now) < REPORT_TTL
    }
}

/// A fresh report of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownLoad {
    /// The stated load.
    pub load: Load,
    /// When the load was stated.
    pub stated_at: Timestamp,
    /// Number of calls of this gateway since then.
    pub sent_since: usize,
    /// Average work time relative to the usual one; 1 if the engine does not state it.
    pub work_time: f64,
}

/// Reports of all engines that one gateway knows.
#[derive(Debug, Default)]
pub struct LoadView {
    reports: HashMap<Name, Report>,
    /// Times of this gateway's recent calls to each engine.
    sends: HashMap<Name, VecDeque<Timestamp>>,
    last_round: Option<Timestamp>,
}

impl LoadView {
    /// Records a call to an engine.
    pub fn sent(&mut self, endpoint: &Endpoint, now: Timestamp) {
        let sends = self.sends.entry(endpoint.id.clone()).or_default();
        if sends.len() >= MAX_SENDS {
            sends.pop_front();
        }
        sends.push_back(now);
        while sends.front().is_some_and(|at| now >= *at + REPORT_TTL) {
            sends.pop_front();
        }
    }

    /// Number of this gateway's calls to an engine after a time, within the last [`REPORT_TTL`].
    pub fn sent_since(&self, endpoint: &str, since: Timestamp) -> usize {
        let sends = self.sends.get(endpoint);
        sends.map_or(0, |sends| sends.iter().rev().take_while(|at| **at > since).count())
    }

    /// Records the load that a response of an engine stated.
    pub fn record_own(&mut self, endpoint: &Endpoint, load: Load, now: Timestamp) {
        let shared = SharedLoad {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            load,
            age: Duration::ZERO,
        };
        self.record(shared, true, now);
    }

    /// Records a report of a peer about the current incarnation of an engine, if it is newer than
    /// the known one.
    pub fn record_shared(&mut self, shared: SharedLoad, now: Timestamp) {
        let stated_at = now.saturating_sub(shared.age);
        let known = self.reports.get(&shared.endpoint);
        let known = known.filter(|known| known.incarnation == shared.incarnation);
        let is_newer = known.is_none_or(|known| stated_at > known.stated_at + MIN_NEWER);
        if shared.age < REPORT_TTL && is_newer {
            self.record(shared, false, now);
        }
    }

    fn record(&mut self, shared: SharedLoad, is_own: bool, now: Timestamp) {
        let SharedLoad { endpoint, incarnation, load, age } = shared;
        let stated = load.work_time_percent.map_or(1.0, |percent| f64::from(percent) / 100.0);
        let known = self.reports.get(&endpoint).filter(|known| known.incarnation == incarnation);
        let before = known.map_or(stated, |known| known.work_time);
        let report = Report {
            incarnation,
            load,
            stated_at: now.saturating_sub(age),
            is_own,
            rounds_left: if is_own { OWN_ROUNDS } else { PEER_ROUNDS },
            work_time: before + (stated - before) * WORK_TIME_WEIGHT,
        };
        self.reports.insert(endpoint, report);
    }

    /// The report of an engine's current incarnation, if it is fresh.
    pub fn get(&self, endpoint: &Endpoint, now: Timestamp) -> Option<KnownLoad> {
        let report = self.reports.get(&endpoint.id)?;
        let is_current = report.incarnation == endpoint.incarnation;
        (is_current && report.is_fresh(now)).then_some(KnownLoad {
            load: report.load,
            stated_at: report.stated_at,
            sent_since: self.sent_since(&endpoint.id, report.stated_at),
            work_time: report.work_time,
        })
    }

    /// Whether the current incarnation of an engine has stated its load, however long ago.
    pub fn has_stated(&self, endpoint: &Endpoint) -> bool {
        let report = self.reports.get(&endpoint.id);
        report.is_some_and(|report| report.incarnation == endpoint.incarnation)
    }

    /// The reports to send with the next heartbeat to this number of receivers: own new ones first,
    /// then the newest others.
    pub fn take_reports(&mut self, receivers: usize, now: Timestamp) -> Vec<SharedLoad> {
        let is_soon = self.last_round.is_some_and(|last| now < last + MIN_ROUND_INTERVAL);
        let share = MAX_REPORTS_PER_ROUND.checked_div(receivers).unwrap_or_default();
        if is_soon || share == 0 {
            return Vec::new();
        }
        self.last_round = Some(now);
        let unsent = self.reports.iter_mut().filter(|(_, r)| r.rounds_left > 0 && r.is_fresh(now));
        let mut unsent: Vec<(&Name, &mut Report)> = unsent.collect();
        unsent.sort_unstable_by_key(|(id, r)| {
            let is_new_own = r.is_own && r.rounds_left == OWN_ROUNDS;
            (!is_new_own, Reverse(r.stated_at), (*id).clone())
        });
        let chosen = unsent.into_iter().take(share.min(MAX_REPORTS_PER_HEARTBEAT));
        let sent = chosen.map(|(id, report)| {
            report.rounds_left -= 1;
            SharedLoad {
                endpoint: id.clone(),
                incarnation: report.incarnation,
                load: report.load,
                age: report.age(now),
            }
        });
        sent.collect()
    }

    /// Mean age of the fresh reports; `None` if there are none.
    pub fn mean_age(&self, now: Timestamp) -> Option<Duration> {
        let fresh = self.reports.values().filter(|r| r.is_fresh(now));
        let (count, sum) =
            fresh.fold((0, Duration::ZERO), |(count, sum), r| (count + 1, sum + r.age(now)));
        sum.checked_div(count)
    }

    /// Removes engines that are not listed any more.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.reports.retain(|id, _| listed(id));
        self.sends.retain(|id, _| listed(id));
    }
}
