//! The life cycle of a daemon as types: serving, draining, stopped.
