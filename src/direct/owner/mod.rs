//! The owner of the pools that work in batches: pieces of all gateways' requests meet here.
//!
//! `core` hands in what gateways tell and what endpoints answer; `scheduler` admits jobs and holds them,
//! `filling` sends their pieces, `outcomes` takes the results in. It knows no callers and no members.

mod filling;
mod forecast;
pub mod jobs;
pub mod makers;
mod outcomes;
pub mod scheduler;
