//! Responses of an engine stand-in, whole or streamed, with the faults that a test has set.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::HeaderValue;
use http_body::Frame;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;
use volo_http::{request::Request, response::Response};

use super::{Engine, EngineFaults};
use crate::{
    http::{BodySender, REQUEST_HEADER, channel_body, json_response as respond_json},
    names::Model,
};

/// Body of a request for a completion.
#[derive(Deserialize)]
struct CompletionRequest {
    model: Model,
    /// Whether the response is streamed.
    #[serde(default)]
    stream: bool,
    /// Number of output tokens.
    #[serde(default = "default_tokens")]
    max_tokens: u64,
}

/// Number of output tokens of a request that sets no bound.
fn default_tokens() -> u64 {
    16
}

/// Body of a whole response, or one event of a streamed one.
#[derive(Serialize)]
struct CompletionChunk<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [serde_json::Value; 1],
}

/// A completion that the engine generates.
struct Completion {
    engine: Arc<Engine>,
    /// Faults at the start of the request.
    faults: EngineFaults,
    /// Id of the request.
    request: String,
    model: Model,
    /// Index of the first token to send; greater than zero when a stream is resumed.
    first_token: u64,
    /// Number of output tokens, including those before `first_token`.
    tokens: u64,
    /// Incarnation of the engine at the start of the request.
    incarnation: u64,
    _running: RunningRequest,
}

/// Returns the text of a token, which depends only on its index.
pub fn token_text(index: u64) -> String {
    format!("t{index} ")
}

/// Handles a request for a completion.
pub async fn handle_completion(engine: Arc<Engine>, request: Request, body: Bytes) -> Response {
    let requested: CompletionRequest = match serde_json::from_slice(&body) {
        Ok(requested) => requested,
        Err(err) => return respond_json(400, &err.to_string()),
    };
    if !engine.memory.lock().is_resident(&requested.model) {
        return respond_json(404, &"model not resident");
    }
    let faults = engine.faults.lock().clone();
    let text = String::from_utf8_lossy(&body);
    let must_crash = !faults.crash_on.is_empty() && text.contains(&faults.crash_on);
    let incarnation = *engine.incarnation.borrow();
    let running = start_request(&engine);
    if must_crash || !running.within_limit {
        engine.crash();
        return broken_response();
    }
    let completion = Completion {
        first_token: header_value(&request, "x-resume-from").parse().unwrap_or(0),
        request: header_value(&request, REQUEST_HEADER),
        model: requested.model,
        tokens: requested.max_tokens,
        incarnation,
        _running: running,
        faults,
        engine,
    };
    sleep(Duration::from_millis(completion.faults.late_ms)).await;
    if requested.stream { completion.respond_streamed() } else { completion.respond_whole().await }
}

/// Returns the value of a header, or an empty string if the request has no such header.
fn header_value(request: &Request, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// A running request, which the engine counts until this value is dropped.
struct RunningRequest {
    engine: Arc<Engine>,
    /// Whether the engine was warm or its number of running requests was within the cold limit.
    within_limit: bool,
}

/// Counts a request as running.
fn start_request(engine: &Arc<Engine>) -> RunningRequest {
    let mut load = engine.load.lock();
    load.running += 1;
    let mut counts = engine.counts.lock();
    counts.started += 1;
    counts.peak = counts.peak.max(load.running);
    let settings = &engine.settings;
    let cold = settings.cold_limit > 0 && load.completed < settings.warm_after;
    RunningRequest {
        engine: engine.clone(),
        within_limit: !cold || load.running <= settings.cold_limit,
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.engine.load.lock().running -= 1;
    }
}

impl Completion {
    /// Returns the request id that the response names; under the `cross` fault it is another one.
    fn response_id(&self) -> String {
        if self.faults.cross { "another-request".to_owned() } else { self.request.clone() }
    }

    /// Waits until the engine restarts, which ends all requests that it ran before.
    async fn wait_for_restart(&self) {
        let mut incarnation = self.engine.incarnation.subscribe();
        // The wait cannot fail, since the sender lives as long as the engine.
        let _ = incarnation.wait_for(|number| *number != self.incarnation).await;
    }

    /// Generates all tokens and returns them in one response.
    async fn respond_whole(self) -> Response {
        let settings = &self.engine.settings;
        let time = settings.first_ms + settings.token_ms * self.tokens;
        tokio::select! {
            () = sleep(Duration::from_millis(time)) => {}
            () = self.wait_for_restart() => return broken_response(),
        }
        let text: String = (0..self.tokens).map(token_text).collect();
        let choice = json!({ "index": 0, "finish_reason": "length",
            "message": { "role": "assistant", "content": text }, "text": text });
        let response_id = self.response_id();
        let chunk = CompletionChunk {
            id: &response_id,
            object: "chat.completion",
            model: self.model.as_str(),
            choices: [choice],
        };
        let mut body = serde_json::to_value(chunk).unwrap_or_default();
        body["usage"] = json!({ "prompt_tokens": 1, "completion_tokens": self.tokens });
        self.record_completion(self.tokens);
        with_request_id(respond_json(200, &body), &response_id)
    }

    /// Counts the completion and its tokens.
    fn record_completion(&self, tokens: u64) {
        self.engine.load.lock().completed += 1;
        let mut counts = self.engine.counts.lock();
        counts.completed += 1;
        counts.tokens += tokens;
    }

    /// Returns a response whose body is streamed by a task.
    fn respond_streamed(self) -> Response {
        let response_id = self.response_id();
        let (tx, body) = channel_body();
        let mut response = Response::new(body);
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", kind);
        tokio::spawn(self.send_stream(tx));
        with_request_id(response, &response_id)
    }

    /// Sends all events of a streamed response, and an error if the engine fails.
    async fn send_stream(self, tx: BodySender) {
        let generation = async {
            sleep(Duration::from_millis(self.engine.settings.first_ms)).await;
            self.send_tokens(&tx).await
        };
        let sent = tokio::select! {
            sent = generation => sent,
            () = self.wait_for_restart() => Err(()),
        };
        match sent {
            Ok(()) => self.record_completion(self.tokens.saturating_sub(self.first_token)),
            Err(()) => drop(tx.send(Err("engine failed".into())).await),
        }
    }

    /// Sends an event for each token and the explicit end of the stream; fails if a fault cuts the
    /// stream or if its receiver is gone.
    async fn send_tokens(&self, tx: &BodySender) -> Result<(), ()> {
        let response_id = self.response_id();
        for index in self.first_token..self.tokens {
            self.inject_fault(index).await?;
            let choice = json!({ "index": 0, "delta": { "content": token_text(index) } });
            let chunk = CompletionChunk {
                id: &response_id,
                object: "chat.completion.chunk",
                model: self.model.as_str(),
                choices: [choice],
            };
            let text = serde_json::to_string(&chunk).unwrap_or_default();
            send_text(tx, format!("data: {text}\n\n")).await?;
            if self.engine.settings.token_ms > 0 {
                sleep(Duration::from_millis(self.engine.settings.token_ms)).await;
            }
        }
        send_text(tx, "data: [DONE]\n\n".to_owned()).await
    }

    /// Applies the faults that are set to happen before token `index`; fails if they end the stream.
    async fn inject_fault(&self, index: u64) -> Result<(), ()> {
        let is_reached = |after: u64| after > 0 && index == after;
        if is_reached(self.faults.stall_after) {
            std::future::pending::<()>().await;
        }
        if is_reached(self.faults.die_after) {
            self.engine.crash();
            return Err(());
        }
        if is_reached(self.faults.cut_after) { Err(()) } else { Ok(()) }
    }
}

/// Sends a part of a body; fails if its receiver is gone.
async fn send_text(tx: &BodySender, text: String) -> Result<(), ()> {
    tx.send(Ok(Frame::data(Bytes::from(text)))).await.map_err(|_| ())
}

/// Returns a response whose body ends with an error.
fn broken_response() -> Response {
    let (tx, body) = channel_body();
    tokio::spawn(async move { tx.send(Err("engine failed".into())).await });
    Response::new(body)
}

/// Returns the response with a header that names its request.
fn with_request_id(mut response: Response, response_id: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(response_id) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}
