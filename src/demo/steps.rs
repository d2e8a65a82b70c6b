//! The steps about single requests and keys.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::{
    Check, DemoError,
    caller::Caller,
    config::COUNTER_KEY,
    fleet::{Fleet, LOOK_PERIOD},
};
use crate::{
    cli::{change::edit, key::new_key},
    codes::Code,
    config::{RawKey, hash_key},
};

/// Tokens of the streamed chat.
const CHAT_TOKENS: u64 = 40;

/// Time within which a withdrawn key must be refused by every instance.
const WITHDRAWN_LIMIT: Duration = Duration::from_secs(4);

/// Longest time that the demo waits for anything.
const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// A streamed chat arrives whole.
pub async fn streamed_chat(fleet: &Fleet) -> Result<Check, DemoError> {
    let caller = Caller::new(COUNTER_KEY);
    let addresses = caller.addresses(fleet.instances[0].listen).await?;
    let address = addresses.first().copied().unwrap_or(fleet.instances[0].listen);
    let answer = caller.chat(address, "glue", CHAT_TOKENS, true).await?;
    let (events, whole) = answer.events();
    let held = answer.status == 200 && whole && events as u64 >= CHAT_TOKENS;
    let seen = format!(
        "{} addresses offered, status {}, {events} events, explicit end: {whole}",
        addresses.len(),
        answer.status
    );
    Ok(Check::new("a streamed chat arrives whole", held, seen))
}

/// A payment that is sent twice, to two instances, lands once.
pub async fn payment_twice(fleet: &Fleet) -> Result<Check, DemoError> {
    let caller = Caller::new(COUNTER_KEY);
    let id = "restock-7";
    let first = caller.pay(fleet.instances[0].listen, id).await?;
    let second = caller.pay(fleet.instances[3].listen, id).await?;
    let runs: u64 =
        fleet.ledgers.iter().map(|part| part.standin.runs().get(id).copied().unwrap_or(0)).sum();
    let held = first.status == 200 && runs == 1;
    let seen = format!(
        "first answer {}, second answer {} (code {}), runs at the ledgers: {runs}",
        first.status,
        second.status,
        second.code()
    );
    Ok(Check::new("a payment sent twice lands once", held, seen))
}

/// A key is given, works, is withdrawn and is then refused by every instance.
pub async fn key_withdrawn(fleet: &Fleet) -> Result<Check, DemoError> {
    let name = "a withdrawn key stops working within seconds";
    let key = new_key();
    let entry = RawKey { team: "counter".to_owned(), hash: hash_key(&key) };
    println!("key give spare --team counter");
    let remote = fleet.remote();
    let given = edit(&remote, |config| {
        config.keys.insert("spare".to_owned(), entry.clone());
        Ok(())
    });
    given.await.map_err(|err| DemoError::Operator(err.to_string()))?;
    let caller = Caller::new(key);
    let answer = caller.chat(fleet.instances[2].listen, "spar", 4, false).await?;
    if answer.status != 200 {
        let seen = format!("the key was not accepted: status {}", answer.status);
        return Ok(Check::new(name, false, seen));
    }
    println!("key withdraw spare");
    let start = Instant::now();
    let withdraw = edit(&remote, |config| {
        config.keys.remove("spare");
        Ok(())
    });
    let refused = async {
        for instance in &fleet.instances {
            while !is_refused(&caller, instance.listen).await && start.elapsed() < WAIT_LIMIT {
                sleep(LOOK_PERIOD).await;
            }
        }
        start.elapsed()
    };
    let (withdrawn, took) = tokio::join!(withdraw, refused);
    withdrawn.map_err(|err| DemoError::Operator(err.to_string()))?;
    let seen = format!(
        "refused by all {} instances after {:.2} s",
        fleet.instances.len(),
        took.as_secs_f64()
    );
    Ok(Check::new(name, took <= WITHDRAWN_LIMIT, seen))
}

async fn is_refused(caller: &Caller, address: std::net::SocketAddr) -> bool {
    let answer = caller.chat(address, "spar", 1, false).await;
    answer.is_ok_and(|answer| answer.code() == u64::from(Code::KeyUnknown.number()))
}
