//! Settings of a drain.
