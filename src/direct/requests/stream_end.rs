//! Ends of streams that are forwarded to callers.

use crate::direct::event::Action;
use crate::direct::forwarded_stream::{ForwardedStream, StreamEnd};
use crate::direct::log_events::{LogEvent, StreamEvent};
use crate::direct::origins::Origin;
use crate::direct::poison::Unanswered;
use crate::direct::published::table::Table;
use crate::direct::requests::Requests;
use crate::direct::requests::request::Attempt;
use crate::direct::requests::unframed_end::UnframedAnswer;
use crate::message::Timestamp;

/// Status of an answer that is a stream.
const STATUS_OK: u16 = 200;

impl Requests {
    /// A forwarded stream ended.
    pub fn stream_ended(
        &mut self,
        caller: u64,
        attempt: u64,
        stream: ForwardedStream,
        table: &Table,
        now: Timestamp,
    ) {
        if !self.is_current_attempt(caller, attempt) {
            return;
        }
        self.log_stream_ended(caller, &stream);
        match stream.end {
            StreamEnd::Complete => self.stream_is_complete(caller, now),
            StreamEnd::ConnectionClosed => {
                self.check_end(caller, UnframedAnswer::Stream(stream), table, now);
            }
            _ => self.stream_broke(caller, stream, table, now),
        }
    }

    /// The stream of the open attempt is complete.
    pub(super) fn stream_is_complete(&mut self, caller: u64, now: Timestamp) {
        self.record_durations(caller, true, now);
        self.stream_complete(caller);
        let Some(closed) = self.close_attempt(caller) else {
            return;
        };
        self.report_answered(caller, &closed, STATUS_OK);
        self.out.push(Action::EndStream { caller });
        self.end(caller, "streamed", Some(&closed.endpoint.id), now);
    }

    /// The stream of the open attempt ended before its end. It is resumed at another endpoint if
    /// the route allows it.
    pub(super) fn stream_broke(
        &mut self,
        caller: u64,
        stream: ForwardedStream,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(closed) = self.close_attempt(caller) else {
            return;
        };
        if self.observations.failed(&closed.endpoint, now) {
            self.log_avoided(&closed.endpoint.id, "failed streams");
        }
        self.report_unanswered(caller, &closed, Unanswered::Broken, now);
        let may_retry = self.may_retry(caller, now);
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        request.uncertain_attempts += 1;
        if stream.events > 0 {
            request.place = stream.place;
            request.origin.get_or_insert_with(|| Origin::of(&request.pool, &closed.endpoint));
        }
        let pool = request.pool.clone();
        let will_retry = may_retry
            && request.route.resumable
            && request.place.may_resume()
            && !request.has_stages()
            && self.repeats.try_take(&pool, self.gateway_count, now);
        let next = if will_retry { "resumed" } else { "aborted" };
        self.log_attempt_failed(caller, &closed, "stream failed".to_owned(), next);
        if will_retry {
            self.dispatch(caller, table, now);
        } else {
            self.abort(caller, "stream failed", now);
        }
    }

    fn log_stream_ended(&mut self, caller: u64, stream: &ForwardedStream) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Some(Attempt { endpoint, framing, .. }) = &request.attempt else {
            return;
        };
        let violation = stream.out_of_order.as_ref();
        self.out.push(Action::Log(LogEvent::Stream(StreamEvent::StreamEnded {
            request: request.incoming.id.clone(),
            endpoint: endpoint.id.clone(),
            framing: framing.as_str(),
            after_event: request.after_event().map(ToOwned::to_owned),
            first_event: stream.first_event.clone(),
            last_event: stream.last_event.clone(),
            events: stream.events,
            jumps: stream.jumps,
            end: stream.end.to_string(),
            expected_id: violation.map(|violation| violation.expected.clone()),
            received_id: violation.map(|violation| violation.received.clone()),
        })));
    }
}
