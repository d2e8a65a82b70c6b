//! Stand-ins for the scripts of the review: the platform's store, servers and clients. A case starts
//! gateway processes, plays one sequence of events and says whether a rule was broken.
//!
//! Usage: standins CASE RECORD. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With TROUBLE=0 in the environment the disruption is left out.

mod base;
mod engine;
mod forged;
mod large;
mod late_orders;
mod names;
mod parts;
mod platform;
mod tokens;

use std::{io, process::exit, sync::Arc, time::Duration};

use base::Record;
use platform::{Gateway, Store, end_gateways};

/// What a case is played with.
pub struct Stage {
    pub store: Arc<Store>,
    pub record: Record,
    /// Whether the disruption is played.
    pub has_trouble: bool,
    folder: String,
}

impl Stage {
    /// Starts `count` gateways, each in another zone, and waits until they are ready.
    pub fn start_gateways(&self, count: usize) -> io::Result<Vec<Gateway>> {
        let zones = ["zone-a", "zone-b", "zone-c"];
        let start = |index| Gateway::start(index, zones[index % 3], &self.store, &self.folder);
        let gateways = (0..count).map(start).collect::<io::Result<Vec<_>>>()?;
        for gateway in &gateways {
            gateway.wait_ready()?;
            self.record.note(format!("gateway {} serves at {}", gateway.name, gateway.callers));
        }
        Ok(gateways)
    }
}

fn play() -> io::Result<bool> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        return Err(io::Error::other("usage: standins CASE RECORD"));
    };
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let stage = Stage {
        store: Store::start()?,
        record: Record::new(record)?,
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        folder: folder.to_string_lossy().into_owned(),
    };
    let result = match case.as_str() {
        "large" => large::play(&stage),
        "late-orders" => late_orders::play(&stage),
        "forged" => forged::play(&stage),
        "names" => names::play(&stage),
        "parts" => parts::play(&stage),
        "tokens" => tokens::play(&stage),
        _ => Err(io::Error::other("unknown case")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    result
}

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        end_gateways();
        println!("could not run: not done after {TIME_LIMIT:?}");
        exit(2)
    });
    let result = play();
    end_gateways();
    match result {
        Ok(true) => {
            println!("rule broken");
            exit(1)
        }
        Ok(false) => println!("rule held"),
        Err(err) => {
            println!("could not run: {err}");
            exit(2)
        }
    }
}
