//! Seeded open-loop load and its reports.
