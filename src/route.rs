//! Decides which endpoint gets which request, and when.
