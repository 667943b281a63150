//! Settings of placement.
