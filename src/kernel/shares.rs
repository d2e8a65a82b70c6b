//! Escrow of every team's rate and burst over the instances, and loans between them.
