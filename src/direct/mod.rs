//! Gateway that calls endpoints directly; endpoints state in their responses what has not run.
//!
//! `core` makes all decisions and holds all state, without I/O or clock; `shell` does the I/O. The
//! core's implementation continues in `publication` (published documents), `peer_messages`
//! (messages between gateways), `endpoint_status` (status headers of endpoints),
//! `poison_detection`, `rate_limits`, `store_reading`, `store_restore` and `readiness`. An adapter
//! (see `client`) translates the published documents, the front end's protocol and the endpoints'
//! protocol.
//!
//! - `caller_capacity`, `caller_budget`: connections and bytes that callers make the process hold.
//! - `published`: routes, pools and endpoints, merged from all sources and compiled.
//! - `peers`: the other gateways, their messages, and pulls from them.
//! - `engines`: load of the model engines.
//! - `requests`: requests of this gateway's callers, each with one final response.
//! - `poison`: requests that crash the endpoints that run them.
//! - `limits`: rate limits of endpoints and the permits for them.
//! - `origins`: software versions that began streams.
//! - `owner`: batch pools, while this gateway owns them.
//!
//! `requests` and `owner` communicate by messages only, also within one gateway.

pub mod answers;
pub mod backoff;
pub mod caller_budget;
pub mod caller_capacity;
pub mod client;
pub mod cold;
pub mod core;
pub mod departures;
mod endpoint_status;
pub mod engines;
pub mod event;
pub mod event_lag;
pub mod event_order;
mod event_queue;
pub mod forwarded_stream;
mod forwarding;
pub mod gates;
pub mod limits;
pub mod log_events;
pub mod origins;
pub mod owner;
mod peer_builds;
mod peer_messages;
pub mod peers;
pub mod poison;
mod poison_detection;
pub mod publication;
pub mod published;
mod rate_limits;
mod readiness;
pub mod refusal;
pub mod repeats;
pub mod requests;
pub mod setup;
pub mod shedding;
pub mod shell;
pub mod state;
pub mod statement;
pub mod stop;
pub mod store_reading;
mod store_restore;
pub mod stream;
pub mod stream_progress;
pub mod witness;
