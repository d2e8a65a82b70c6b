//! Compares two binaries on bodies and streams of ordinary size, one load after the other in one run:
//!
//! `CARDAMOMSHORE_COMPARE=BEFORE,AFTER cargo test --test abuse compare -- --ignored --nocapture`

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cardamomshore::http::pool::{Connection, Pool};
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::time::Instant;

use super::target::{EVENT_COUNT, MAX_BODY, Target};
use crate::util::block_on;

/// Times that each load is applied to each binary.
const ROUNDS: usize = 9;

/// A load: its name, the path, the size of each body, and the number of requests.
type Load = (&'static str, &'static str, usize, usize);

const LOADS: [Load; 5] = [
    ("requests of 1 kB", "/look/1", 1 << 10, 600),
    ("requests of 64 kB", "/look/1", 64 << 10, 300),
    ("requests of 1 MB", "/look/1", MAX_BODY, 60),
    ("responses of 1 MB", "/look/big", 0, 60),
    ("streams of 2,000 events", "/flow/1", 0, 10),
];

/// Sends the requests of a load on one connection and reads the responses.
async fn apply(address: SocketAddr, (_, path, size, count): Load) {
    let pool: Arc<Pool> = Arc::default();
    let connected = pool.acquire(address, Duration::from_secs(2)).await;
    let mut connection: Connection = connected.expect("expected a connection");
    for _ in 0..count {
        let request = Request::post(path)
            .header("host", "abuse.example")
            .header("x-request-id", format!("{:016x}", rand::random::<u64>()))
            .header("x-deadline-ms", "10000")
            .header("authorization", "Token abuse-key")
            .body(Full::new(Bytes::from(vec![b'x'; size])))
            .expect("the names and values are valid");
        let response = connection.send(request).await.expect("expected a response");
        assert_eq!(response.status(), 200);
        let body = response.into_body().collect().await.expect("expected the body").to_bytes();
        assert!(!path.starts_with("/flow/") || body.len() > EVENT_COUNT * 180);
    }
}

/// Shows whether the budget makes bodies or streams slower. Prints medians; it asserts nothing, since
/// times depend on what else runs.
#[test]
#[ignore = "needs two release builds, see the module"]
fn compare_ordinary_sizes() {
    block_on(async {
        let paths = std::env::var("CARDAMOMSHORE_COMPARE").expect("expected two paths");
        let (before, after) = paths.split_once(',').expect("expected two paths");
        let targets = [
            Target::start_binary("compare-before", before).await,
            Target::start_binary("compare-after", after).await,
        ];
        for load in LOADS {
            let mut times = [Vec::new(), Vec::new()];
            let mut ticks = [0, 0];
            for round in 0..ROUNDS + 1 {
                // The order changes, so that neither binary always has the warmer caches.
                for index in if round % 2 == 0 { [0, 1] } else { [1, 0] } {
                    let target = &targets[index];
                    let (started_at, cpu) = (Instant::now(), target.cpu_ticks());
                    apply(target.callers, load).await;
                    // The first round opens connections to the endpoint.
                    if round > 0 {
                        times[index].push(started_at.elapsed());
                        ticks[index] += target.cpu_ticks() - cpu;
                    }
                }
            }
            times.iter_mut().for_each(|times| times.sort());
            let [before, after] = times.map(|times| times[ROUNDS / 2].as_secs_f64() * 1e3);
            println!(
                "{}: median {before:.1} and {after:.1} ms, processor {} and {} ms in all",
                load.0,
                ticks[0] * 10,
                ticks[1] * 10
            );
        }
    });
}
