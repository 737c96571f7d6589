//! The agent: the process beside an endpoint, the one place that knows what has begun to run there.

pub mod core;
pub mod endpoint;
pub mod queue;
pub mod service;
pub mod shell;
pub mod tickets;
