//! Fake endpoints: they record their runs, and fail in every way.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use stackmast::agent::event::{CallStart, EndpointEvent, EndpointFailure};
use stackmast::message::AttemptId;
use stackmast_testbed::runs;

use super::{FIRST_ENGINE, Step, ToAgent, World, output};

impl World {
    pub(super) fn send_endpoint_event(
        &mut self,
        index: usize,
        after: Duration,
        id: AttemptId,
        event: EndpointEvent,
    ) {
        let epoch = self.agents[index].epoch;
        let message = ToAgent::Endpoint { epoch, attempt: id, event };
        self.at(self.now + after, Step::Agent { index, message });
    }

    pub(super) fn call_endpoint(&mut self, index: usize, attempt: AttemptId, start: CallStart) {
        let is_engine = index >= FIRST_ENGINE;
        let failed = |failure| EndpointEvent::Failed(failure);
        let (text, offset) = match start {
            CallStart::Begin(run) => {
                if self.happens(self.odds.endpoint) {
                    let failure = failed(EndpointFailure::Unreachable);
                    return self.send_endpoint_event(
                        index,
                        Duration::from_millis(1),
                        attempt,
                        failure,
                    );
                }
                let input = String::from_utf8_lossy(&run.input).into_owned();
                self.runs.push(runs::Run {
                    endpoint: run.endpoint.clone(),
                    stage: run.stage.clone(),
                    request: run.request.clone(),
                    attempt: attempt.to_string(),
                    key: input.split('|').next().unwrap_or_default().to_owned(),
                });
                let text = output(&run.stage, &input);
                if is_engine {
                    self.streams.insert((index, attempt), text.clone());
                }
                (text, 0)
            }
            CallStart::Resume { offset, .. } => match self.streams.get(&(index, attempt)) {
                Some(text) => (text.clone(), offset as usize),
                None => {
                    let failure = failed(EndpointFailure::UnknownAttempt);
                    return self.send_endpoint_event(
                        index,
                        Duration::from_millis(1),
                        attempt,
                        failure,
                    );
                }
            },
        };
        self.stream_text(index, attempt, &text, offset);
    }

    pub(super) fn stream_text(
        &mut self,
        index: usize,
        attempt: AttemptId,
        text: &str,
        offset: usize,
    ) {
        let mut after = self.millis(1, 60);
        let mut offset = offset;
        while offset < text.len() {
            if self.happens(self.odds.endpoint) {
                let failure = match self.rng.random_range(0..4) {
                    0 => EndpointFailure::Failed,
                    1 => EndpointFailure::Misbehaved,
                    // The call stalls.
                    2 => return,
                    _ => EndpointFailure::ConnectionLost,
                };
                let event = EndpointEvent::Failed(failure);
                return self.send_endpoint_event(index, after, attempt, event);
            }
            let end = (offset + self.rng.random_range(1..24)).min(text.len());
            let data = Bytes::copy_from_slice(&text.as_bytes()[offset..end]);
            let event = EndpointEvent::Chunk { offset: offset as u64, data };
            self.send_endpoint_event(index, after, attempt, event);
            after += self.millis(0, 20);
            offset = end;
        }
        let event = EndpointEvent::Done { length: text.len() as u64 };
        self.send_endpoint_event(index, after, attempt, event);
    }
}
