//! The placer daemon: one active in each zone, the others stand by.

pub mod wire;
