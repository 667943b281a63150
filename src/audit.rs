//! The audit trail of configuration changes.
