//! A gateway that calls endpoints directly: endpoints that state for themselves what has not run.
//!
//! `core` decides and holds all state, `shell` does the I/O; `peers` carries messages between
//! gateways. What is published, how callers ask and how endpoints are spoken to is translated by an
//! adapter (see `client`).

mod attempts;
pub mod bulk;
pub mod client;
pub mod core;
pub mod documents;
pub mod early;
pub mod endpoints;
pub mod event;
pub mod experience;
mod filling;
mod following;
mod forecast;
pub mod jobs;
pub mod lapse;
pub mod makers;
pub mod members;
pub mod message;
pub mod model;
pub mod note;
mod outcomes;
pub mod peers;
pub mod pulls;
pub mod repeats;
pub mod request;
pub mod requests;
pub mod scheduler;
pub mod shell;
mod stages;
pub mod stop;
mod stopping;
pub mod stream;
pub mod table;
