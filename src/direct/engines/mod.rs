//! Load of the model engines, as their responses state it and as gateways share it, and the parts
//! of prompts that they have.
//!
//! `load` has the types. A response states the load of one engine; heartbeats carry recent reports
//! to the other gateways, and `view` has the newest of each engine. `read_times` estimates how long
//! engines read prompts; `parts` records which engines have shared parts.

pub mod load;
pub mod parts;
pub mod read_times;
pub mod view;

use crate::direct::engines::parts::PartHolders;
use crate::direct::engines::read_times::ReadTimes;
use crate::direct::engines::view::LoadView;

/// What one gateway knows of the engines.
#[derive(Debug, Default)]
pub struct Engines {
    /// Their load.
    pub loads: LoadView,
    /// How long they read prompts.
    pub read_times: ReadTimes,
    /// Which of them have shared parts.
    pub parts: PartHolders,
}
