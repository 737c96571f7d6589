//! What operators and endpoints publish: kept as documents of a revision, compiled for decisions.
//!
//! `core` merges whatever comes from the store or from peers (`publication`); everybody else only reads
//! the `table`. Nothing here decides about a request.

pub mod cells;
pub mod documents;
pub mod evacuations;
pub mod homes;
pub mod lapse;
pub mod model;
pub mod position;
pub mod revised;
pub mod store_read;
pub mod table;
