//! The stand-ins and nodes of the demo, all in this process and on loopback.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{net::TcpListener, time::sleep};

use super::{
    DemoError,
    config::{ENGINE_MB, ENGINES, MODEL_MB, text},
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

/// Longest time for the fleet to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks at a condition.
pub const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Instances by name and data centre.
const INSTANCES: &[(&str, &str)] =
    &[("entry-a1", "dc-a"), ("entry-a2", "dc-a"), ("entry-b1", "dc-b"), ("entry-b2", "dc-b")];

/// Ledgers by name and data centre.
const LEDGERS: &[(&str, &str)] = &[("ledger-a", "dc-a"), ("ledger-b", "dc-b")];

/// A running fleet, which ends with the process.
pub struct Fleet {
    /// Instances.
    pub instances: Vec<Settings>,
    /// Their nodes.
    pub nodes: Vec<Arc<Node>>,
    /// Engines.
    pub engines: Vec<Part<Engine>>,
    /// Ledgers.
    pub ledgers: Vec<Part<Ledger>>,
}

/// A stand-in of an endpoint.
pub struct Part<T> {
    /// Data centre.
    pub data_centre: DataCentre,
    /// The stand-in.
    pub standin: Arc<T>,
    listed: ListedEndpoint,
}

impl Fleet {
    /// Starts everything and waits until every instance serves.
    pub async fn start() -> Result<Self, DemoError> {
        let (listener, platform_address) = bind().await?;
        let platform = Arc::new(Platform::default());
        tokio::spawn(platform::run(listener, platform.clone()));
        let engines = start_engines().await?;
        let ledgers = start_ledgers().await?;
        let mut instances = Vec::new();
        let mut listeners = Vec::new();
        for (id, data_centre) in INSTANCES {
            let (settings, bound) = instance(id, data_centre, platform_address).await?;
            instances.push(settings);
            listeners.push(bound);
        }
        platform.set_list(list(&instances, &engines, &ledgers));
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

    /// Returns the operators' client, which may ask any instance.
    pub fn remote(&self) -> Remote {
        Remote::new(self.instances.iter().map(|instance| instance.operator).collect())
    }

    async fn configure(&self) -> Result<(), DemoError> {
        match self.remote().apply(&VersionedConfig { seen: 0, text: text() }).await {
            ApplyResult::Done(_) => Ok(()),
            ApplyResult::Conflict(_) => Err(DemoError::NotReady("conflict".to_owned())),
            ApplyResult::Refused(reason) | ApplyResult::Unknown(reason) => {
                Err(DemoError::NotReady(reason))
            }
        }
    }

    async fn wait_ready(&self) -> Result<(), DemoError> {
        let start = Instant::now();
        while start.elapsed() < READY_LIMIT {
            let endpoints = self.engines.len() + self.ledgers.len();
            if self
                .nodes
                .iter()
                .all(|node| node.config().is_some() && node.known_endpoints() == endpoints)
            {
                return Ok(());
            }
            sleep(LOOK_PERIOD).await;
        }
        Err(DemoError::NotReady("an instance does not know every endpoint".to_owned()))
    }
}

async fn bind() -> Result<(TcpListener, SocketAddr), DemoError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

async fn instance(
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

async fn start_engines() -> Result<Vec<Part<Engine>>, DemoError> {
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
        engines.push(part(id, data_centre, "assistant", address, standin));
    }
    Ok(engines)
}

async fn start_ledgers() -> Result<Vec<Part<Ledger>>, DemoError> {
    let mut ledgers = Vec::new();
    for (id, data_centre) in LEDGERS {
        let (listener, address) = bind().await?;
        let standin = Arc::new(Ledger::default());
        tokio::spawn(service::run(listener, standin.clone()));
        ledgers.push(part(id, data_centre, "ledger", address, standin));
    }
    Ok(ledgers)
}

fn part<T>(
    id: &str,
    data_centre: &str,
    pool: &str,
    address: SocketAddr,
    standin: Arc<T>,
) -> Part<T> {
    let listed = ListedEndpoint {
        id: EndpointId::from(id),
        data_centre: DataCentre::from(data_centre),
        pool: pool.into(),
        address,
        state: ListedState::Live,
    };
    Part { data_centre: listed.data_centre.clone(), standin, listed }
}

fn list(
    instances: &[Settings],
    engines: &[Part<Engine>],
    ledgers: &[Part<Ledger>],
) -> InstanceList {
    let listed = instances.iter().map(|settings| ListedInstance {
        id: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        listen: settings.listen,
        peer: settings.peer,
        state: ListedState::Live,
    });
    let engines = engines.iter().map(|part| part.listed.clone());
    let ledgers = ledgers.iter().map(|part| part.listed.clone());
    InstanceList { instances: listed.collect(), endpoints: engines.chain(ledgers).collect() }
}
