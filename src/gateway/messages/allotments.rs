//! Frames about what instances may grant without a leader.

use prost::Message;

use crate::kernel::grants::{Allotment, Allotments, Subject};

/// What an instance may grant without a leader.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AllotmentsFrame {
    /// Term of the leader that handed it out.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Number that grows with each allotment of that leader.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Fraction of each rate that the instance has besides.
    #[prost(double, tag = "3")]
    pub reserve: f64,
    /// The allotments.
    #[prost(message, repeated, tag = "4")]
    pub list: Vec<AllotmentFrame>,
}

/// What an instance may use of one team's rate, or of the slots of a service.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AllotmentFrame {
    /// Name of the team or the service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether the name is that of a service.
    #[prost(bool, tag = "2")]
    pub is_service: bool,
    /// Fraction for the instance.
    #[prost(float, tag = "3")]
    pub fraction: f32,
    /// Upper bound of the sum of the fractions of all instances.
    #[prost(float, tag = "4")]
    pub total: f32,
    /// Tokens that are available to the instance now.
    #[prost(sint64, tag = "5")]
    pub tokens: i64,
}

/// What the sending instance holds, or that it has applied what it was sent.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct HeldAllotmentsFrame {
    /// What the instance holds when it joins a leader.
    #[prost(message, optional, tag = "1")]
    pub held: Option<AllotmentsFrame>,
    /// Version of the allotments of this leader that the instance has applied; zero if none.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
}

impl From<&Allotments> for AllotmentsFrame {
    fn from(allotments: &Allotments) -> Self {
        let Allotments { term, version, reserve, list } = allotments;
        let list = list.iter().map(AllotmentFrame::from).collect();
        Self { term: *term, version: *version, reserve: *reserve, list }
    }
}

impl From<&Allotment> for AllotmentFrame {
    fn from(allotment: &Allotment) -> Self {
        let (name, is_service) = match &allotment.subject {
            Subject::Team(name) => (name, false),
            Subject::Service(name) => (name, true),
        };
        Self {
            name: name.to_string(),
            is_service,
            fraction: allotment.fraction as f32,
            total: allotment.total as f32,
            tokens: allotment.tokens as i64,
        }
    }
}

impl From<AllotmentsFrame> for Allotments {
    fn from(frame: AllotmentsFrame) -> Self {
        let AllotmentsFrame { term, version, reserve, list } = frame;
        let list = list.into_iter().map(Allotment::from).collect();
        Self { term, version, reserve, list }
    }
}

impl From<AllotmentFrame> for Allotment {
    fn from(frame: AllotmentFrame) -> Self {
        let subject = match frame.is_service {
            true => Subject::Service(frame.name.into()),
            false => Subject::Team(frame.name.into()),
        };
        Self {
            subject,
            fraction: frame.fraction.into(),
            total: frame.total.into(),
            tokens: frame.tokens as f64,
        }
    }
}
