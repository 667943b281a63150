//! Settings of quotas.
