//! Memory of endpoints through a change of steward.
