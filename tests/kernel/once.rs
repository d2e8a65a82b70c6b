//! Claims of non-repeatable requests.
