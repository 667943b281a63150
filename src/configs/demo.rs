//! Settings of the demo.
