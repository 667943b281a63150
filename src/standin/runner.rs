//! A fake endpoint (runner) that keeps its own record of what it ran.
