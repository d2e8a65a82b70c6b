//! Loans of parts of a team's rate and burst.

/// Asks for a loan of a part of a team's rate and burst.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoanRequest {
    /// Team whose rate is short.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Parts that are wanted from this lender in all.
    #[prost(uint32, tag = "2")]
    pub parts: u32,
    /// Number of the ask at the borrower, so that a repeated ask is recognized.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Incarnation of the borrower.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Name of the borrower.
    #[prost(string, tag = "7")]
    pub instance: String,
}

/// Answer to a [`LoanRequest`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoanGrant {
    /// Parts that are lent in all, which replace an earlier loan of the same lender.
    #[prost(uint32, tag = "1")]
    pub parts: u32,
    /// Tokens that are handed over at once.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Length of the loan in milliseconds, counted from when the borrower asked.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
    /// Number of the ask.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}
