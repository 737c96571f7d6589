//! Admission and routing decisions: pure functions of the compiled configuration, the endpoint
//! states and the time. Each decision includes its explanation.

pub mod admit;
pub mod arrivals;
pub mod budget;
pub mod demand;
pub mod explain;
pub mod limit;
pub mod path;
pub mod place;
pub mod places;
pub mod predict;
pub mod route;
pub mod start_time;
pub mod timeline;
pub mod urgency;
