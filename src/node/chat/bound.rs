//! Bounds an answer to the tokens that its team is charged.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::codes::{Code, Refusal};

/// Most tokens of an answer.
const MAX_TOKENS: u64 = 131_072;

/// Most answers to one request.
const MAX_OUTPUTS: u64 = 128;

/// What decides how many tokens a request can generate.
#[derive(Deserialize)]
struct GenerationParams {
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    best_of: Option<u64>,
    #[serde(default)]
    prompt: Value,
}

/// A request whose engine cannot generate more tokens than `answer`.
pub struct BoundedRequest {
    /// Body with the bound in it.
    pub body: Bytes,
    /// Most tokens of all its answers together.
    pub output_tokens: u64,
}

/// Writes the bound into a body that has none or a higher one; `default` is the model's.
pub fn bound_output(body: Bytes, default: u64) -> Result<BoundedRequest, Refusal> {
    let malformed = |_| Refusal::not_run(Code::BadRequest);
    let size: GenerationParams = serde_json::from_slice(&body).map_err(malformed)?;
    let stated = size.max_completion_tokens.or(size.max_tokens);
    let each = stated.unwrap_or(default).min(MAX_TOKENS);
    let answer = each * output_count(&size)?;
    if size.max_tokens == Some(each) && size.max_completion_tokens.is_none() {
        return Ok(BoundedRequest { body, output_tokens: answer });
    }
    let mut document: Map<String, Value> = serde_json::from_slice(&body).map_err(malformed)?;
    document.remove("max_completion_tokens");
    document.insert("max_tokens".to_owned(), each.into());
    let body = serde_json::to_vec(&document).map_err(malformed)?;
    Ok(BoundedRequest { body: body.into(), output_tokens: answer })
}

/// Returns how many answers an engine generates.
fn output_count(size: &GenerationParams) -> Result<u64, Refusal> {
    let prompts = match &size.prompt {
        Value::Array(items) if !items.iter().all(Value::is_number) => items.len() as u64,
        _ => 1,
    };
    let each = size.n.unwrap_or(1).max(size.best_of.unwrap_or(1));
    let answers = prompts.saturating_mul(each);
    if answers > MAX_OUTPUTS { Err(Refusal::not_run(Code::BadRequest)) } else { Ok(answers) }
}
