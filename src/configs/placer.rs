//! Settings of the placer daemon.
