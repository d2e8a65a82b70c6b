//! The merged time line.
