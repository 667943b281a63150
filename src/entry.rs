//! The entry daemon: the callers' door.
