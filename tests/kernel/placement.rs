//! Placement of models.
