//! Instances that are cut off, paused or replaced.
