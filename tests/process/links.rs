//! Links between instances that fail or go silent.
