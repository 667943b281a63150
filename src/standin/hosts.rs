//! A fake of the platform's lagging list of live and leaving hosts.
