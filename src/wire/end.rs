//! Conversions between the end of a response and the refusal that it may stand for.

use super::End;
use crate::codes::{Code, Refusal, RunStatus};

impl End {
    /// Creates the end of a complete response.
    pub fn completed(used: u64) -> Self {
        Self { used_tokens: used, ..Self::default() }
    }
}

impl From<&Refusal> for End {
    fn from(refusal: &Refusal) -> Self {
        Self {
            code: refusal.code.number(),
            may_have_run: refusal.run == RunStatus::Unknown,
            retry_after_ms: refusal.retry_ms.unwrap_or(0),
            ..Self::default()
        }
    }
}

impl End {
    /// Returns the refusal that this end stands for, or `None` for a complete response.
    pub fn refusal(&self) -> Option<Refusal> {
        if self.code == 0 {
            return None;
        }
        let code = Code::from_number(self.code).unwrap_or(Code::Internal);
        let run = if self.may_have_run { RunStatus::Unknown } else { RunStatus::NotRun };
        let retry_ms = (self.retry_after_ms > 0).then_some(self.retry_after_ms);
        Some(Refusal { code, run, retry_ms })
    }
}
