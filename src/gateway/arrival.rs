//! How requests arrive at an instance.

/// Who has sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, which is cut off from the endpoints.
    Instance,
}
