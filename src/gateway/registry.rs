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
        store::{Event, StoreError, WatchResult},
    },
};

/// Longest wait of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Time between two looks whether the store must be read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which changes are gathered, so that one call brings several.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Time without the leader after which an instance reads the store itself.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after the start for which an instance waits for the leader's table.
const START_TIMEOUT: Duration = Duration::from_millis(200);

/// The endpoints as they were last read.
#[derive(Default)]
pub struct Registry {
    table: Mutex<HashMap<Arc<str>, Registration>>,
    initialized: AtomicBool,
}

impl Registry {
    /// Returns whether the endpoints were read at least once.
    pub fn is_initialized(&self) -> bool {
        self.initialized.load(Ordering::Acquire)
    }
}

impl Gateway {
    /// Takes what the leader says of the endpoints.
    pub(super) fn handle_endpoints(&self, frame: EndpointsFrame) {
        {
            let mut table = self.registry.table.lock();
            if frame.full {
                table.clear();
            }
            for id in frame.removed {
                table.remove(&*id);
            }
            let changed =
                frame.changed.into_iter().filter_map(|endpoint| endpoint.into_registration());
            table.extend(changed.map(|info| (info.id.clone(), info)));
        }
        self.apply_table();
    }

    fn apply_table(&self) {
        let table: Vec<Registration> = self.registry.table.lock().values().cloned().collect();
        self.scheduler.lock().set_endpoints(table, Time::now());
        self.registry.initialized.store(true, Ordering::Release);
    }

    fn must_watch_endpoints(&self) -> bool {
        let alone = if self.uplink.was_linked() { LEADER_TIMEOUT } else { START_TIMEOUT };
        self.leadership.leads() || self.uplink.frame_age() > alone
    }
}

/// Follows the endpoints' entries while this instance needs to.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        if gateway.must_watch_endpoints()
            && let Err(err) = follow_entries(&gateway).await
        {
            log::debug!("event=store_lost what=endpoints reason={err}");
            sleep(POLL_INTERVAL.mul_f64(rand::random_range(1.0..3.0))).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn follow_entries(gateway: &Gateway) -> Result<(), StoreError> {
    let page = gateway.store.range(ENDPOINT_PREFIX).await?;
    {
        let mut table = gateway.registry.table.lock();
        table.clear();
        let entries = page.items.iter().filter_map(|item| decode_entry(&item.key, &item.value));
        table.extend(entries.map(|info| (info.id.clone(), info)));
    }
    gateway.apply_table();
    let mut revision = page.revision;
    while gateway.must_watch_endpoints() {
        match gateway.store.watch(ENDPOINT_PREFIX, revision, WATCH_TIMEOUT).await? {
            WatchResult::Missed => return Ok(()),
            WatchResult::Events(events, at) => {
                let any = !events.is_empty();
                events.into_iter().for_each(|event| apply_event(gateway, event));
                if any {
                    gateway.apply_table();
                }
                revision = at.max(revision);
                sleep(BATCH_DELAY).await;
            }
        }
    }
    Ok(())
}

fn decode_entry(key: &str, value: &[u8]) -> Option<Registration> {
    decode(key.strip_prefix(ENDPOINT_PREFIX)?, value)
}

fn apply_event(gateway: &Gateway, event: Event) {
    let mut table = gateway.registry.table.lock();
    match event {
        Event::Put(item) => match decode_entry(&item.key, &item.value) {
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
