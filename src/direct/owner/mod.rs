//! The owner of batch pools, which combines pieces of all gateways' requests into calls.
//!
//! `core` passes in messages of gateways and responses of endpoints; this module has no access to
//! callers or members.
//!
//! - `owners`: one scheduler for each cell that this gateway owns.
//! - `scheduler`: jobs and calls of one cell, and the handling of events.
//! - `admission`: the decision whether a job is admitted.
//! - `displacement`: admitted jobs that give way to more urgent ones.
//! - `places` and `booked`: refusals, and the places that are kept for callers that return.
//! - `not_started`: recent refusals, for jobs that are resubmitted meanwhile.
//! - `ends`: jobs that are cancelled; `gateways`: the jobs of gateways that end.
//! - `batching`: the choice of pieces and endpoint for each call.
//! - `placement`: whether a piece waits for an endpoint near the consumer of its result.
//! - `outcomes`: the handling of calls that end.
//! - `restarts`: the recovery of work that was lost with an endpoint's previous incarnation.
//! - `gateways`: jobs of gateways that were removed or stop.
//! - `pauses`: endpoints that asked for a pause.
//! - `permits`: permits for endpoints with a rate limit.
//! - `poison`: the isolation of jobs under which endpoints crashed.
//! - `jobs`, `calls`, `producers`, `timings`, `timers`: the state of jobs, calls and endpoints,
//!   measured durations, and timers.
//! - `ledger`: totals of each pool, which decisions read instead of iterating over jobs. It
//!   consists of `queue` (waiting pieces), `bookings` (result memory over time) and `endpoints`.
//! - `entry` and `plan`: the contribution of a job to the ledger, recomputed whenever the job
//!   changes.
//! - `inspect`: read access for tests.
//!
//! The cost of a job depends on its own stages and on the logarithm of the number of active jobs.

mod admission;
mod batching;
mod booked;
mod bookings;
mod calls;
mod displacement;
mod endpoints;
mod ends;
mod entry;
mod gateways;
pub mod inspect;
pub mod jobs;
mod ledger;
mod not_started;
mod outcomes;
pub mod owners;
mod pauses;
mod permits;
pub mod placement;
mod places;
mod plan;
mod poison;
pub mod producers;
mod queue;
mod restarts;
pub mod scheduler;
mod timers;
mod timings;
