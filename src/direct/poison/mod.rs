//! Poison requests: those that end the endpoints which run them, and come again.
//!
//! Callers send a request again as a new one, with an id of its own and through any gateway, so what tells it is
//! what it holds: its [`fingerprint`].

pub mod fingerprint;
