//! The gateway: accepts requests from callers, schedules the pipeline's stages on endpoints and
//! returns the complete result or a refusal.

pub mod core;
pub mod event;
pub mod http;
mod recovery;
mod replies;
pub mod request;
pub mod shell;
mod sse;
pub mod tickets;
