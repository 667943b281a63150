//! Settings of the stand-ins.
