//! A fake of the platform's agent on workers.
