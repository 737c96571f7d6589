//! The agent: runs beside an endpoint, queues attempts for it and is the authority on which of them
//! have begun.

mod calls;
pub mod core;
pub mod endpoint;
pub mod event;
pub mod orders;
pub mod queue;
mod running;
pub mod service;
pub mod shell;
pub mod tickets;
