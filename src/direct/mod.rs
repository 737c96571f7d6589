//! A gateway that calls endpoints directly: endpoints that state for themselves what has not run.
//!
//! `core` decides and holds all state, without I/O or clock (`following` is its part for what is published,
//! `talking` that for other gateways, `suspecting` that for poison requests, `hearing` that for what endpoints say of
//! themselves); `shell` does the I/O. What is
//! published, how callers ask and how endpoints are spoken to is translated by an adapter (see `client`).
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
pub mod event;
pub mod following;
pub mod gates;
mod hearing;
pub mod lateness;
mod limiting;
pub mod limits;
pub mod note;
pub mod owner;
pub mod peers;
pub mod poison;
pub mod published;
mod readiness;
pub mod repeats;
pub mod requests;
mod returning;
pub mod shell;
pub mod statement;
pub mod stop;
pub mod stream;
mod suspecting;
mod talking;
