//! Tests of the engines that requests name as holders of the beginning of their prompts.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cardamomshore::{
    http::pool::Pool,
    standin::{
        caller::{CallerRequest, Prompt},
        worker::WorkerFaults,
    },
};
use http::HeaderValue;
use http_body_util::BodyExt;
use tokio::time::sleep;

use crate::util::{
    block_on,
    gateways::{DATA_CENTRES, MODEL, World},
    wait_until,
};

/// Tokens of each part of the prompts.
const PART_TOKENS: usize = 6_000;

/// Time to prefill a part.
const PREFILL: Duration = Duration::from_millis(150);

/// Holder that callers name in their requests.
const FORGED: &str = "10.9.9.9:1";

/// Time until a change of the document is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Sends a request for a stream that names a forged holder, and reads it to its end.
async fn send_forged(message: CallerRequest, gateway: std::net::SocketAddr) -> Option<Bytes> {
    let mut request = message.to_http();
    request.headers_mut().insert("kv-fetch", HeaderValue::from_static(FORGED));
    let pool: Arc<Pool> = Arc::default();
    let mut connection = pool.acquire(gateway, message.timeout).await.ok()?;
    let response = connection.send(request).await.ok()?;
    Some(response.into_body().collect().await.ok()?.to_bytes())
}

fn message(world: &World, id: &str, parts: &[&str]) -> CallerRequest {
    let prompt = Prompt {
        model: MODEL.to_owned(),
        parts: parts.iter().map(|part| (*part).to_owned()).collect(),
        part_tokens: PART_TOKENS,
    };
    CallerRequest {
        path: "/chat/1".to_owned(),
        prompt: Some(prompt),
        ..world.request(id.to_owned())
    }
}

/// Guards against a request that reaches an engine without the holder of its grant, or with a holder that
/// the caller has named.
#[test]
fn fetch_holder_arrives_and_is_never_the_callers() {
    block_on(async {
        let mut world = World::start_with_engines("fetch", &["v1", "v1"]).await;
        world.fetches = true;
        world.add_route("fetches");
        wait_until("the fields in force", APPLY_TIME, || world.all_serve("fetches")).await;
        let leader = world.leader().expect("a gateway leads");
        let other = (0..DATA_CENTRES.len()).find(|gateway| *gateway != leader);
        let address = world.gateways[other.expect("a second gateway")].callers;

        // The leader learns how long the engines prefill.
        world.set_faults(WorkerFaults { start_pause: PREFILL, ..WorkerFaults::default() });
        let first = message(&world, "0000000000000001", &["aa"]);
        send_forged(first, address).await.expect("expected a response");
        let run_of = |id: &str| world.log.runs().into_iter().find(|run| run.request == id);
        let first = run_of("0000000000000001").expect("the request ran");
        assert_eq!(first.holder, None, "no engine holds the prompt");

        // A long prompt that begins in the same way keeps one engine busy.
        let holder = world.workers.iter().find(|worker| worker.id() == first.endpoint);
        let holder = holder.expect("the engine is up");
        let pause = Duration::from_millis(1_000);
        world.set_faults(WorkerFaults { start_pause: pause, ..WorkerFaults::default() });
        let long = message(&world, "0000000000000002", &["aa", "b1", "b2", "b3", "b4", "b5"]);
        let long = tokio::spawn(send_forged(long, address));
        let runs = || async { run_of("0000000000000002").is_some() };
        wait_until("the long prompt runs", APPLY_TIME, runs).await;
        sleep(Duration::from_millis(50)).await;
        let second = message(&world, "0000000000000003", &["aa"]);
        send_forged(second, address).await.expect("expected a response");
        long.await.expect("the task ends").expect("expected a response");

        // Either the long prompt runs where its beginning is cached, and the short one must fetch, or
        // the other way round.
        let runs = ["0000000000000002", "0000000000000003"].map(|id| run_of(id).expect("it ran"));
        assert_ne!(runs[0].endpoint, runs[1].endpoint);
        for run in runs {
            let is_elsewhere = run.endpoint != first.endpoint;
            assert_eq!(run.holder, is_elsewhere.then(|| holder.address().to_string()));
        }
        let holders = world.log.runs().into_iter().filter_map(|run| run.holder);
        assert!(!holders.into_iter().any(|holder| holder == FORGED));
    });
}
