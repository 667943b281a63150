//! Settings of the entry daemon.
