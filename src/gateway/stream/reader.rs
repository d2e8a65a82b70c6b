//! Reads the events of an endpoint's response.

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::super::forward::Job;
use crate::{
    http::pool::Connection,
    kernel::event_splitter::{EventSplitter, Split},
    platform::caller::ResponseHead,
};

/// Splits the body of an endpoint's response into events.
pub(super) struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
    connection: Connection,
    /// Headers of the response.
    pub headers: HeaderMap,
    head: ResponseHead,
}

/// The next part of an endpoint's response.
pub(super) enum Part {
    /// A complete event and its number, if it names one.
    Event(Bytes, Option<u64>),
    /// The body has ended after a complete event.
    End,
    /// The connection failed, the body ended within an event, or an event is too long.
    Broken,
}

impl EventReader {
    /// Creates the reader of a response.
    pub fn new(
        body: Incoming,
        connection: Connection,
        headers: HeaderMap,
        head: ResponseHead,
    ) -> Self {
        Self { body, splitter: EventSplitter::default(), connection, headers, head }
    }

    /// Waits for the next part of the response.
    pub async fn next(&mut self) -> Part {
        loop {
            match self.splitter.split() {
                Split::Event(event, number) => return Part::Event(event, number),
                Split::TooLong => return Part::Broken,
                Split::Incomplete => {}
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(_)) => return Part::Broken,
                None if self.splitter.is_empty() => return Part::End,
                None => return Part::Broken,
            }
        }
    }

    /// Returns the connection of a completely read response to the pool.
    pub fn release_connection(self, job: &Job) {
        job.release_connection(self.connection, &self.headers, &self.head);
    }
}
