//! Numbered events of the log and the timeline.
//!
//! `docs/EVENTS.md` contains the same table, and a test compares the two.

use log::Level;

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A numbered event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the number, whose meaning never changes.
            pub fn number(self) -> u32 {
                match self { $(Event::$name => $number,)* }
            }

            /// Returns the log level.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// Returns the name as written in the documentation.
            pub fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)* }
            }

            /// Returns what the event means.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    InstanceStarted = 2001, Info, "The instance serves requests.";
    InstanceDraining = 2002, Info, "The instance takes no new work and finishes what runs.";
    InstanceStopped = 2003, Info, "The instance finished its work and exits.";
    InstanceCutOff = 2004, Warn, "The instance is cut off and refuses keyed work.";
    InstanceRejoined = 2005, Info, "The instance is in contact again.";
    PausedAndResumed = 2006, Warn, "The process was paused for longer than a renewal interval.";
    RequestAdmitted = 2101, Debug, "A request passed key, class and rate.";
    RequestRefused = 2102, Info, "A request was refused.";
    RequestDispatched = 2103, Debug, "The steward sent a request to its endpoint.";
    RequestCompleted = 2104, Debug, "A request was answered whole.";
    RequestFailed = 2105, Warn, "A request failed after it may have run.";
    StreamResumed = 2106, Info, "A cut stream goes on at its offset.";
    StreamCancelled = 2107, Debug, "The caller left and the request was cancelled.";
    AnswerDropped = 2108, Warn, "A late or crossed answer was dropped.";
    ConfigInForce = 2201, Info, "A configuration version is in force on this instance.";
    ConfigRejected = 2202, Warn, "A configuration version was not accepted.";
    ConfigConfirmed = 2203, Info, "Most of the instances confirmed a configuration version.";
    StewardTaken = 2301, Info, "The instance became steward of an endpoint.";
    StewardLost = 2302, Warn, "The instance is no longer steward of an endpoint.";
    StewardHandedOver = 2303, Info, "The instance handed an endpoint over.";
    LeaseRenewFailed = 2304, Warn, "The lease could not be renewed.";
    StewardSubstituted = 2305, Warn, "The instance dispatches for a steward that ended while the service is down.";
    OrderIntent = 2401, Info, "An order was recorded before it is sent.";
    OrderSent = 2402, Info, "An order was sent to an endpoint.";
    OrderClosed = 2403, Info, "A report confirmed an order.";
    OrderFailed = 2404, Warn, "An order was refused or not answered.";
    MoveRefused = 2405, Warn, "A planned load does not fit into free memory.";
    EndpointCold = 2501, Info, "An endpoint is treated as cold.";
    EndpointWarm = 2502, Info, "An endpoint bears its full load.";
    EndpointCrashed = 2503, Warn, "An endpoint restarted or refused connections.";
    SuspectRefused = 2504, Warn, "A request that crashed endpoints was refused.";
    PeerUp = 2601, Info, "A link to another instance works.";
    PeerDown = 2602, Warn, "A link to another instance failed or went silent.";
    PlatformDown = 2603, Warn, "The platform's service does not answer.";
    PlatformUp = 2604, Info, "The platform's service answers again.";
    ShareChanged = 2701, Info, "The instance's share of the teams' rates changed.";
    LoanGranted = 2702, Debug, "The instance lent a part of its share.";
    LoanTaken = 2703, Debug, "The instance borrowed a part of a share.";
    ClaimCommitted = 2801, Info, "The id of a non-repeatable request was recorded.";
    ClaimReleased = 2802, Info, "A claim was withdrawn because the request was not sent.";
    ClaimRepeated = 2803, Info, "A repeated id was answered without running again.";
    BucketTaken = 2804, Info, "The instance owns a bucket of ids.";
    PlannerTaken = 2901, Info, "The instance holds the planner's duty.";
    PlanWritten = 2902, Info, "The planner wrote a placement plan.";
}
