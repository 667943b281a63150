//! Settings of the ledger.
