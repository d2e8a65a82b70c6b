//! Tests of requests whose key or route changes while they arrive.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

use crate::util::{block_on, gateways::World};

/// The team that gets the key.
const NEXT_TEAM: &str = "belts";

/// Time in which a confirmed configuration is in force everywhere, with a margin.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

const BODY: &[u8] = b"a body that arrives in two parts";

/// Guards against a request that runs for the team that held its key when its head arrived.
#[test]
fn key_moved_while_body_arrives_counts_for_next_team() {
    block_on(async {
        let mut world = World::start("moved-key").await;
        let mut callers = Vec::new();
        for (gateway, process) in world.gateways.iter().enumerate() {
            let mut stream = TcpStream::connect(process.callers).await.unwrap();
            let id = format!("{gateway:016x}");
            let head = format!(
                "POST /pay/1 HTTP/1.1\r\nhost: gateways.example\r\nx-request-id: {id}\r\n\
                 x-deadline-ms: 5000\r\nauthorization: Token gateways-key\r\n\
                 connection: close\r\ncontent-length: {}\r\n\r\n",
                BODY.len()
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&BODY[..8]).await.unwrap();
            callers.push((stream, id));
        }
        world.team = NEXT_TEAM;
        world.write_document();
        sleep(APPLY_TIME).await;
        for (mut stream, id) in callers {
            stream.write_all(&BODY[8..]).await.unwrap();
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await.unwrap();
            assert!(
                response.starts_with(b"HTTP/1.1 200"),
                "{}",
                String::from_utf8_lossy(&response)
            );
            assert_eq!(world.team_of(&id).as_deref(), Some(NEXT_TEAM));
        }
    });
}
