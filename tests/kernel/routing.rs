//! Choice among copies.
