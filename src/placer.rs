//! The placer daemon: one active per zone.
