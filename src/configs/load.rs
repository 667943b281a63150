//! Settings of the load tool.
