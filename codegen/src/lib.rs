//! Contains only a test. A separate crate, so that it compiles while the wire code does not yet
//! match the daemon.
