//! Settings of dispatch.
