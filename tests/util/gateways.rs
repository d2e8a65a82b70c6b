//! Gateway processes with the stand-ins for the users' platform.

use std::{path::Path, sync::Arc, time::Duration};

use bytes::Bytes;
use cardamomshore::{
    http::pool::Pool,
    soak::process::{GatewayProcess, free_address},
    standin::{
        caller::{CallerRequest, stamped_endpoint},
        metadata::MetadataStore,
        operator::Document,
        worker::{Worker, WorkerLog, WorkerSettings},
    },
};
use http_body_util::BodyExt;

const HOST: &str = "gateways.example";
const KEY: &str = "gateways-key";
const TEAM: &str = "kites";
const TIMEOUT: Duration = Duration::from_secs(2);

/// Data centres of the gateways and the servers, one of each in each.
pub const DATA_CENTRES: [&str; 2] = ["dc-a", "dc-b"];

/// A response: its status, and the endpoint that made it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub endpoint: Option<String>,
}

/// Gateways and a plain service in two data centres, and the store that they share.
pub struct World {
    pub store: Arc<MetadataStore>,
    pub gateways: Vec<GatewayProcess>,
    pub workers: Vec<Worker>,
    pub version: u64,
    /// Names of the routes that the operators' document has besides the first ones.
    pub added: Vec<String>,
}

impl World {
    /// Starts the stand-ins and the gateways, which are ready when this returns.
    pub async fn start(name: &str) -> Self {
        let store = MetadataStore::start();
        let log = Arc::new(WorkerLog::default());
        let mut world = Self {
            store,
            gateways: Vec::new(),
            workers: Vec::new(),
            version: 0,
            added: Vec::new(),
        };
        world.write_document();
        for data_centre in DATA_CENTRES {
            let settings = WorkerSettings {
                service: "desk".to_owned(),
                data_centre: data_centre.to_owned(),
                address: free_address(),
                slots: 16,
                models: Vec::new(),
                model_slots: 0,
                fatal_part: "fa7a1".to_owned(),
            };
            world.workers.push(Worker::start(settings, world.store.clone(), log.clone()));
        }
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        for data_centre in DATA_CENTRES {
            let binary = Path::new(env!("CARGO_BIN_EXE_cardamomshore"));
            let instance = format!("gateway-{data_centre}");
            let store = world.store.clone();
            let gateway = GatewayProcess::start(binary, &folder, instance, data_centre, store);
            world.gateways.push(gateway.expect("expected the gateway to start"));
        }
        for gateway in &world.gateways {
            gateway.wait_ready().await.expect("expected the gateway to become ready");
        }
        world
    }

    /// Writes the next version of the operators' document.
    pub fn write_document(&mut self) {
        self.version += 1;
        self.write_again();
    }

    /// Writes the current version of the operators' document again.
    pub fn write_again(&self) {
        let document = Document {
            version: self.version,
            host: HOST,
            models: &[],
            team: TEAM,
            keys: vec![KEY],
            added: self.added.clone(),
        };
        self.store.put(Document::key(), &document.to_text());
    }

    /// Adds a route with the next version of the operators' document.
    pub fn add_route(&mut self, name: &str) {
        self.added.push(name.to_owned());
        self.write_document();
    }

    /// Raises the store's revision, without a change that matters to anybody.
    pub fn raise_revision(&self, count: usize) {
        (0..count).for_each(|number| self.store.put("other/count", &number.to_string()));
    }

    /// Sends a request on a route to a gateway; `None` without a whole response.
    pub async fn call(&self, gateway: usize, route: &str) -> Option<Answer> {
        let request = CallerRequest {
            id: format!("{:016x}", rand::random::<u64>()),
            host: HOST,
            path: format!("/{route}/1"),
            key: KEY,
            timeout: TIMEOUT,
            prompt: None,
        };
        let pool: Arc<Pool> = Arc::default();
        let address = self.gateways[gateway].callers;
        let mut connection = pool.acquire(address, TIMEOUT).await.ok()?;
        let response = connection.send(request.to_http()).await.ok()?;
        let status = response.status().as_u16();
        let endpoint = stamped_endpoint(response.headers());
        let _: Bytes = response.into_body().collect().await.ok()?.to_bytes();
        Some(Answer { status, endpoint })
    }

    /// Returns whether all gateways serve a route.
    pub async fn all_serve(&self, route: &str) -> bool {
        for gateway in 0..self.gateways.len() {
            if self.call(gateway, route).await.is_none_or(|answer| answer.status != 200) {
                return false;
            }
        }
        true
    }
}
