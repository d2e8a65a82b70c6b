//! Tests of callers that read their responses slowly, or not at all for a while.

use std::time::Duration;

use cardamomshore::standin::worker::WorkerFaults;
use rustix::process::Signal;
use socket2::{Domain, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::util::{block_on, gateways::World};

/// Size of the callers' receive buffers, so that most of a response stays at the gateway.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Interval at which a slow caller reads.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Connects to a gateway with a small receive buffer and sends a request that may run once.
async fn begin(world: &World, gateway: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    // With the large segments of the loopback interface, the operating system buffers several megabytes.
    socket.set_tcp_mss(1_400).unwrap();
    socket.connect(&world.gateways[gateway].callers.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    let mut stream = TcpStream::from_std(socket.into()).unwrap();
    let id = format!("{:016x}", rand::random::<u64>());
    let head = format!(
        "POST /pay/1 HTTP/1.1\r\nhost: gateways.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 5000\r\nauthorization: Token gateways-key\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads at most `chunk` bytes in each interval until `bytes` have arrived or the connection ends.
/// Returns the number of bytes.
async fn read_slowly(stream: &mut TcpStream, chunk: usize, bytes: usize) -> usize {
    let mut buffer = vec![0; chunk];
    let mut received = 0;
    while received < bytes {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => received += count,
        }
        sleep(READ_INTERVAL).await;
    }
    received
}

/// Guards against a process that ends while it still writes a response: what its sockets have not taken
/// is lost, and the request may not be repeated.
#[test]
fn stop_waits_until_slow_callers_have_all() {
    const BYTES: usize = 3_500_000;
    block_on(async {
        let mut world = World::start("slow-callers").await;
        world.set_faults(WorkerFaults { added_bytes: BYTES, ..WorkerFaults::default() });
        let mut callers = Vec::new();
        for _ in 0..3 {
            callers.push(begin(&world, 0).await);
        }
        sleep(Duration::from_millis(500)).await;
        let stopped_at = Instant::now();
        world.gateways[0].signal(Signal::TERM);
        // About 5.5 s.
        let reads = callers.iter_mut().map(|caller| read_slowly(caller, 13_000, BYTES));
        let received = futures_util::future::join_all(reads).await;
        let took = stopped_at.elapsed();
        assert!(received.iter().all(|bytes| *bytes >= BYTES), "{received:?} after {took:?}");
        assert!(took > Duration::from_secs(4), "too fast to show anything: {took:?}");
        let end = Instant::now();
        while !world.gateways[0].has_ended() && end.elapsed() < Duration::from_secs(2) {
            sleep(READ_INTERVAL).await;
        }
        assert!(world.gateways[0].has_ended(), "the callers have everything, so it should end");
    });
}

/// Guards against a gateway that takes a caller which does not read for a while for one that is lost.
#[test]
fn caller_that_pauses_gets_whole_answer() {
    const BYTES: usize = 3_000_000;
    block_on(async {
        let world = World::start("pausing-caller").await;
        world.set_faults(WorkerFaults { added_bytes: BYTES, ..WorkerFaults::default() });
        let mut caller = begin(&world, 0).await;
        sleep(Duration::from_millis(3_500)).await;
        let received = read_slowly(&mut caller, 1 << 20, BYTES).await;
        assert!(received >= BYTES, "got {received} bytes");
    });
}
