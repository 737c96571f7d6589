//! The decisions: pure functions of the view, the fleet and the time, each with its reasons.

pub mod admit;
pub mod budget;
pub mod demand;
pub mod explain;
pub mod limit;
pub mod path;
pub mod place;
pub mod predict;
pub mod route;
pub mod timeline;
