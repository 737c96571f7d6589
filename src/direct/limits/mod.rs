//! Rate limits that endpoints announce: requests per second from all gateways together.
//!
//! `known` holds the limits, learned from responses and from other gateways. There is no shared
//! state in which all gateways could count what they send. Instead one gateway, the endpoint's
//! limiter, chosen from the member list, issues a permit for each message (`limiter`). Without a
//! permit no message of any kind is sent to the endpoint ([`crate::direct::gates`]). `permits`
//! holds this gateway's pending permit requests, `retry_times` when it may request a permit again
//! after a refusal.
//!
//! A limiter issues permits only for the share of the gateways that it hears from: with 10 possible
//! gateways of which it hears from 6, six tenths of the limit. So two limiters on both sides of a
//! network partition stay within the limit together, and so do gateways of a build without support
//! for permits. A gateway that becomes the limiter waits until its predecessor has certainly
//! stopped.
//!
//! Alternatives considered: equal shares by members (a gateway that has all the work gets a tenth
//! of what ten may send, and each of 100 gateways has one request in 100 s); shares by demand, sent
//! in heartbeats (the demand is seconds old, and a limit of one per second means one gateway at a
//! time); time slots, as for cold endpoints (slots of gateways without work are wasted). A permit
//! costs a round trip, only for requests to endpoints with a limit.

pub mod known;
pub mod limiter;
pub mod permits;
pub mod retry_times;
