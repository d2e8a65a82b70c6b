//! What a check of a document can find.
//!
//! `docs/CODES.md` contains the same table of rules, and a test compares the two.

use std::fmt;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The document must not be put in force.
    Error,
    /// The document can be put in force, but probably says what nobody means.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        })
    }
}

macro_rules! rules {
    ($($rule:ident = $name:literal, $severity:ident, $text:literal;)*) => {
        /// A rule that a document breaks.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Rule {
            $(#[doc = $text] $rule,)*
        }

        impl Rule {
            /// All rules, in the order of the documentation.
            pub const ALL: &'static [Rule] = &[$(Rule::$rule,)*];

            /// Returns the name as written in the documentation, which never changes.
            pub fn name(self) -> &'static str {
                match self { $(Rule::$rule => $name,)* }
            }

            /// Returns how bad it is to break the rule.
            pub fn severity(self) -> Severity {
                match self { $(Rule::$rule => Severity::$severity,)* }
            }

            /// Returns the explanation for operators.
            pub fn text(self) -> &'static str {
                match self { $(Rule::$rule => $text,)* }
            }
        }
    };
}

rules! {
    Unreadable = "unreadable", Error, "The document is not JSON, or a field is missing or has the wrong type.";
    Version = "version", Error, "The version is 0, or not above that of another document in force; instances ignore it.";
    Negative = "negative", Error, "A number is below zero.";
    LongTime = "long-time", Warning, "A time is longer than a day, and is cut to a day.";
    NoRoutes = "no-routes", Warning, "There are no routes, so every request is refused.";
    UnmatchedHost = "unmatched-host", Error, "No request has this host: it is empty, or has a port, a path or spaces.";
    PrefixSlash = "prefix-slash", Error, "A path prefix does not begin and end with a slash.";
    SamePrefix = "same-prefix", Error, "An earlier route has the same host and path prefix, so this one never matches.";
    SameRouteName = "same-route-name", Warning, "Two routes have the same name, so logs do not tell them apart.";
    UnknownType = "unknown-type", Error, "The type of a route is not known.";
    UnknownService = "unknown-service", Error, "A route names a service that does not exist.";
    NoService = "no-service", Error, "A route names no service.";
    ServiceAndSplit = "service-and-split", Warning, "A route has a split and a service; the service gets the weight 0.001.";
    ZeroWeight = "zero-weight", Error, "A weight is below 0.001, so its service gets no requests.";
    LargeWeights = "large-weights", Error, "The weights of a split add up to more than 4294967.";
    TimeoutBelowTarget = "timeout-below-target", Error, "A request times out before its target latency.";
    PauseAboveTimeout = "pause-above-timeout", Error, "The longest pause of a stream is above its timeout.";
    NoAttempts = "no-attempts", Error, "A route allows no attempt.";
    SameName = "same-name", Error, "Two services, models or teams have the same name; the later one replaces the earlier.";
    UnusedService = "unused-service", Warning, "No route leads to a service.";
    NoRoom = "no-room", Error, "An engine has no slots, no tokens of KV cache or no memory for weights.";
    ModelTooLarge = "model-too-large", Error, "A model is larger than the memory of the engine.";
    AdapterTooLarge = "adapter-too-large", Error, "An adapter is larger than the memory of the engine.";
    AdapterBesideModel = "adapter-beside-model", Warning, "A model leaves no memory for one of its adapters.";
    NoAdapterSlots = "no-adapter-slots", Warning, "Models have adapters, and the engine keeps none.";
    NoLoads = "no-loads", Warning, "The weight store allows no loads, so engines keep what they hold.";
    NoFetch = "no-fetch", Warning, "Only one of the two numbers for fetches of cached prompt parts is set, so engines fetch nothing.";
    ScalingBounds = "scaling-bounds", Error, "The least number of engines is above the largest.";
    ScalingToZero = "scaling-to-zero", Warning, "The largest number of engines is 0.";
    SameKey = "same-key", Error, "An API key is given twice; only the later team has it.";
    NoKeys = "no-keys", Warning, "A team has no API key.";
    BurstBelowRequest = "burst-below-request", Error, "The burst of a team is below the tokens of one request.";
    ZeroLimit = "zero-limit", Error, "A limit on callers is 0, so every request is refused.";
    HeaderAboveBody = "header-above-body", Warning, "Headers may be larger than bodies.";
    IdleBelowHeader = "idle-below-header", Error, "The idle timeout is below the header timeout.";
}

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The rule that is broken.
    pub rule: Rule,
    /// Path of the field; empty for the whole document.
    pub path: String,
    /// Line of the field, or of the innermost value around it.
    pub line: u64,
    /// What is wrong, for operators.
    pub message: String,
}

impl Finding {
    /// Returns how bad the finding is.
    pub fn severity(&self) -> Severity {
        self.rule.severity()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "document" } else { &self.path };
        let (line, severity, rule) = (self.line, self.severity(), self.rule.name());
        write!(f, "line {line}: {severity}: {path}: {} [{rule}]", self.message)
    }
}
