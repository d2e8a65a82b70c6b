//! Joins the parts of an answer that several attempts deliver.
