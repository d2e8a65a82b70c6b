//! Names of what operators and the platform refer to.
//!
//! Each name is a shared immutable string, so that cloning it costs one atomic increment.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from text.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self::new(text)
            }
        }
    };
}

name! {
    /// A team, which owns keys and rates.
    Team
}
name! {
    /// A class of work with a target for its latency and the fraction of requests that must meet
    /// it.
    Class
}
name! {
    /// A language model served by a pool of engines.
    Model
}
name! {
    /// A low-rank adapter loaded beside its model.
    Adapter
}
name! {
    /// A plain service that runs beside the engines.
    Service
}
name! {
    /// A group of endpoints of the same kind, such as all engines of one product.
    Pool
}
name! {
    /// An endpoint: an engine or one server of a plain service.
    EndpointId
}
name! {
    /// A data centre of the platform.
    DataCentre
}
name! {
    /// An instance of this system.
    InstanceId
}
name! {
    /// A request, named by the entry instance that admitted it.
    RequestId
}
name! {
    /// An operator's handle for a key; never the key itself.
    KeyId
}
