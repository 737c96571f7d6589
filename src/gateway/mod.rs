//! The gateway: takes a caller's request, decides, runs the pipeline's stages, returns the whole answer.

pub mod core;
pub mod http;
pub mod request;
pub mod shell;
mod sse;
pub mod tickets;
