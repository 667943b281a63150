//! Quotas of teams: one record for the cell, from which zones take shares.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::place::spec::Resources;

/// What each team may use in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Shares {
    /// Share by team; a team that is not listed has none.
    pub teams: BTreeMap<String, Resources>,
}
