//! Bounds the output of a request to the tokens that its team is charged.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::codes::{Code, Refusal};

/// Most tokens of one output.
const MAX_OUTPUT_TOKENS: u64 = 131_072;

/// Most outputs for one request.
const MAX_OUTPUTS: u64 = 128;

/// The fields of a request that decide how many tokens an engine can generate for it.
#[derive(Deserialize)]
struct GenerationParams {
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    best_of: Option<u64>,
    #[serde(default)]
    prompt: Value,
}

/// A request for which an engine cannot generate more than `output_tokens`.
pub struct BoundedRequest {
    /// The request's body, with the bound written into it.
    pub body: Bytes,
    /// Most tokens of all outputs together.
    pub output_tokens: u64,
}

/// Writes a bound into a body that has none or a higher one.
///
/// `default` is the model's bound for a body without one. Fails for a malformed body, or one that
/// requests too many outputs.
pub fn bound_output(body: Bytes, default: u64) -> Result<BoundedRequest, Refusal> {
    let malformed = |_| Refusal::not_run(Code::BadRequest);
    let params: GenerationParams = serde_json::from_slice(&body).map_err(malformed)?;
    let stated = params.max_completion_tokens.or(params.max_tokens);
    let max_tokens = stated.unwrap_or(default).min(MAX_OUTPUT_TOKENS);
    let output_tokens = max_tokens * output_count(&params)?;
    if params.max_tokens == Some(max_tokens) && params.max_completion_tokens.is_none() {
        return Ok(BoundedRequest { body, output_tokens });
    }
    let mut document: Map<String, Value> = serde_json::from_slice(&body).map_err(malformed)?;
    document.remove("max_completion_tokens");
    document.insert("max_tokens".to_owned(), max_tokens.into());
    let body = serde_json::to_vec(&document).map_err(malformed)?;
    Ok(BoundedRequest { body: body.into(), output_tokens })
}

/// Returns the number of outputs that an engine generates for a request.
fn output_count(params: &GenerationParams) -> Result<u64, Refusal> {
    let prompts = match &params.prompt {
        Value::Array(items) if !items.iter().all(Value::is_number) => items.len() as u64,
        _ => 1,
    };
    let each = params.n.unwrap_or(1).max(params.best_of.unwrap_or(1));
    let count = prompts.saturating_mul(each);
    if count > MAX_OUTPUTS { Err(Refusal::not_run(Code::BadRequest)) } else { Ok(count) }
}
