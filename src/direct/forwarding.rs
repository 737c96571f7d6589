//! Forwards a stream from an endpoint to its caller.

use std::error::Error;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;

use crate::actor::Handle;
use crate::direct::answers::Framing;
use crate::direct::client::BodyError;
use crate::direct::core::GatewayCore;
use crate::direct::event::Event;
use crate::direct::event_order::{EventOrder, EventSummary, Place};
use crate::direct::event_queue::EventSender;
use crate::direct::forwarded_stream::{ForwardedStream, StreamEnd};
use crate::direct::stream::EventSplitter;
use crate::direct::stream_progress::StreamProgress;
use crate::response_check::Malformed;

/// Forwards the events of a stream as they arrive, complete events only. A stream that only the end
/// of its connection ends is broken off if it ends inside an event or before the first one. An event
/// that does not follow the events before it breaks off the stream and is not forwarded.
pub(super) async fn forward_events(
    caller: u64,
    attempt: u64,
    mut body: UnsyncBoxBody<Bytes, BodyError>,
    framing: Framing,
    place: Place,
    events: EventSender,
    core: Handle<GatewayCore>,
) {
    let mut splitter = EventSplitter::default();
    let mut order = EventOrder::new(place);
    let mut out_of_order = None;
    let mut progress = StreamProgress::default();
    let mut is_first = true;
    let end = loop {
        match body.frame().await {
            None if is_first && framing == Framing::Connection => {
                break StreamEnd::BeforeFirstEvent;
            }
            None if !splitter.is_at_boundary() => break StreamEnd::InsideEvent,
            None if framing == Framing::Connection => break StreamEnd::ConnectionClosed,
            None => break StreamEnd::Complete,
            Some(Err(error)) => break read_failed(&*error),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let Some(mut whole) = splitter.push(&data) else {
                    if splitter.is_too_long() {
                        break StreamEnd::EventTooLong;
                    }
                    continue;
                };
                progress.add(&whole);
                if progress.is_missing() {
                    break StreamEnd::NoEvents;
                }
                if let Err(violation) = order.check(&whole) {
                    whole.truncate(violation.at);
                    out_of_order = Some(violation);
                }
                if whole.is_empty() {
                    break StreamEnd::OutOfOrder;
                }
                if !events.send(whole).await {
                    return;
                }
                if std::mem::take(&mut is_first) {
                    core.send(Event::FirstEvent { caller }).await.ok();
                }
                if out_of_order.is_some() {
                    break StreamEnd::OutOfOrder;
                }
            }
        }
    };
    drop(events);
    let (place, EventSummary { events, first_id, last_id, jumps }) = order.into_parts();
    let stream = ForwardedStream {
        end,
        events,
        first_event: first_id,
        last_event: last_id,
        jumps,
        place,
        out_of_order,
    };
    core.send(Event::StreamEnded { caller, attempt, stream }).await.ok();
}

fn read_failed(error: &(dyn Error + 'static)) -> StreamEnd {
    Malformed::cause_of(error).map_or(StreamEnd::ReadFailed, StreamEnd::Malformed)
}
