//! Numbered result codes of refusals and failures.
//!
//! `docs/CODES.md` contains the same table, and a test compares the two.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused or failed request may have reached an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// No byte of the request reached an endpoint.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl RunStatus {
    /// Returns the value of the `x-cardamomshore-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            RunStatus::NotRun => "not-run",
            RunStatus::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Code {
            $(#[doc = $text] $name,)*
        }

        impl Code {
            /// All codes, ordered by number.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the number, whose meaning never changes.
            pub fn number(self) -> u32 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the HTTP status of the code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the explanation for callers.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// Returns the name as written in the documentation.
            pub fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    KeyMissing = 1001, 401, "The route needs a key and the request carries none.";
    KeyUnknown = 1002, 401, "The key is unknown or withdrawn.";
    ClassForbidden = 1003, 403, "The team may not use this class.";
    KeyConflict = 1004, 401, "The request carries more than one key.";
    KeyMisplaced = 1005, 400, "The key appears outside the headers for keys.";
    BadRequest = 1101, 400, "The request cannot be parsed.";
    BodyTooLarge = 1102, 413, "The body exceeds the limit.";
    ModelUnknown = 1103, 404, "No such model is configured.";
    ClassUnknown = 1104, 400, "No such class is configured.";
    RouteUnknown = 1105, 404, "No such route exists.";
    IdMissing = 1106, 400, "The route needs an Idempotency-Key header.";
    IdInvalid = 1107, 400, "The Idempotency-Key is too long or not printable.";
    IdReused = 1108, 422, "The Idempotency-Key was used for another request.";
    BodySlow = 1109, 408, "The body did not arrive in time.";
    MethodNotAllowed = 1110, 405, "The route exists and does not take this method.";
    HeadersTooLarge = 1111, 431, "The request line or the headers exceed the limit.";
    RateExceeded = 1201, 429, "The team's rate and burst are used up.";
    QueueFull = 1202, 503, "The queue is full.";
    DeadlinePassed = 1203, 504, "The deadline passed before the request could start.";
    TooLarge = 1204, 400, "The request costs more tokens than the team's burst.";
    CutOff = 1301, 503, "This instance is cut off from the others.";
    Draining = 1302, 503, "This instance is shutting down.";
    NoConfig = 1303, 503, "This instance has no configuration yet.";
    NoEndpoint = 1304, 503, "No endpoint can serve the request now.";
    PlatformDown = 1305, 503, "The platform's service cannot record the request now.";
    PeerUnreachable = 1306, 503, "The instance that stewards the endpoint cannot be reached.";
    NotSteward = 1307, 503, "The instance no longer stewards the endpoint.";
    NotOwner = 1308, 503, "The instance does not own the bucket of this id.";
    CrashSuspect = 1401, 422, "The request crashed endpoints and is not run again.";
    OutcomeUnknown = 1501, 502, "The request may have run and its answer is lost.";
    EndpointFailed = 1502, 502, "The endpoint failed while it ran the request.";
    AnswerCrossed = 1503, 502, "The endpoint answered with another request's answer.";
    InProgress = 1504, 409, "A request with this id is still running.";
    Conflict = 1601, 409, "The configuration changed since it was read.";
    ConfigInvalid = 1602, 400, "The configuration is not valid.";
    Internal = 1901, 500, "The instance met an internal error.";
}

impl Code {
    /// Returns the code with this number.
    pub fn from_number(number: u32) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

/// A refusal or failure as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{code} ({})", run.as_str())]
pub struct Refusal {
    /// What went wrong.
    pub code: Code,
    /// Whether the request may have run.
    pub run: RunStatus,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request of which no byte reached an endpoint.
    pub fn not_run(code: Code) -> Self {
        Self { code, run: RunStatus::NotRun, retry_ms: None }
    }

    /// Creates a failure of a request that may have run.
    pub fn unknown(code: Code) -> Self {
        Self { code, run: RunStatus::Unknown, retry_ms: None }
    }

    /// Sets the time after which a retry may succeed, in milliseconds.
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_ms = Some(ms);
        self
    }
}
