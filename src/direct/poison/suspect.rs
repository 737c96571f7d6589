//! One subject under which endpoints crashed: the crashes, and when they make it poison.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::poison::SubjectKind;
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Number of endpoints that must crash under a subject before it is quarantined. An endpoint may
/// crash for many reasons and aborts everything that runs there: in 2,000 random schedules of
/// fleets that lose one of 24 endpoints each second, one innocent request in 15,000 was running at
/// three crashes.
const POISON_CRASHES: usize = 3;
/// Minimum number of rounds in which these crashes must occur: the same subject may run at many
/// endpoints that crash at once, as when a rack fails. A round ends when its crash is known, so
/// what is sent with that knowledge belongs to the next round.
const POISON_ROUNDS: u8 = 2;
/// How long a part of a prompt must have been suspect before it is quarantined. Within that time
/// some run with a harmless part begins to write, survives, and is known to all gateways.
const PART_OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Maximum number of crashes that are kept per subject; more would not change any decision.
const MAX_CRASHES: usize = 6;

/// Crash of an endpoint while a subject was running there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the endpoint.
    pub endpoint: Name,
    /// Incarnation that crashed.
    pub incarnation: u64,
    /// One more than the number of crash rounds known when the request was sent there.
    pub round: u8,
    /// Whether the request was isolated: alone in its call.
    pub alone: bool,
}

impl Crash {
    /// Incarnation that crashed, with the endpoint's id.
    pub(super) fn endpoint_incarnation(&self) -> (&Name, u64) {
        (&self.endpoint, self.incarnation)
    }
}

/// What is known of one subject.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    pub(super) kind: SubjectKind,
    /// Number of parts before a part of a prompt; 0 for a content.
    pub(super) depth: u8,
    /// How often it was cleared.
    pub(super) cleared: u32,
    /// Crashes since it was last cleared.
    pub(super) crashes: Vec<Crash>,
    /// When a gateway first learned of one of these crashes.
    pub(super) suspected_at: Timestamp,
    pub(super) last_received: Timestamp,
    /// Number of heartbeats that still have to carry this entry.
    pub(super) heartbeats_left: u8,
}

impl Suspect {
    pub(super) fn rounds(&self) -> u8 {
        self.crashes.iter().map(|crash| crash.round).max().unwrap_or(0)
    }

    /// Whether enough endpoints crashed under it, without regard to what else ran there.
    pub(super) fn may_be_poison(&self, now: Timestamp) -> bool {
        let was_alone = self.crashes.iter().any(|crash| crash.alone);
        let was_observed =
            self.kind == SubjectKind::Content || now >= self.suspected_at + PART_OBSERVATION_TIME;
        was_observed
            && self.crashes.len() >= POISON_CRASHES
            && self.rounds() >= POISON_ROUNDS
            && was_alone
    }

    /// The known crash of the same incarnation of an endpoint.
    pub(super) fn find(&self, crash: &Crash) -> Option<&Crash> {
        self.crashes.iter().find(|own| own.endpoint_incarnation() == crash.endpoint_incarnation())
    }

    /// Whether the other subject was running at every crash of this one.
    fn is_covered_by(&self, other: &Self) -> bool {
        self.crashes.iter().all(|crash| other.find(crash).is_some())
    }

    /// Whether the other subject may be the cause of all crashes of this one. A part of a prompt is
    /// running wherever a content with it is, so it explains no content. Of two parts that were
    /// always running together, the later one explains the earlier one: more prompts share that.
    pub(super) fn is_explained_by(&self, other: &Self) -> bool {
        let may_explain = match (self.kind, other.kind) {
            (_, SubjectKind::Content) => true,
            (SubjectKind::Content, SubjectKind::PromptPart) => false,
            (SubjectKind::PromptPart, SubjectKind::PromptPart) => {
                self.depth < other.depth || !other.is_covered_by(self)
            }
        };
        may_explain && self.is_covered_by(other)
    }

    /// Merges crashes, the first of which a gateway has known since `suspected_at`; returns whether
    /// anything changed.
    pub(super) fn merge_crashes(&mut self, crashes: &[Crash], suspected_at: Timestamp) -> bool {
        let before = self.crashes.clone();
        for crash in crashes {
            match self
                .crashes
                .iter_mut()
                .find(|known| known.endpoint_incarnation() == crash.endpoint_incarnation())
            {
                Some(known) => {
                    known.round = known.round.max(crash.round);
                    known.alone |= crash.alone;
                }
                None => self.crashes.push(crash.clone()),
            }
        }
        self.suspected_at =
            if before.is_empty() { suspected_at } else { self.suspected_at.min(suspected_at) };
        // Sorted, so that all gateways keep the same crashes whatever the merge order.
        let order = |l: &Crash| (Reverse((l.alone, l.round)), l.endpoint.clone(), l.incarnation);
        self.crashes.sort_by_key(order);
        self.crashes.truncate(MAX_CRASHES);
        self.crashes != before
    }

    /// Discards the crashes: something else caused them.
    pub(super) fn clear(&mut self) {
        self.cleared += 1;
        self.crashes.clear();
    }

    /// Sort key when the maximum is exceeded: number of crashes, then the latest time of receipt.
    pub(super) fn retention_rank(&self) -> (usize, Timestamp) {
        (self.crashes.len(), self.last_received)
    }
}
