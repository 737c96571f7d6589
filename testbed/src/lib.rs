//! Test bench: stand-ins for the platform and endpoints, a fault proxy, a load tool and a demo.
//!
//! The stand-ins implement only what the tests need. No production code depends on this crate.

pub mod capacity;
pub mod client;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod frames;
pub mod group;
mod group_counts;
mod group_network;
pub mod group_store;
pub mod group_table;
pub mod history;
pub mod hop;
pub mod load;
pub mod options;
pub mod owner_load;
pub mod platform;
pub mod proxy;
pub mod runs;
pub mod scenario;
pub mod serve;
pub mod service;
pub mod soak;
