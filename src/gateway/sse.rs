//! Server-sent events of a streamed answer: `chunk` and `reset`, then `done` with length and
//! digest, or `refused`.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use xitca_web::body::{Body, Frame, SizeHint};

use super::event::Answer;
use super::http::{CallerGuard, CallerState, finish_ticket, refusal_problem};
use super::shell::CallerMessage;
use crate::message::Claim;

#[derive(Serialize)]
struct TextChunk<'a> {
    offset: u64,
    text: &'a str,
}

#[derive(Serialize)]
struct ByteChunk<'a> {
    offset: u64,
    bytes: &'a [u8],
}

#[derive(Serialize)]
struct Done {
    request: String,
    length: usize,
    digest: String,
}

/// Response body that streams the events of one answer.
pub(super) struct SseBody {
    first: Option<CallerMessage>,
    messages: mpsc::UnboundedReceiver<CallerMessage>,
    guard: Option<CallerGuard>,
    ticket: Option<(Claim, CallerState)>,
    /// The final answer, held until the end of the run is reported to the ticket's issuing agent.
    reporting: Option<(JoinHandle<()>, Answer)>,
    /// Incomplete UTF-8 sequence at the end of the data received so far.
    tail: BytesMut,
    sent: u64,
}

impl SseBody {
    /// Creates a body from the core's messages; `first` was already received.
    pub fn new(
        first: Option<CallerMessage>,
        messages: mpsc::UnboundedReceiver<CallerMessage>,
        guard: CallerGuard,
        ticket: Option<(Claim, CallerState)>,
    ) -> Self {
        let tail = BytesMut::new();
        Self { first, messages, guard: Some(guard), ticket, reporting: None, tail, sent: 0 }
    }

    fn poll_message(&mut self, cx: &mut Context<'_>) -> Poll<Option<CallerMessage>> {
        if let Some((task, _)) = &mut self.reporting {
            ready!(Pin::new(task).poll(cx)).ok();
            return Poll::Ready(self.reporting.take().map(|(_, a)| CallerMessage::Answer(a)));
        }
        match self.first.take() {
            Some(first) => Poll::Ready(Some(first)),
            None => self.messages.poll_recv(cx),
        }
    }

    fn event(&mut self, message: CallerMessage) -> Bytes {
        match message {
            CallerMessage::Chunk { data, .. } => self.chunk(&data),
            CallerMessage::Reset => {
                self.tail.clear();
                self.sent = 0;
                Bytes::from_static(b"event: reset\ndata: {}\n\n")
            }
            CallerMessage::Answer(answer) => self.final_events(&answer),
        }
    }

    fn chunk(&mut self, data: &[u8]) -> Bytes {
        self.tail.extend_from_slice(data);
        let offset = self.sent;
        let (emitted, event) = match std::str::from_utf8(&self.tail) {
            Ok(text) => (text.len(), encode("chunk", &TextChunk { offset, text })),
            Err(error) if error.error_len().is_some() => {
                (self.tail.len(), encode("chunk", &ByteChunk { offset, bytes: &self.tail }))
            }
            Err(error) => {
                let emitted = error.valid_up_to();
                let text = std::str::from_utf8(&self.tail[..emitted]).unwrap_or_default();
                (emitted, encode("chunk", &TextChunk { offset, text }))
            }
        };
        let _ = self.tail.split_to(emitted);
        self.sent += emitted as u64;
        event
    }

    fn final_events(&mut self, answer: &Answer) -> Bytes {
        self.guard = None;
        match answer {
            Answer::Complete { request, result, digest } => {
                let mut events = BytesMut::new();
                if !self.tail.is_empty() {
                    let chunk = ByteChunk { offset: self.sent, bytes: &self.tail };
                    events.extend_from_slice(&encode("chunk", &chunk));
                }
                let done = Done {
                    request: request.to_string(),
                    length: result.len(),
                    digest: format!("{digest:016x}"),
                };
                events.extend_from_slice(&encode("done", &done));
                events.freeze()
            }
            Answer::Refused { request, refusal } => {
                encode("refused", &refusal_problem(&request.to_string(), refusal))
            }
        }
    }
}

fn encode<T: Serialize>(event: &str, data: &T) -> Bytes {
    let data = serde_json::to_string(data).unwrap_or_default();
    Bytes::from(format!("event: {event}\ndata: {data}\n\n"))
}

impl Body for SseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.guard.is_none() {
            return Poll::Ready(None);
        }
        let message = match ready!(self.poll_message(cx)) {
            // The caller may repeat the request right after the answer, so the issuing agent must
            // have the result first. A refusal need not wait.
            Some(CallerMessage::Answer(answer)) if self.ticket.is_some() => {
                let report = self.ticket.take().map(|(c, s)| finish_ticket(&s, c, &answer));
                let Some(task) = report.filter(|_| matches!(answer, Answer::Complete { .. }))
                else {
                    return Poll::Ready(Some(Ok(Frame::Data(self.final_events(&answer)))));
                };
                self.reporting = Some((task, answer));
                return self.poll_frame(cx);
            }
            message => message,
        };
        let event = message.map(|m| Ok(Frame::Data(self.event(m))));
        Poll::Ready(event)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Unknown
    }
}
