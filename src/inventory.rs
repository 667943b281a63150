//! Zones, racks and workers in arenas with small keys.
