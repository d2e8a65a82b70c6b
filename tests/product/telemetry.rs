//! The log queue in front of a reader that is slow or closed.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

use cardamomshore::telemetry::LineQueue;
use flexi_logger::{DeferredNow, writers::LogWriter};
use log::Record;

/// A writer that accepts a line only when the test permits it.
struct Slow {
    gate: Receiver<()>,
    lines: Arc<Mutex<Vec<u8>>>,
}

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.gate.recv().map_err(std::io::Error::other)?;
        self.lines.lock().expect("the lock is not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn plain(out: &mut dyn Write, _: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    write!(out, "{}", record.args())
}

fn log(queue: &LineQueue, number: usize) {
    let written = queue.write(
        &mut DeferredNow::new(),
        &Record::builder().args(format_args!("line {number}")).build(),
    );
    written.expect("logging never fails");
}

#[test]
fn log_blocked_reader_holds_nothing_up() {
    let (permit, gate) = channel();
    let lines = Arc::new(Mutex::new(Vec::new()));
    let queue =
        LineQueue::new(Slow { gate, lines: lines.clone() }, plain, 8).expect("the thread starts");
    let started = Instant::now();
    for number in 0..1_000 {
        log(&queue, number);
    }
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());

    for _ in 0..20 {
        permit.send(()).expect("the writer waits");
    }
    let written = || {
        String::from_utf8(lines.lock().expect("the lock is not poisoned").clone()).expect("UTF-8")
    };
    while written().lines().count() < 8 {
        assert!(started.elapsed() < Duration::from_secs(10), "{}", written());
        std::thread::yield_now();
    }
    assert!(written().starts_with("line 0\nline 1\n"), "{}", written());
    log(&queue, 1_000);
    queue.flush().expect("logging never fails");
    assert!(written().ends_with("line 1000\n"), "{}", written());
}
