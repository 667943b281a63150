//! Shares of the cell that teams may use.
