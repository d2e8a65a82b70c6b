//! Fleet of the demo: instances and stand-ins in this process, which listen on loopback addresses.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{net::TcpListener, time::sleep};

use super::{
    DemoError,
    config::{ENGINE_MB, ENGINES, MODEL_MB, config_text},
};
use crate::{
    cli::remote::{ApplyResult, Remote},
    names::{DataCentre, EndpointId, InstanceId},
    node::{Listeners, Node, operator::VersionedConfig},
    platform::{InstanceList, ListedEndpoint, ListedInstance, ListedState},
    settings::{LogSettings, Settings},
    standin::{
        engine::{self, Engine, EngineSettings},
        platform::{self, Platform},
        service::{self, Ledger},
    },
};

/// Longest wait for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Name and data centre of each instance.
const INSTANCES: &[(&str, &str)] =
    &[("entry-a1", "dc-a"), ("entry-a2", "dc-a"), ("entry-b1", "dc-b"), ("entry-b2", "dc-b")];

/// Name and data centre of each ledger.
const LEDGERS: &[(&str, &str)] = &[("ledger-a", "dc-a"), ("ledger-b", "dc-b")];

/// A running fleet, which ends with the process.
pub struct Fleet {
    /// Settings of each instance.
    pub instances: Vec<Settings>,
    /// Nodes of the instances, in the same order.
    pub nodes: Vec<Arc<Node>>,
    /// Stand-ins of the engines.
    pub engines: Vec<StandinEndpoint<Engine>>,
    /// Stand-ins of the ledger service.
    pub ledgers: Vec<StandinEndpoint<Ledger>>,
}

/// An endpoint that a stand-in serves.
pub struct StandinEndpoint<T> {
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// State of the stand-in.
    pub standin: Arc<T>,
    /// Entry of the endpoint in the platform's instance list.
    listed: ListedEndpoint,
}

impl Fleet {
    /// Starts all stand-ins and instances and waits until every instance serves.
    pub async fn start() -> Result<Self, DemoError> {
        let (listener, platform_address) = bind().await?;
        let platform = Arc::new(Platform::default());
        tokio::spawn(platform::run(listener, platform.clone()));
        let engines = start_engines().await?;
        let ledgers = start_ledgers().await?;
        let mut instances = Vec::new();
        let mut listeners = Vec::new();
        for (id, data_centre) in INSTANCES {
            let (settings, bound) = bind_instance(id, data_centre, platform_address).await?;
            instances.push(settings);
            listeners.push(bound);
        }
        platform.set_list(instance_list(&instances, &engines, &ledgers));
        let mut nodes = Vec::new();
        for (settings, bound) in instances.iter().zip(listeners) {
            let node = Node::new(settings.clone());
            tokio::spawn(node.clone().run(bound));
            nodes.push(node);
        }
        let fleet = Self { instances, nodes, engines, ledgers };
        fleet.configure().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns a client with the operator addresses of all instances.
    pub fn remote(&self) -> Remote {
        Remote::new(self.instances.iter().map(|instance| instance.operator).collect())
    }

    /// Writes the first configuration.
    async fn configure(&self) -> Result<(), DemoError> {
        match self.remote().apply(&VersionedConfig { seen: 0, text: config_text() }).await {
            ApplyResult::Done(_) => Ok(()),
            ApplyResult::Conflict(_) => Err(DemoError::NotReady(
                "conflict with a configuration that was already written".to_owned(),
            )),
            ApplyResult::Refused(reason) | ApplyResult::Unknown(reason) => {
                Err(DemoError::NotReady(reason))
            }
        }
    }

    /// Waits until every instance has a configuration and knows all endpoints.
    async fn wait_ready(&self) -> Result<(), DemoError> {
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            let endpoints = self.engines.len() + self.ledgers.len();
            if self
                .nodes
                .iter()
                .all(|node| node.config().is_some() && node.known_endpoints() == endpoints)
            {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(DemoError::NotReady(
            "an instance has no configuration or does not know every endpoint".to_owned(),
        ))
    }
}

/// Opens a listening socket on a free loopback port.
async fn bind() -> Result<(TcpListener, SocketAddr), DemoError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Returns the settings of an instance and its listening sockets.
async fn bind_instance(
    id: &str,
    data_centre: &str,
    platform: SocketAddr,
) -> Result<(Settings, Listeners), DemoError> {
    let (callers, listen) = bind().await?;
    let (peers, peer) = bind().await?;
    let (operators, operator) = bind().await?;
    let settings = Settings {
        instance: InstanceId::from(id),
        data_centre: DataCentre::from(data_centre),
        listen,
        peer,
        operator,
        platform: vec![platform],
        list: platform,
        log: LogSettings { spec: String::new(), json: false },
    };
    Ok((settings, Listeners { callers, peers, operators }))
}

/// Starts the stand-ins of all engines, with their models resident.
async fn start_engines() -> Result<Vec<StandinEndpoint<Engine>>, DemoError> {
    let mut engines = Vec::new();
    for (id, data_centre, models) in ENGINES {
        let (listener, address) = bind().await?;
        let settings = EngineSettings {
            memory_mb: ENGINE_MB,
            preload: models.iter().map(|model| ((*model).to_owned(), MODEL_MB)).collect(),
            ..EngineSettings::default()
        };
        let standin = Arc::new(Engine::new(settings));
        tokio::spawn(engine::run(listener, standin.clone()));
        engines.push(standin_endpoint(id, data_centre, "assistant", address, standin));
    }
    Ok(engines)
}

/// Starts the stand-ins of the ledger service.
async fn start_ledgers() -> Result<Vec<StandinEndpoint<Ledger>>, DemoError> {
    let mut ledgers = Vec::new();
    for (id, data_centre) in LEDGERS {
        let (listener, address) = bind().await?;
        let standin = Arc::new(Ledger::default());
        tokio::spawn(service::run(listener, standin.clone()));
        ledgers.push(standin_endpoint(id, data_centre, "ledger", address, standin));
    }
    Ok(ledgers)
}

/// Returns a live endpoint that a stand-in serves at an address.
fn standin_endpoint<T>(
    id: &str,
    data_centre: &str,
    pool: &str,
    address: SocketAddr,
    standin: Arc<T>,
) -> StandinEndpoint<T> {
    let listed = ListedEndpoint {
        id: EndpointId::from(id),
        data_centre: DataCentre::from(data_centre),
        pool: pool.into(),
        address,
        state: ListedState::Live,
    };
    StandinEndpoint { data_centre: listed.data_centre.clone(), standin, listed }
}

/// Returns the platform's instance list, with all instances and endpoints live.
fn instance_list(
    instances: &[Settings],
    engines: &[StandinEndpoint<Engine>],
    ledgers: &[StandinEndpoint<Ledger>],
) -> InstanceList {
    let listed = instances.iter().map(|settings| ListedInstance {
        id: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        listen: settings.listen,
        peer: settings.peer,
        state: ListedState::Live,
    });
    let engines = engines.iter().map(|endpoint| endpoint.listed.clone());
    let ledgers = ledgers.iter().map(|endpoint| endpoint.listed.clone());
    InstanceList { instances: listed.collect(), endpoints: engines.chain(ledgers).collect() }
}
