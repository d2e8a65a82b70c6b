//! Gateway processes with the stand-ins for the users' platform.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use cardamomshore::{
    http::pool::Pool,
    soak::process::{GatewayProcess, free_address},
    standin::{
        caller::{CallerRequest, PART_TOKENS, Prompt, TakeUp, stamped_endpoint},
        duties::DutyApi,
        metadata::MetadataStore,
        operator::Document,
        worker::{Worker, WorkerFaults, WorkerLog, WorkerSettings},
    },
};
use http_body_util::BodyExt;
use serde_json::Value;

use super::{gate::Gate, run_folder};

const HOST: &str = "gateways.example";
const KEY: &str = "gateways-key";
const TEAM: &str = "kites";
const TIMEOUT: Duration = Duration::from_secs(2);

/// Data centres of the gateways and the servers, one of each in each.
pub const DATA_CENTRES: [&str; 2] = ["dc-a", "dc-b"];

/// Returns the address of the leader in the store's record; `None` if nobody leads.
pub fn leader_address(store: &MetadataStore) -> Option<SocketAddr> {
    let record: Value = serde_json::from_str(&store.value("cardamomshore/leader")?).ok()?;
    record["address"].as_str()?.parse().ok()
}

/// A response: its status, and the endpoint that made it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub endpoint: Option<String>,
}

/// Model of the engines.
pub const MODEL: &str = "m0";

/// Gateways, engines and a plain service in two data centres, and the store that they share.
pub struct World {
    pub store: Arc<MetadataStore>,
    pub gateways: Vec<GatewayProcess>,
    pub workers: Vec<Worker>,
    /// What the workers have seen.
    pub log: Arc<WorkerLog>,
    /// Platform API for the duties; `None` if the gateways have none.
    pub duties: Option<DutyApi>,
    pub version: u64,
    /// Names of the routes that the operators' document has besides the first ones.
    pub added: Vec<String>,
    /// Least number of endpoints of the plain service in each data centre, if it is scaled.
    pub scaling: Option<u32>,
    /// Whether engines fetch cached prompt parts from one another.
    pub fetches: bool,
    /// Name of the team that holds the key.
    pub team: &'static str,
    /// Time for which callers wait.
    pub timeout: Duration,
    /// Folder of the gateways' settings and logs.
    pub folder: PathBuf,
}

impl World {
    /// Starts the stand-ins and the gateways, which are ready when this returns.
    pub async fn start(name: &str) -> Self {
        Self::start_with_engines(name, &[]).await
    }

    /// Starts the same with an engine of each of these software versions.
    pub async fn start_with_engines(name: &str, versions: &[&str]) -> Self {
        Self::start_in(name, &DATA_CENTRES, versions).await
    }

    /// Starts the same with a gateway for each of `homes`, in the data centre that it names.
    pub async fn start_in(name: &str, homes: &[&str], versions: &[&str]) -> Self {
        Self::start_all(name, homes, versions, None).await
    }

    /// Starts the same with duties towards a platform API.
    pub async fn start_with_duties(name: &str, homes: &[&str], versions: &[&str]) -> Self {
        let api = DutyApi::start(free_address()).expect("expected the API to start");
        let address = api.address;
        Self::start_all(name, homes, versions, Some((api, address))).await
    }

    /// Starts the same with a platform API that gateways reach through `gate`.
    pub async fn start_with_gate(name: &str, homes: &[&str], api: DutyApi, gate: &Gate) -> Self {
        Self::start_all(name, homes, &["v1"], Some((api, gate.address))).await
    }

    async fn start_all(
        name: &str,
        homes: &[&str],
        versions: &[&str],
        duties: Option<(DutyApi, SocketAddr)>,
    ) -> Self {
        let (duties, api) = duties.unzip();
        let mut world = Self {
            store: MetadataStore::start(),
            gateways: Vec::new(),
            workers: Vec::new(),
            log: Arc::default(),
            duties,
            version: 0,
            added: Vec::new(),
            scaling: None,
            fetches: false,
            team: TEAM,
            timeout: TIMEOUT,
            folder: run_folder(name),
        };
        world.write_document();
        for data_centre in DATA_CENTRES {
            world.start_worker("desk", data_centre, "v1", Vec::new());
        }
        for (index, version) in versions.iter().enumerate() {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            world.start_worker("engines", data_centre, version, vec![MODEL.to_owned()]);
        }
        for (number, data_centre) in homes.iter().enumerate() {
            let binary = Path::new(env!("CARGO_BIN_EXE_cardamomshore"));
            let instance = format!("gateway-{data_centre}-{number}");
            let store = world.store.clone();
            let gateway =
                GatewayProcess::start(binary, &world.folder, instance, data_centre, store, api);
            world.gateways.push(gateway.expect("expected the gateway to start"));
        }
        world.wait_ready().await;
        world
    }

    pub fn start_worker(
        &mut self,
        service: &str,
        data_centre: &str,
        version: &str,
        models: Vec<String>,
    ) {
        let settings = WorkerSettings {
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            version: version.to_owned(),
            address: free_address(),
            slots: 16,
            models,
            fatal_part: "fa7a1".to_owned(),
        };
        self.workers.push(Worker::start(settings, self.store.clone(), self.log.clone()));
    }

    /// Returns the index of the gateway that leads.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.value("cardamomshore/leader")?;
        let names = |gateway: &GatewayProcess| record.contains(&format!("\"{}\"", gateway.name));
        self.gateways.iter().position(names)
    }

    /// Waits until all gateways are ready.
    pub async fn wait_ready(&self) {
        for gateway in &self.gateways {
            gateway.wait_ready().await.expect("expected the gateway to become ready");
        }
    }

    /// Kills all gateways and starts them again.
    pub async fn restart_all(&mut self) {
        self.gateways.iter_mut().for_each(GatewayProcess::kill);
        for gateway in &mut self.gateways {
            gateway.restart().expect("expected the gateway to start");
        }
        self.wait_ready().await;
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
            models: &[MODEL],
            team: self.team,
            keys: vec![KEY],
            added: self.added.clone(),
            scaling: self.scaling,
            fetches: self.fetches,
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
        let id = format!("{:016x}", rand::random::<u64>());
        let request = CallerRequest { path: format!("/{route}/1"), ..self.request(id) };
        let pool: Arc<Pool> = Arc::default();
        let address = self.gateways[gateway].callers;
        let mut connection = pool.acquire(address, TIMEOUT).await.ok()?;
        let response = connection.send(request.to_http()).await.ok()?;
        let status = response.status().as_u16();
        let endpoint = stamped_endpoint(response.headers());
        let _: Bytes = response.into_body().collect().await.ok()?.to_bytes();
        Some(Answer { status, endpoint })
    }

    /// Sends a request for a stream to a gateway, and reads it up to the event `last`, if it has so
    /// many. Returns the status and the number of events, or `None` without a response.
    pub async fn stream(
        &self,
        gateway: usize,
        id: &str,
        take_up: Option<TakeUp>,
        last: usize,
    ) -> Option<(u16, usize)> {
        let prompt = Prompt {
            model: MODEL.to_owned(),
            parts: vec!["aa".to_owned()],
            part_tokens: PART_TOKENS,
        };
        let path = "/chat/1".to_owned();
        let message =
            CallerRequest { path, prompt: Some(prompt), take_up, ..self.request(id.to_owned()) };
        let pool: Arc<Pool> = Arc::default();
        let address = self.gateways[gateway].callers;
        let mut connection = pool.acquire(address, TIMEOUT).await.ok()?;
        let response = connection.send(message.to_http()).await.ok()?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut text = String::new();
        while text.matches("\n\n").count() < last
            && let Some(Ok(frame)) = body.frame().await
        {
            text.push_str(&String::from_utf8_lossy(frame.data_ref().map_or(&[], |data| data)));
        }
        Some((status, text.matches("\n\n").count()))
    }

    /// Returns the software versions that ran the requests with these ids, in the order of time.
    pub fn versions_of(&self, ids: &[&str]) -> Vec<String> {
        let runs = self.log.runs().into_iter();
        runs.filter(|run| ids.contains(&&*run.request)).map(|run| run.version).collect()
    }

    /// Returns whether all gateways serve a route.
    pub async fn all_serve(&self, route: &str) -> bool {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        self.serve(&all, route).await
    }

    /// Returns whether each of these gateways serves a route.
    pub async fn serve(&self, gateways: &[usize], route: &str) -> bool {
        for gateway in gateways {
            if self.call(*gateway, route).await.is_none_or(|answer| answer.status != 200) {
                return false;
            }
        }
        true
    }

    /// Returns a request without a path.
    pub fn request(&self, id: String) -> CallerRequest {
        CallerRequest {
            id,
            host: HOST,
            path: String::new(),
            key: KEY,
            timeout: self.timeout,
            prompt: None,
            take_up: None,
        }
    }

    /// Returns the team for which a request ran; `None` if it has not run.
    pub fn team_of(&self, id: &str) -> Option<String> {
        let runs = self.log.runs().into_iter();
        runs.filter(|run| run.request == id).find_map(|run| run.team)
    }

    /// Sets the faults of all endpoints.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.workers.iter().for_each(|worker| worker.set_faults(faults));
    }
}
