//! The gateway: takes a caller's request, decides, runs the pipeline's stages, returns the whole answer.

pub mod core;
pub mod event;
pub mod http;
mod recovery;
mod replies;
pub mod request;
pub mod shell;
mod sse;
pub mod tickets;
