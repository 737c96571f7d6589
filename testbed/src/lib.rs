//! Stand-ins for what surrounds stackmast, the fault proxy, the load tool and the demo.
//!
//! Small: what the promises need, not more. No production code depends on it.

pub mod capacity;
pub mod client;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod frames;
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
