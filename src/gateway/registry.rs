//! The endpoints: read from the store by the leader, and by instances that do not hear from it.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::time::sleep;

use super::{Gateway, messages::EndpointsFrame};
use crate::{
    clock::Time,
    kernel::grants::Registration,
    platform::{
        registration::{ENDPOINT_PREFIX, decode},
        store::{Event, StoreError, Watched},
    },
};

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Time between two looks whether the store must be read.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Time for which changes are gathered, so that one call brings several.
const GATHER_TIME: Duration = Duration::from_millis(40);

/// Time without the leader after which an instance reads the store itself.
const ALONE_AFTER: Duration = Duration::from_millis(900);

/// Time after the start for which an instance waits for the leader's table.
const START_WAIT: Duration = Duration::from_millis(200);

/// The endpoints as they were last read.
#[derive(Default)]
pub struct Registry {
    table: Mutex<HashMap<Arc<str>, Registration>>,
    known: AtomicBool,
}

impl Registry {
    /// Returns whether the endpoints were read at least once.
    pub fn is_known(&self) -> bool {
        self.known.load(Ordering::Acquire)
    }
}

impl Gateway {
    /// Takes what the leader says of the endpoints.
    pub(super) fn take_endpoints(&self, frame: EndpointsFrame) {
        {
            let mut table = self.registry.table.lock();
            if frame.whole {
                table.clear();
            }
            for id in frame.gone {
                table.remove(&*id);
            }
            let changed = frame.changed.into_iter().filter_map(|endpoint| endpoint.registration());
            table.extend(changed.map(|info| (info.id.clone(), info)));
        }
        self.use_table();
    }

    fn use_table(&self) {
        let table: Vec<Registration> = self.registry.table.lock().values().cloned().collect();
        self.scheduler.lock().set_endpoints(table, Time::now());
        self.registry.known.store(true, Ordering::Release);
    }

    fn must_read(&self) -> bool {
        let alone = if self.uplink.was_joined() { ALONE_AFTER } else { START_WAIT };
        self.leadership.leads() || self.uplink.silence() > alone
    }
}

/// Follows the endpoints' entries while this instance needs to.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        if gateway.must_read()
            && let Err(err) = follow(&gateway).await
        {
            log::debug!("event=store_lost what=endpoints reason={err}");
            sleep(LOOK_PERIOD.mul_f64(rand::random_range(1.0..3.0))).await;
        }
        sleep(LOOK_PERIOD).await;
    }
}

async fn follow(gateway: &Gateway) -> Result<(), StoreError> {
    let page = gateway.store.range(ENDPOINT_PREFIX).await?;
    {
        let mut table = gateway.registry.table.lock();
        table.clear();
        let entries = page.items.iter().filter_map(|item| read(&item.key, &item.value));
        table.extend(entries.map(|info| (info.id.clone(), info)));
    }
    gateway.use_table();
    let mut revision = page.revision;
    while gateway.must_read() {
        match gateway.store.watch(ENDPOINT_PREFIX, revision, WATCH_WAIT).await? {
            Watched::Lost => return Ok(()),
            Watched::Events(events, at) => {
                let any = !events.is_empty();
                events.into_iter().for_each(|event| note(gateway, event));
                if any {
                    gateway.use_table();
                }
                revision = at.max(revision);
                sleep(GATHER_TIME).await;
            }
        }
    }
    Ok(())
}

fn read(key: &str, value: &[u8]) -> Option<Registration> {
    decode(key.strip_prefix(ENDPOINT_PREFIX)?, value)
}

fn note(gateway: &Gateway, event: Event) {
    let mut table = gateway.registry.table.lock();
    match event {
        Event::Put(item) => match read(&item.key, &item.value) {
            Some(info) => drop(table.insert(info.id.clone(), info)),
            None => log::debug!("event=endpoint_ignored key={}", item.key),
        },
        Event::Removed(key) => {
            if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
                table.remove(id);
            }
        }
    }
}
