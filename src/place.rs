//! Decides where tasks run.
