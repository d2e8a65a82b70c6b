//! Non-repeatable requests.
