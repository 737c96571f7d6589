//! The core's part for what endpoints say of themselves in answers.

use std::sync::Arc;

use crate::direct::core::GatewayCore;
use crate::direct::note::{Note, ms};
use crate::direct::published::model::Endpoint;
use crate::direct::statement::{Asked, Backoff, Statement};
use crate::message::Timestamp;

impl GatewayCore {
    /// An endpoint said something of itself in an answer that was read at a time.
    pub(super) fn stated(
        &mut self,
        endpoint: &Arc<Endpoint>,
        asked: Asked,
        statement: Statement,
        at: Timestamp,
        now: Timestamp,
    ) {
        let backoff_ms = match statement.backoff {
            Some(Backoff::For(time)) => Some(ms(time)),
            Some(Backoff::Unclear) | None => None,
        };
        self.note(Note::Stated {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            asked: asked.as_str(),
            leaving: statement.leaving,
            backoff_ms,
            unclear: statement.backoff == Some(Backoff::Unclear),
            age_ms: ms(now.saturating_sub(at)),
        });
    }
}
