//! A gateway that calls endpoints directly: endpoints that state for themselves what has not run.
//!
//! `core` decides and holds all state, without I/O or clock. Parts of its implementation: `publication` (published
//! documents), `peer_messages` (messages of other gateways), `endpoint_status` (status headers in endpoints' answers),
//! `poison_detection`, `rate_limits`, `store_restore` and `readiness`. `shell` does the I/O. What is
//! published, how callers ask and how endpoints are called is translated by an adapter (see `client`).
//!
//! - `published`: routes, pools and endpoints, merged from any source and compiled.
//! - `peers`: the other gateways, what they say, and what is asked of them.
//! - `requests`: callers' requests of this gateway, each with one final answer.
//! - `poison`: requests that crash the endpoints which run them.
//! - `owner`: the pools that work in batches, for as long as this gateway owns them.
//!
//! `requests` and `owner` speak by messages only, also within one gateway.

pub mod answers;
pub mod backoff;
pub mod client;
pub mod cold;
pub mod core;
pub mod departures;
mod endpoint_status;
pub mod event;
pub mod gates;
pub mod lateness;
pub mod limits;
pub mod log_events;
pub mod owner;
mod peer_messages;
pub mod peers;
pub mod poison;
mod poison_detection;
pub mod publication;
pub mod published;
mod rate_limits;
mod readiness;
pub mod repeats;
pub mod requests;
pub mod shell;
pub mod statement;
pub mod stop;
mod store_restore;
pub mod stream;
