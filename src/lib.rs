//! stackmast: a serving system for multi-stage model pipelines.
//!
//! One daemon has two roles: a gateway accepts callers' requests and schedules their stages; an
//! agent runs beside each endpoint and is the only authority on which attempts have started there.
//! See docs/DESIGN.md.

pub mod actor;
pub mod admin;
pub mod agent;
pub mod audit;
pub mod channels;
pub mod clock;
pub mod config;
pub mod config_store;
pub mod daemon;
pub mod direct;
pub mod distribution;
pub mod fleet;
mod forwarded_writes;
pub mod framing;
pub mod gateway;
pub mod http;
pub mod invariant;
pub mod logging;
pub mod message;
pub mod metrics;
pub mod options;
pub mod peer;
pub mod platform;
pub mod policy;
pub mod refusal;
pub mod request_target;
pub mod request_trace;
pub mod response_check;
pub mod result;
pub mod settings;
pub mod signals;
mod tables;
pub mod tool;
pub mod view;
pub mod wire;
