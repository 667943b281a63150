//! Settings of the operators' command line.
