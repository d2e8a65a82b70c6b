//! Cut off or service down.
