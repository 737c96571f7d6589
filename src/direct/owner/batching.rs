//! Fills batch calls to free endpoints with waiting pieces, most urgent first.
//!
//! The cost of a call depends on the size of a few calls and on the number of data centres, not on
//! the number of waiting pieces or of endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::{Action, PieceParams};
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::owner::calls::{Call, PieceId};
use crate::direct::owner::endpoints::Endpoints;
use crate::direct::owner::jobs::{JobRun, Piece};
use crate::direct::owner::ledger::PoolLedger;
use crate::direct::owner::placement::{AwayReason, NearStarts};
use crate::direct::owner::queue::{Candidate, Queue, Rank, Search};
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::owner::timers::Timer;
use crate::direct::published::model::{BatchSpec, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::invariant;
use crate::invariant::Violation;
use crate::message::Timestamp;
use crate::policy::path::{GUARANTEED_SHARE, INPUT_FETCH_TIME};

/// A call is abandoned after its expected duration multiplied by this factor, plus
/// [`OVERDUE_MARGIN`].
const OVERDUE_FACTOR: f64 = 2.0;
/// See [`OVERDUE_FACTOR`].
const OVERDUE_MARGIN: Duration = Duration::from_millis(250);
/// Number of full calls for which the most urgent pieces of each data centre are examined: pieces
/// that don't fit into the remaining memory of a call are skipped in favour of later ones.
const CALLS_EXAMINED: usize = 2;

/// Pieces of one stage that are put into a call.
#[derive(Debug)]
struct Selected {
    rank: Rank,
    pieces: usize,
    /// Why the pieces run outside their preferred data centre; `None` if they don't.
    away: Option<AwayReason>,
    /// Whether the pieces lead the call because they are overdue.
    is_overdue: bool,
}

impl Scheduler {
    /// Fills calls to a pool's free endpoints with the most urgent pieces.
    pub(super) fn fill_calls(&mut self, pool: &Name, table: &Table, now: Timestamp) {
        let Some(spec) = table.batch_spec(pool) else {
            return;
        };
        loop {
            self.update_ledger(table, now);
            let Some(ledger) = self.ledger.get(pool) else {
                return;
            };
            let is_isolated = |rank: Rank| self.is_isolated(rank.job, rank.stage);
            let next = choose_call(ledger, spec, is_isolated, now);
            let Some((endpoint, taken, examined)) = next else {
                return;
            };
            self.examined += examined as u64;
            self.record_share(pool, &taken);
            let batch = taken.iter().flat_map(|taken| self.pieces(taken)).collect();
            self.send_call(pool, spec, endpoint, batch, count_away(&taken), now);
        }
    }

    /// Records how many pieces of a call are overdue.
    fn record_share(&mut self, pool: &Name, taken: &[Selected]) {
        let pieces = |is_overdue| {
            let selected = taken.iter().filter(|selected| selected.is_overdue == is_overdue);
            selected.map(|selected| selected.pieces).sum()
        };
        self.ledger.pool(pool).queue.record_sent(pieces(true), pieces(false));
    }

    /// Ids of the selected pieces.
    fn pieces(&self, taken: &Selected) -> Vec<PieceId> {
        let Rank { job, stage, .. } = taken.rank;
        let Some(run) = self.jobs.get(&job) else {
            return Vec::new();
        };
        let pieces = run.stages[stage].pieces.iter().enumerate();
        let waiting = pieces.filter(|(_, p)| matches!(p, Piece::Waiting { .. }));
        let taken = waiting.take(taken.pieces);
        taken.map(|(piece, _)| (job, stage, piece)).collect()
    }

    /// Sends pieces to an endpoint in one call, and records the call.
    fn send_call(
        &mut self,
        pool: &Name,
        spec: &BatchSpec,
        endpoint: Arc<Endpoint>,
        batch: Vec<PieceId>,
        away: BTreeMap<&'static str, usize>,
        now: Timestamp,
    ) {
        self.next_call += 1;
        let call = self.next_call;
        let mut pieces = Vec::with_capacity(batch.len());
        let mut call_params = Vec::with_capacity(batch.len());
        let mut waited = Vec::new();
        let mut first_attempts = 0;
        let mut total = 0;
        for (id, stage, piece) in batch {
            let Some(run) = self.job_mut(id) else {
                continue;
            };
            let bytes = run.job.stages[stage].result_bytes;
            let params = piece_params(run, stage, piece, now);
            let violation =
                Violation::MissingInputs { request: run.job.request.to_string(), stage };
            if !invariant!(params.inputs.len() == run.inputs_of(stage), violation) {
                continue;
            }
            call_params.push(params);
            let slot = &mut run.stages[stage].pieces[piece];
            let attempts = if let Piece::Waiting { attempts } = *slot { attempts } else { 0 };
            first_attempts += u32::from(attempts == 0);
            *slot = Piece::Running { call, attempts };
            if run.stages[stage].started.is_none() {
                run.stages[stage].started = Some(now);
                waited.extend(run.stages[stage].runnable_since.map(|at| now.saturating_sub(at)));
            }
            total += bytes;
            pieces.push(((id, stage, piece), bytes));
        }
        for waited in waited {
            self.timings.record_wait(pool, spec, waited);
        }
        self.repeats.record_first_sends(pool, first_attempts, now);
        self.producers.sent(&endpoint.id, total);
        self.cold.record_sent(&endpoint, pieces.len(), now);
        let expected = spec.call_with(call_params.len());
        let wait_limit = expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_MARGIN;
        let queued = self.ledger.get(pool).map_or(0, |ledger| ledger.queue.pieces());
        self.out.push(Action::Log(LogEvent::BatchSent {
            call,
            endpoint: endpoint.id.clone(),
            pieces: call_params.iter().map(|o| (o.request.clone(), o.stage, o.piece)).collect(),
            waiting: queued.saturating_sub(pieces.len()),
            data_centre: endpoint.data_centre.clone(),
            away,
        }));
        self.timers.add(now + INPUT_FETCH_TIME, Timer::InputsFetched(call));
        self.timers.add(now + wait_limit, Timer::Overdue(call));
        let (is_abandoned, has_fetched) = (false, false);
        let (pool, to) = (pool.clone(), endpoint.clone());
        let stages = self.call_stages(&pieces);
        let sent = Call {
            pool,
            endpoint: to,
            pieces,
            stages,
            sent: now,
            expected,
            is_abandoned,
            has_fetched,
        };
        self.ledger.call_sent(call, &sent);
        self.calls.insert(call, sent);
        let timeout = wait_limit * 4;
        let permit = self.take_permit(&endpoint);
        self.out.push(Action::CallBatch { call, endpoint, pieces: call_params, timeout, permit });
    }
}

/// Number of pieces of the next call that are kept for overdue stages: none until others have had
/// their share, and at least one then.
fn overdue_pieces(queue: &Queue, spec: &BatchSpec) -> usize {
    if queue.owes_others() {
        return 0;
    }
    ((spec.pieces as f64 * GUARANTEED_SHARE) as usize).max(1)
}

/// Chooses the next call: an endpoint for the most urgent pieces that fit anywhere, all pieces of
/// the call, and the number of candidates examined.
fn choose_call(
    pool: &PoolLedger,
    spec: &BatchSpec,
    is_isolated: impl Fn(Rank) -> bool,
    now: Timestamp,
) -> Option<(Arc<Endpoint>, Vec<Selected>, usize)> {
    if pool.queue.is_empty() || !pool.endpoints.is_free() {
        return None;
    }
    let search = Search {
        now_ms: ms(now) as i64,
        max_pieces: spec.pieces * CALLS_EXAMINED,
        overdue_pieces: overdue_pieces(&pool.queue, spec),
    };
    let candidates = pool.queue.candidates(search, |preferred| {
        NearStarts::new(preferred, &pool.endpoints, &pool.in_flight, spec, now)
    });
    let endpoint_for = |(index, c)| Some((index, choose_endpoint(c, &pool.endpoints)?));
    let (first, (free_bytes, endpoint)) = candidates.iter().enumerate().find_map(endpoint_for)?;
    let taken = select_pieces(&candidates[first..], endpoint, spec.pieces, free_bytes, is_isolated);
    Some((endpoint.clone(), taken, candidates.len()))
}

/// The free endpoint with the most free memory in the preferred data centre, or else in any allowed
/// region, with its free memory.
fn choose_endpoint<'a>(
    piece: &Candidate,
    endpoints: &'a Endpoints,
) -> Option<(u64, &'a Arc<Endpoint>)> {
    let at_preferred = piece
        .preferred
        .as_ref()
        .and_then(|preferred| endpoints.most_free_in(preferred, piece.bytes));
    let at_preferred = at_preferred.filter(|(_, endpoint)| piece.allowed_regions.allows(endpoint));
    if at_preferred.is_none() && piece.only_preferred() {
        return None;
    }
    at_preferred.or_else(|| endpoints.most_free_in_regions(&piece.allowed_regions, piece.bytes))
}

/// Selects at most `max_pieces` pieces for a call to endpoint `to`, which has `free_bytes` of
/// result memory left.
///
/// Pieces of a stage that don't fit together into a call that others have begun to fill wait for
/// the next call: spread over two calls, the first results would occupy memory for a whole call
/// until the last ones are produced, and nothing can start with them alone. Result memory is what
/// pools lack in bursts.
///
/// A call with pieces of an isolated stage holds nothing else; see [`super::poison`].
fn select_pieces(
    candidates: &[Candidate],
    to: &Endpoint,
    max_pieces: usize,
    mut free_bytes: u64,
    is_isolated: impl Fn(Rank) -> bool,
) -> Vec<Selected> {
    let mut pieces_left = max_pieces;
    let mut taken: Vec<Selected> = Vec::new();
    let mut isolated = None;
    for candidate in candidates {
        let rank = candidate.rank;
        let may_join = match (isolated, taken.is_empty()) {
            (Some(isolated), _) => isolated == rank,
            (None, true) => true,
            (None, false) => !is_isolated(rank),
        };
        if !may_join {
            continue;
        }
        let is_preferred =
            candidate.preferred.as_ref().is_none_or(|preferred| *preferred == to.data_centre);
        if candidate.only_preferred() && !is_preferred || !candidate.allowed_regions.allows(to) {
            continue;
        }
        let fit = free_bytes.checked_div(candidate.bytes).map_or(usize::MAX, |fit| fit as usize);
        let pieces = candidate.pieces.min(pieces_left).min(fit);
        let fits_entirely = pieces == candidate.pieces || taken.is_empty();
        if pieces > 0 && fits_entirely {
            pieces_left -= pieces;
            free_bytes -= pieces as u64 * candidate.bytes;
            let away = candidate.away.filter(|_| !is_preferred);
            let is_overdue = candidate.leads_as_overdue();
            taken.push(Selected { rank, pieces, away, is_overdue });
            if isolated.is_none() && taken.len() == 1 && is_isolated(rank) {
                isolated = Some(rank);
            }
        }
        if pieces_left == 0 {
            break;
        }
    }
    taken
}

/// Number of pieces that run outside their preferred data centre, by reason.
fn count_away(taken: &[Selected]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for selected in taken {
        if let Some(reason) = selected.away {
            *counts.entry(reason.name()).or_default() += selected.pieces;
        }
    }
    counts
}

/// What an endpoint needs to run a piece.
fn piece_params(run: &JobRun, stage: usize, piece: usize, now: Timestamp) -> PieceParams {
    let spec = &run.job.stages[stage];
    let inputs = spec.after.iter().flat_map(|&a| run.stages[a].results());
    PieceParams {
        request: run.job.request.clone(),
        stage,
        piece,
        remaining: run.deadline.saturating_sub(now),
        key: if spec.after.is_empty() { run.job.key.clone() } else { None },
        inputs: inputs.map(|m| m.handle).collect(),
    }
}
