//! Published configuration and endpoint entries: merged by position in the store's history and
//! compiled for lookups.
//!
//! `core` merges what arrives from the store and from peers (`publication`); all other modules only
//! read `table`. Nothing here decides about a request.

pub mod cells;
pub mod documents;
mod entry;
pub mod evacuations;
pub mod figure_limits;
pub mod list_position;
pub mod model;
pub mod outage;
pub mod position;
pub mod regions;
pub mod revised;
pub mod software;
pub mod store_read;
pub mod table;
