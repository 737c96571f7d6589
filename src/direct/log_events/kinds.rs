//! Constructors of log events, and the event names that metrics use as labels.

use std::collections::BTreeSet;

use crate::direct::log_events::{EndpointEntry, LogEvent, StoreReadOutcome, ms};
use crate::direct::peers::build::Build;
use crate::direct::published::documents::EntryState;
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::software::version_of;
use crate::direct::published::store_read::StoreRead;

impl LogEvent {
    /// First event of a process: its incarnation and build.
    pub fn started(incarnation: u64) -> Self {
        let Build { version, commit, form } = Build::own();
        Self::Started { incarnation, version, commit, form }
    }

    /// Event for fields of a document that this build ignores.
    pub fn unknown_fields(document: &'static str, fields: BTreeSet<String>) -> Self {
        Self::UnknownFields { document, fields: fields.into_iter().collect() }
    }

    /// Event for an endpoint whose entry, if there is one, is `entry`.
    pub fn endpoint(
        endpoint: &Name,
        state: EntryState,
        entry: Option<&Endpoint>,
        source: &str,
    ) -> Self {
        Self::Endpoint(EndpointEntry {
            endpoint: endpoint.clone(),
            state: state.as_str(),
            source: source.to_owned(),
            software_version: entry.and_then(version_of).map(ToOwned::to_owned),
        })
    }

    /// Event for a read of the publisher's store.
    pub fn store_read(read: &StoreRead) -> Self {
        Self::StoreRead(StoreReadOutcome {
            subject: read.subject,
            watch: read.watch,
            outcome: read.outcome,
            query: read.query.clone(),
            fault: read.fault.map(|fault| fault.to_string()),
            bytes: read.bytes,
            expected: read.expected,
            again: read.reconnected,
            waited_ms: ms(read.wait_time),
            took_ms: ms(read.transfer_time),
            decode_ms: ms(read.decode_time),
        })
    }

    /// Name of the event in metrics; the same as in the log.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Arrived { .. } => "arrived",
            Self::Waited { .. } => "waited",
            Self::StagesSubmitted { .. } => "stages_submitted",
            Self::StagesDecided { .. } => "stages_decided",
            Self::ReportReceived { .. } => "reported",
            Self::BatchSent { .. } => "batch_sent",
            Self::BatchEnded { .. } => "batch_ended",
            Self::Sent { .. } => "sent",
            Self::Suspended { .. } => "stood_still",
            Self::AttemptFailed { .. } => "attempt_failed",
            Self::ResultsGone { .. } => "results_gone",
            Self::Ended { .. } => "ended",
            Self::StagesGivenUp { .. } => "stages_given_up",
            Self::Configured { .. } => "configured",
            Self::StoreRead(_) => "store_read",
            Self::StoreReading(_) => "store_reading",
            Self::MemberSuspected(_) => "member_suspected",
            Self::ListMerged(_) => "list_merged",
            Self::ListDiffers { .. } => "list_differs",
            Self::StoreEra(_) => "store_era",
            Self::StoreReturned(_) => "store_returned",
            Self::PublishedVersion(_) => "published_version",
            Self::StoreWentBack { .. } => "store_went_back",
            Self::Pull { .. } => "pull",
            Self::Pulled { .. } => "pulled",
            Self::CoreLate { .. } => "core_late",
            Self::Endpoint(_) => "endpoint",
            Self::EndpointStatus { .. } => "stated",
            Self::Limit { .. } => "limit",
            Self::Permit { .. } => "permit",
            Self::Cold { .. } => "cold",
            Self::Restarted { .. } => "restarted",
            Self::Evacuation { .. } => "evacuation",
            Self::Unreadable { .. } => "unreadable",
            Self::UnknownFields { .. } => "passed_over",
            Self::Suspicion { .. } => "suspicion",
            Self::Peer { .. } => "peer",
            Self::Publisher { .. } => "publisher",
            Self::Ready { .. } => "ready",
            Self::Started { .. } => "started",
            Self::PeerBuild { .. } => "peer_build",
            Self::PeerUnread { .. } => "peer_unread",
            Self::Stopping { .. } => "stopping",
            Self::StopDecided { .. } => "stop_decided",
            Self::NoReport { .. } => "no_report",
            Self::Overloaded { .. } => "short_of_time",
            Self::Stopped { .. } => "stopped",
            Self::MalformedResponse(_) => "malformed_response",
            Self::Reloaded(_) => "reloaded",
            Self::Load(event) => event.kind(),
            Self::Poison(event) => event.kind(),
            Self::Stream(event) => event.kind(),
        }
    }
}
