//! Only a test: it must compile where the wire code does not match the daemon yet.
