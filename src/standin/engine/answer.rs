//! Answers of an engine stand-in: whole or streamed, and cut, crossed or late on demand.

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
    http::{BodySender, REQUEST_HEADER, channel_body, json_response as answer_json},
    names::Model,
};

#[derive(Deserialize)]
struct Asked {
    model: Model,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
}

fn default_tokens() -> u64 {
    16
}

#[derive(Serialize)]
struct Piece<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [serde_json::Value; 1],
}

struct Answer {
    engine: Arc<Engine>,
    faults: EngineFaults,
    request: String,
    model: Model,
    first: u64,
    tokens: u64,
    incarnation: u64,
    _running: Running,
}

/// Returns the text of a token, which depends on its place alone.
pub fn token(index: u64) -> String {
    format!("t{index} ")
}

/// Answers a completion.
pub async fn complete(engine: Arc<Engine>, request: Request, body: Bytes) -> Response {
    let asked: Asked = match serde_json::from_slice(&body) {
        Ok(asked) => asked,
        Err(err) => return answer_json(400, &err.to_string()),
    };
    if !engine.memory.lock().has(&asked.model) {
        return answer_json(404, &"model not resident");
    }
    let faults = engine.faults.lock().clone();
    let text = String::from_utf8_lossy(&body);
    let poisoned = !faults.crash_on.is_empty() && text.contains(&faults.crash_on);
    let incarnation = *engine.incarnation.borrow();
    let running = start(&engine);
    if poisoned || !running.borne {
        engine.crash();
        return cut_body();
    }
    let answer = Answer {
        first: header(&request, "x-resume-from").parse().unwrap_or(0),
        request: header(&request, REQUEST_HEADER),
        model: asked.model,
        tokens: asked.max_tokens,
        incarnation,
        _running: running,
        faults,
        engine,
    };
    sleep(Duration::from_millis(answer.faults.late_ms)).await;
    if asked.stream { answer.stream() } else { answer.whole().await }
}

fn header(request: &Request, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// A request that runs.
struct Running {
    engine: Arc<Engine>,
    borne: bool,
}

/// Counts a request in and notes whether the engine bears it.
fn start(engine: &Arc<Engine>) -> Running {
    let mut load = engine.load.lock();
    load.running += 1;
    let mut counts = engine.counts.lock();
    counts.started += 1;
    counts.peak = counts.peak.max(load.running);
    let settings = &engine.settings;
    let cold = settings.cold_limit > 0 && load.since_start < settings.warm_after;
    Running { engine: engine.clone(), borne: !cold || load.running <= settings.cold_limit }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.engine.load.lock().running -= 1;
    }
}

impl Answer {
    fn named(&self) -> String {
        if self.faults.cross { "another-request".to_owned() } else { self.request.clone() }
    }

    /// Waits until the engine restarts, which ends what it ran before.
    async fn restarted(&self) {
        let mut incarnation = self.engine.incarnation.subscribe();
        // The sender lives as long as the engine.
        let _ = incarnation.wait_for(|number| *number != self.incarnation).await;
    }

    async fn whole(self) -> Response {
        let settings = &self.engine.settings;
        let time = settings.first_ms + settings.token_ms * self.tokens;
        tokio::select! {
            () = sleep(Duration::from_millis(time)) => {}
            () = self.restarted() => return cut_body(),
        }
        let text: String = (0..self.tokens).map(token).collect();
        let choice = json!({ "index": 0, "finish_reason": "length",
            "message": { "role": "assistant", "content": text }, "text": text });
        let named = self.named();
        let piece = Piece {
            id: &named,
            object: "chat.completion",
            model: self.model.as_str(),
            choices: [choice],
        };
        let mut body = serde_json::to_value(piece).unwrap_or_default();
        body["usage"] = json!({ "prompt_tokens": 1, "completion_tokens": self.tokens });
        self.complete(self.tokens);
        named_answer(answer_json(200, &body), &named)
    }

    fn complete(&self, tokens: u64) {
        self.engine.load.lock().since_start += 1;
        let mut counts = self.engine.counts.lock();
        counts.completed += 1;
        counts.tokens += tokens;
    }

    fn stream(self) -> Response {
        let named = self.named();
        let (tx, body) = channel_body();
        let mut answer = Response::new(body);
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert("content-type", kind);
        tokio::spawn(self.feed(tx));
        named_answer(answer, &named)
    }

    async fn feed(self, tx: BodySender) {
        let generation = async {
            sleep(Duration::from_millis(self.engine.settings.first_ms)).await;
            self.feed_tokens(&tx).await
        };
        let sent = tokio::select! {
            sent = generation => sent,
            () = self.restarted() => Err(()),
        };
        match sent {
            Ok(()) => self.complete(self.tokens.saturating_sub(self.first)),
            Err(()) => drop(tx.send(Err("engine failed".into())).await),
        }
    }

    async fn feed_tokens(&self, tx: &BodySender) -> Result<(), ()> {
        let named = self.named();
        for index in self.first..self.tokens {
            self.fail_at(index).await?;
            let choice = json!({ "index": 0, "delta": { "content": token(index) } });
            let piece = Piece {
                id: &named,
                object: "chat.completion.chunk",
                model: self.model.as_str(),
                choices: [choice],
            };
            let text = serde_json::to_string(&piece).unwrap_or_default();
            send(tx, format!("data: {text}\n\n")).await?;
            if self.engine.settings.token_ms > 0 {
                sleep(Duration::from_millis(self.engine.settings.token_ms)).await;
            }
        }
        send(tx, "data: [DONE]\n\n".to_owned()).await
    }

    async fn fail_at(&self, index: u64) -> Result<(), ()> {
        let at = |limit: u64| limit > 0 && index == limit;
        if at(self.faults.stall_after) {
            std::future::pending::<()>().await;
        }
        if at(self.faults.die_after) {
            self.engine.crash();
            return Err(());
        }
        if at(self.faults.cut_after) { Err(()) } else { Ok(()) }
    }
}

async fn send(tx: &BodySender, text: String) -> Result<(), ()> {
    tx.send(Ok(Frame::data(Bytes::from(text)))).await.map_err(|_| ())
}

fn cut_body() -> Response {
    let (tx, body) = channel_body();
    tokio::spawn(async move { tx.send(Err("engine failed".into())).await });
    Response::new(body)
}

fn named_answer(mut answer: Response, named: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(named) {
        answer.headers_mut().insert(REQUEST_HEADER, value);
    }
    answer
}
