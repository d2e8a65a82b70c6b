//! Loans between instances of parts of a team's rate and burst.

/// Requests a loan of parts of a team's rate and burst.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoanRequest {
    /// Team whose parts do not suffice at the borrower.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Total parts that are wanted from this lender, including those that it already lends.
    #[prost(uint32, tag = "2")]
    pub parts: u32,
    /// Number of the request at the borrower, by which a repeated one is recognized.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Incarnation of the borrower.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Name of the borrower.
    #[prost(string, tag = "7")]
    pub instance: String,
}

/// The reply to a [`LoanRequest`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoanGrant {
    /// Total parts that are lent, which replace an earlier loan of the same lender.
    #[prost(uint32, tag = "1")]
    pub parts: u32,
    /// Tokens that are handed over with the loan.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// TTL of the loan in milliseconds, counted from when the borrower sent its request.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
    /// Number of the request.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}
