//! Sends requests while the path to the endpoints may be cut: watches connections and responses that
//! take long, and passes a request to another instance.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    arrival::Origin,
    forward::Job,
    grants::Permit,
    relay,
    response::{Rejection, ResponseBody},
};
use crate::{
    http::pool::{Connection, SendError},
    kernel::{
        grants::Grant,
        reach::{PendingRequest, Way, choose_way},
    },
};

/// Time after which a connection that is not open yet lets this instance check its path. Connections
/// open within milliseconds, and a check that begins only when the attempt has failed would double the
/// time until an instance that is cut off passes the request on or rejects it.
const SLOW_CONNECT: Duration = Duration::from_millis(50);

/// Time after which an endpoint that has not begun to respond is probed.
const SUSPICIOUS_WAIT: Duration = Duration::from_millis(400);

impl Job {
    /// Passes the request to another instance, or rejects it, if this one is cut off from the
    /// endpoints. Returns `None` if the request is to be sent to an endpoint: also if no instance
    /// takes it, and a few endpoints can still be reached from here.
    pub(super) async fn avoid_cut(&mut self) -> Option<Result<Response<ResponseBody>, Rejection>> {
        let request = PendingRequest {
            is_relayed: self.origin == Origin::Instance,
            was_declined: self.was_declined,
            was_unreached: self.was_unreached,
            may_have_run: self.runs > 0,
        };
        match choose_way(self.gateway.path(&self.service), request) {
            Way::Direct => None,
            Way::Relay => {
                let result = relay::run(self).await;
                self.was_declined = matches!(result, Err(Rejection::CutOff));
                self.was_unreached = false;
                let is_last = !self.was_declined || !self.gateway.has_reached(&self.service);
                is_last.then_some(result)
            }
            Way::Reject => Some(Err(Rejection::CutOff)),
        }
    }

    /// Opens a connection to the granted endpoint, or takes an idle one. While it takes long, the path to
    /// the endpoints is checked.
    pub(super) async fn connect_watched(
        &self,
        grant: &Grant,
        time_limit: Duration,
    ) -> Result<Connection, SendError> {
        let mut acquired = std::pin::pin!(self.gateway.pool.acquire(grant.address, time_limit));
        if let Ok(result) = timeout(SLOW_CONNECT, &mut acquired).await {
            return result;
        }
        let gateway = self.gateway.clone();
        tokio::spawn(async move { gateway.check_path().await });
        acquired.await
    }

    /// Sends a request on a connection and waits for the head of the response. An endpoint that lets
    /// it wait is probed, since the path to it may be cut.
    pub(super) async fn send_watched(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        permit: &Permit,
    ) -> Result<Response<Incoming>, SendError> {
        let mut exchange = std::pin::pin!(connection.send(request));
        if let Ok(result) = timeout(SUSPICIOUS_WAIT, &mut exchange).await {
            return result;
        }
        self.gateway.suspect(&permit.grant.endpoint, permit.grant.address);
        exchange.await
    }
}
