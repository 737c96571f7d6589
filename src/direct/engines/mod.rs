//! Load of the model engines, as their responses state it and as gateways share it.
//!
//! `load` has the types. A response states the load of one engine; heartbeats carry recent reports
//! to the other gateways.

pub mod load;
