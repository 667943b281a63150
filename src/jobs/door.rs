//! The job door.
