//! Jobs as callers declare them and as the store records them.
