//! Joined answers.
