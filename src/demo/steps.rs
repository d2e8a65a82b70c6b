//! Demo steps with single requests and keys.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::{
    Check, DemoError,
    caller::Caller,
    config::COUNTER_KEY,
    fleet::{Fleet, POLL_INTERVAL},
};
use crate::{
    cli::{change::edit, key::new_key},
    codes::Code,
    config::{RawKey, hash_key},
};

/// Output tokens of the streamed chat.
const CHAT_TOKENS: u64 = 40;

/// Longest time until every instance must refuse a withdrawn key.
const MAX_WITHDRAWAL_TIME: Duration = Duration::from_secs(4);

/// Longest wait for the instances to refuse a withdrawn key.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(15);

/// Checks that a streamed chat completion arrives complete.
pub async fn streamed_chat(fleet: &Fleet) -> Result<Check, DemoError> {
    let caller = Caller::new(COUNTER_KEY);
    let addresses = caller.addresses(fleet.instances[0].listen).await?;
    let address = addresses.first().copied().unwrap_or(fleet.instances[0].listen);
    let response = caller.chat(address, "glue", CHAT_TOKENS, true).await?;
    let (events, complete) = response.events();
    let passed = response.status == 200 && complete && events as u64 >= CHAT_TOKENS;
    let observed = format!(
        "{} addresses offered, status {}, {events} events, explicit end: {complete}",
        addresses.len(),
        response.status
    );
    Ok(Check::new("a streamed chat arrives whole", passed, observed))
}

/// Checks that a payment that is sent to two instances is executed once.
pub async fn payment_twice(fleet: &Fleet) -> Result<Check, DemoError> {
    let caller = Caller::new(COUNTER_KEY);
    let id = "restock-7";
    let first = caller.pay(fleet.instances[0].listen, id).await?;
    let second = caller.pay(fleet.instances[3].listen, id).await?;
    let runs: u64 = fleet
        .ledgers
        .iter()
        .map(|endpoint| endpoint.standin.runs().get(id).copied().unwrap_or(0))
        .sum();
    let passed = first.status == 200 && runs == 1;
    let observed = format!(
        "first answer {}, second answer {} (code {}), runs at the ledgers: {runs}",
        first.status,
        second.status,
        second.code()
    );
    Ok(Check::new("a payment sent twice lands once", passed, observed))
}

/// Checks that every instance refuses a key soon after its withdrawal; the key is first created and
/// used for a request.
pub async fn key_withdrawn(fleet: &Fleet) -> Result<Check, DemoError> {
    let name = "a withdrawn key stops working within seconds";
    let key = new_key();
    let entry = RawKey { team: "counter".to_owned(), hash: hash_key(&key) };
    println!("key give spare --team counter");
    let remote = fleet.remote();
    let creation = edit(&remote, |config| {
        config.keys.insert("spare".to_owned(), entry.clone());
        Ok(())
    });
    creation.await.map_err(|err| DemoError::Operator(err.to_string()))?;
    let caller = Caller::new(key);
    let response = caller.chat(fleet.instances[2].listen, "spar", 4, false).await?;
    if response.status != 200 {
        let observed = format!("the key was not accepted: status {}", response.status);
        return Ok(Check::new(name, false, observed));
    }
    println!("key withdraw spare");
    let start = Instant::now();
    let withdrawal = edit(&remote, |config| {
        config.keys.remove("spare");
        Ok(())
    });
    let refusals = async {
        for instance in &fleet.instances {
            while !is_refused(&caller, instance.listen).await
                && start.elapsed() < WITHDRAWAL_TIMEOUT
            {
                sleep(POLL_INTERVAL).await;
            }
        }
        start.elapsed()
    };
    let (withdrawn, elapsed) = tokio::join!(withdrawal, refusals);
    withdrawn.map_err(|err| DemoError::Operator(err.to_string()))?;
    let observed = format!(
        "refused by all {} instances after {:.2} s",
        fleet.instances.len(),
        elapsed.as_secs_f64()
    );
    Ok(Check::new(name, elapsed <= MAX_WITHDRAWAL_TIME, observed))
}

/// Returns whether an instance refuses the caller's key.
async fn is_refused(caller: &Caller, address: std::net::SocketAddr) -> bool {
    let response = caller.chat(address, "spar", 1, false).await;
    response.is_ok_and(|response| response.code() == u64::from(Code::KeyUnknown.number()))
}
