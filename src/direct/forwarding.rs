//! Forwards a stream from an endpoint to its caller.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use tokio::sync::mpsc;

use crate::actor::Handle;
use crate::direct::client::BodyError;
use crate::direct::core::GatewayCore;
use crate::direct::event::Event;
use crate::direct::stream::EventSplitter;

/// Forwards the events of a stream as they arrive, complete events only. A stream that only the end
/// of its connection ends is broken off if it ends inside an event or before the first one.
pub(super) async fn forward_events(
    caller: u64,
    attempt: u64,
    mut body: UnsyncBoxBody<Bytes, BodyError>,
    ends_with_connection: bool,
    events: mpsc::Sender<Bytes>,
    core: Handle<GatewayCore>,
) {
    let mut splitter = EventSplitter::default();
    let mut is_first = true;
    let is_complete = loop {
        match body.frame().await {
            None if is_first && ends_with_connection => break false,
            None => break splitter.is_at_boundary(),
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let Some(whole) = splitter.push(&data) else {
                    if splitter.is_too_long() {
                        break false;
                    }
                    continue;
                };
                if events.send(whole).await.is_err() {
                    return;
                }
                if std::mem::take(&mut is_first) {
                    core.send(Event::FirstEvent { caller }).await.ok();
                }
            }
        }
    };
    drop(events);
    let last_event = splitter.last_id().map(ToOwned::to_owned);
    core.send(Event::StreamEnded { caller, attempt, is_complete, last_event }).await.ok();
}
