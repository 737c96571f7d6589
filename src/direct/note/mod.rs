//! The lines that on-call reads: one for each decision and each change of what a gateway believes.

mod kinds;
mod store;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

pub use crate::direct::note::store::{PublishedVersion, StoreEra, StoreReturned};
use crate::direct::published::model::Name;

/// One line.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Note {
    /// A request was taken in.
    Arrived {
        /// The caller's id.
        request: Name,
        /// Its route.
        route: Name,
        /// Who asks.
        organisation: Option<Name>,
        /// What it holds and who asks: the same for a request that comes again under another id.
        fingerprint: String,
        /// The configuration's version.
        version: u64,
        /// Milliseconds that remain.
        left_ms: u64,
    },
    /// It waited for the first configuration, or for peers and endpoints to be heard.
    Waited {
        /// The caller's id.
        request: Name,
        /// For so many milliseconds.
        waited_ms: u64,
        /// Whether there is a configuration now.
        known: bool,
    },
    /// Its stages were handed to an owner.
    StagesSubmitted {
        /// The caller's id.
        request: Name,
        /// The owner.
        owner: SocketAddr,
        /// The cell that makes them.
        cell: Name,
        /// Whether another had begun them.
        resubmitted: bool,
    },
    /// The owner admitted or refused a request's stages.
    StagesDecided {
        /// The caller's id.
        request: Name,
        /// Whether they are begun.
        admitted: bool,
        /// The part of the decision that was narrowest.
        pool: Name,
        /// Predicted milliseconds to the answer's start.
        predicted_ms: u64,
        /// Milliseconds to the objective.
        objective_ms: u64,
        /// Share of the narrowest pool's room that is taken when this request needs it, with it.
        room_share: f64,
    },
    /// An endpoint that works in batches told how it stands.
    Reported {
        /// The endpoint.
        endpoint: Name,
        /// Bytes of its room that are free.
        free_bytes: u64,
        /// Bytes that others than this owner are taken to use.
        of_others: u64,
        /// Calls that wait there.
        waiting: u32,
    },
    /// A call with pieces was sent.
    BatchSent {
        /// The call.
        call: u64,
        /// The endpoint.
        endpoint: Name,
        /// Its pieces: request, stage, piece.
        pieces: Vec<(Name, usize, usize)>,
        /// Pieces of the pool that wait besides.
        waiting: usize,
    },
    /// A call with pieces ended.
    BatchEnded {
        /// The call.
        call: u64,
        /// The endpoint.
        endpoint: Name,
        /// How.
        outcome: String,
        /// Milliseconds that it took.
        took_ms: u64,
    },
    /// A request was handed to an endpoint.
    Sent {
        /// The caller's id.
        request: Name,
        /// The attempt's number.
        attempt: u64,
        /// The selector of the pool.
        selector: String,
        /// The endpoint.
        endpoint: Name,
        /// Why this one.
        because: String,
        /// Candidates of the pool.
        candidates: usize,
        /// Milliseconds that remain.
        left_ms: u64,
    },
    /// An endpoint crashed while this ran there.
    EndpointCrashed {
        /// The endpoint.
        endpoint: Name,
        /// Its life.
        incarnation: u64,
        /// What proved it.
        proof: &'static str,
        /// What ran there: fingerprints, each with the rounds of crashes that it has had.
        suspects: Vec<(String, u8)>,
    },
    /// What endpoints crashed under is refused from now on.
    Quarantined {
        /// What it holds and who asks, or one of its stages.
        fingerprint: String,
        /// Endpoints that crashed under it.
        endpoints: Vec<Name>,
        /// `own`, or the gateway that told of the last of them.
        source: String,
    },
    /// The process stood still, frozen, suspended or without a processor, and goes on.
    StoodStill {
        /// For so many milliseconds.
        for_ms: u64,
    },
    /// What an endpoint had crashed under ran well.
    Cleared {
        /// What it holds and who asks, or one of its stages.
        fingerprint: String,
    },
    /// An attempt ended without an answer that is passed on.
    AttemptFailed {
        /// The caller's id.
        request: Name,
        /// The endpoint.
        endpoint: Name,
        /// How.
        failure: String,
        /// What follows.
        next: &'static str,
    },
    /// An endpoint found the results gone that a request needs.
    ResultsGone {
        /// The caller's id.
        request: Name,
        /// The endpoint.
        endpoint: Name,
        /// Milliseconds since its call was ordered.
        ordered_ms: u64,
        /// Milliseconds since its call went out, where it did.
        sent_ms: Option<u64>,
        /// Whether this gateway had let them be freed; otherwise their maker lost them.
        freed: bool,
    },
    /// A request is over.
    Ended {
        /// The caller's id.
        request: Name,
        /// How.
        outcome: String,
        /// The endpoint of the last attempt.
        endpoint: Option<Name>,
        /// Milliseconds since it came.
        took_ms: u64,
        /// When to come back, where it was refused.
        retry_after_ms: Option<u64>,
    },
    /// The stages of a request were given up.
    StagesGivenUp {
        /// The caller's id.
        request: Name,
        /// Why.
        reason: String,
    },
    /// A configuration is in force.
    Configured {
        /// Its version.
        version: u64,
        /// The version before.
        before: u64,
        /// Where it came from.
        source: String,
        /// Milliseconds since a peer first told of a newer version; 0 where none had.
        known_ms: u64,
        /// The peer that told.
        known_from: Option<SocketAddr>,
    },
    /// A long answer of the publisher's store, or one that failed.
    StoreRead {
        /// What was read.
        subject: &'static str,
        /// Whether it was a watch.
        watch: bool,
        /// `whole`, or how it failed.
        outcome: &'static str,
        /// Bytes that came.
        bytes: usize,
        /// Bytes that were stated.
        expected: Option<u64>,
        /// Whether a new connection answered, while the one before it said nothing.
        again: bool,
        /// Milliseconds from the call to the answer's head, or to the failure.
        waited_ms: u64,
        /// Milliseconds from the answer's head to its end.
        took_ms: u64,
        /// Milliseconds of decoding.
        decode_ms: u64,
    },
    /// The publisher's store gave the whole list at a lower revision than was seen before.
    StoreWentBack {
        /// The revision of the list.
        revision: u64,
        /// The highest revision that was seen of endpoints.
        seen: u64,
    },
    /// A newer era of the store began: it came back from an older copy.
    StoreEra(StoreEra),
    /// The first whole list of a new era arrived.
    StoreReturned(StoreReturned),
    /// The configuration in the store is older than the one in force, or not any more.
    PublishedVersion(PublishedVersion),
    /// Documents are asked of a peer, came from it, or are waited for no longer.
    Pull {
        /// The peer.
        peer: SocketAddr,
        /// What became of it.
        outcome: &'static str,
        /// The configuration's version that the process has.
        version: u64,
        /// The era of the store that its list of endpoints is of.
        era: u64,
        /// The revision of endpoints that the process has.
        endpoints: u64,
    },
    /// A peer asked for documents.
    Pulled {
        /// The peer.
        peer: SocketAddr,
        /// Whether the configuration is among them.
        deployment: bool,
        /// How many entries of endpoints are.
        endpoints: usize,
    },
    /// The core is late: an event waited long for it, or took it long.
    CoreLate {
        /// Milliseconds that the event waited.
        waited_ms: u64,
        /// Milliseconds that handling it took.
        took_ms: u64,
    },
    /// An endpoint's entry changed.
    Endpoint {
        /// The endpoint.
        endpoint: Name,
        /// What it is since.
        state: &'static str,
        /// Where that came from.
        source: String,
    },
    /// An endpoint said something of itself in an answer.
    Stated {
        /// The endpoint.
        endpoint: Name,
        /// The life that was called.
        incarnation: u64,
        /// What it was asked.
        asked: &'static str,
        /// Whether it leaves.
        leaving: bool,
        /// Milliseconds that it wants nothing from this gateway, where it turned something away and said so.
        backoff_ms: Option<u64>,
        /// Whether that time could not be read.
        unclear: bool,
        /// Milliseconds since its answer was read.
        age_ms: u64,
        /// Milliseconds until this gateway sends it something again, where that is later than it was.
        paused_ms: Option<u64>,
        /// Milliseconds that it is cold, where it told.
        cold_ms: Option<u64>,
        /// Requests a second that it takes from all gateways together, where it named a limit.
        limit: Option<f64>,
    },
    /// What is known of an endpoint's limit changed.
    Limit {
        /// The endpoint.
        endpoint: Name,
        /// Its life.
        incarnation: u64,
        /// Requests a second that it takes from all gateways together; `None` if it names no limit any more.
        limit: Option<f64>,
        /// Counts the changes of that life.
        version: u64,
        /// Who told: an answer, or another gateway.
        source: String,
    },
    /// A permit for a message to an endpoint with a limit was given or refused.
    Permit {
        /// The endpoint.
        endpoint: Name,
        /// For what.
        asked: &'static str,
        /// The caller's id, for a request.
        request: Option<Name>,
        /// The gateway that was asked.
        limiter: SocketAddr,
        /// Whether it was given.
        given: bool,
        /// Why.
        cause: &'static str,
        /// Milliseconds from the question to the decision.
        waited_ms: u64,
        /// Milliseconds until it would be its turn, where it was refused.
        turn_ms: Option<u64>,
    },
    /// An endpoint told that it is cold: it gets a part of what it bears.
    Cold {
        /// The endpoint.
        endpoint: Name,
        /// Milliseconds until it is warm.
        cold_ms: u64,
    },
    /// An endpoint started again under its id: nothing of its life before holds.
    Restarted {
        /// The endpoint.
        endpoint: Name,
        /// Its life, by the time of its start.
        incarnation: u64,
    },
    /// A data centre is to get no new work, or gets some again.
    Evacuation {
        /// The data centre.
        data_centre: Name,
        /// Whether the order stands.
        stands: bool,
        /// Endpoints there.
        endpoints: usize,
        /// Where that came from.
        source: String,
    },
    /// A published document can't be used, and names nothing; told once for each key and cause.
    Unreadable {
        /// The document's key.
        key: String,
        /// Why.
        cause: String,
    },
    /// Fields of what the platform hands over are not known to this build; told once.
    PassedOver {
        /// Of what.
        document: &'static str,
        /// Their names.
        fields: Vec<String>,
    },
    /// What is thought of an endpoint changed by own observation.
    Suspicion {
        /// The endpoint.
        endpoint: Name,
        /// Whether it is avoided.
        avoided: bool,
        /// By what.
        cause: &'static str,
    },
    /// A peer is there, or is taken for dead.
    Peer {
        /// Who.
        address: SocketAddr,
        /// Its life.
        incarnation: u64,
        /// Whether it is there.
        alive: bool,
        /// By what.
        cause: &'static str,
    },
    /// The publisher's store answers, or stopped to.
    Publisher {
        /// Whether it answers.
        answers: bool,
    },
    /// The process calls itself ready, or no longer.
    Ready {
        /// Whether.
        ready: bool,
    },
    /// The process started.
    Started {
        /// Its life.
        incarnation: u64,
        /// The program's version.
        version: String,
        /// The commit that it was built from, where that is known.
        commit: Option<String>,
        /// The compact form of messages that it writes.
        form: u32,
    },
    /// A peer that runs another build is there, or is not any more.
    PeerBuild {
        /// Who.
        address: SocketAddr,
        /// Its life.
        incarnation: u64,
        /// Its version, empty where it does not tell.
        version: String,
        /// Its commit, where that is known.
        commit: Option<String>,
        /// The compact form of messages that it reads.
        form: u32,
        /// `first` or `last`.
        heard: &'static str,
    },
    /// A peer says what this build does not read; told once for each peer and form.
    PeerUnread {
        /// Who.
        address: SocketAddr,
        /// The form.
        form: u32,
        /// Why.
        cause: &'static str,
    },
    /// The process was told to stop.
    Stopping {
        /// Milliseconds from the signal to the kill.
        grace_ms: u64,
        /// Whether another gateway was known to serve.
        others_serve: bool,
    },
    /// A stopping process took a request, or did not because it stops.
    StopDecided {
        /// The caller's id.
        request: Name,
        /// Where it stood: at the door, in its stages, or on its way to an endpoint.
        at: &'static str,
        /// Whether it goes on.
        taken: bool,
        /// Milliseconds since the signal.
        stopping_ms: u64,
        /// Milliseconds until the process ends by itself.
        left_ms: u64,
        /// Milliseconds until its answer would be whole, by its deadline or by experience; none where
        /// it was not looked at.
        expected_ms: Option<u64>,
        /// Whether another gateway was known to serve.
        others_serve: bool,
    },
    /// An endpoint that was asked how it stands did not answer in time, or not readably: its owner plans as if
    /// nobody else used it.
    NoReport {
        /// Which.
        endpoint: Name,
    },
    /// Events wait for the core for long, or not any more.
    ShortOfTime {
        /// Whether they do.
        is_short: bool,
        /// How long, in milliseconds.
        late_ms: u64,
    },
    /// The process ends.
    Stopped {
        /// Milliseconds since the signal.
        stopping_ms: u64,
        /// Requests without the head of an answer.
        unanswered: usize,
        /// Streams that were open.
        streams: usize,
        /// Jobs that were not over.
        jobs: usize,
    },
    /// The settings were read again.
    Reloaded {
        /// What became of it.
        outcome: String,
    },
}

/// Whole milliseconds, as far as there are numbers for them.
pub fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
