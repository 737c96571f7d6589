//! A witness: a process beside an endpoint that holds the records of streams' origins, so that they
//! survive the loss of all gateways.
//!
//! It neither follows the publisher's store nor knows other processes. Gateways send it records,
//! and ask for them when callers resume streams ([`crate::direct::origins::witnesses`]).

pub mod core;
pub mod shell;
