//! Log lines on their way to a stream that may be slow.

use std::{
    io::Write,
    sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel},
    thread,
    time::Duration,
};

use flexi_logger::{DeferredNow, FormatFunction, writers::LogWriter};
use log::Record;

/// Longest wait for the lines that are still queued when the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

enum Entry {
    Line(Vec<u8>),
    /// Tells when all lines before it are written.
    Flush(SyncSender<()>),
}

/// A bounded queue of lines, which a thread of its own writes.
///
/// Logging never waits: where the queue is full, lines are dropped and counted.
pub struct LineQueue {
    tx: SyncSender<Entry>,
    format: FormatFunction,
}

impl LineQueue {
    /// Creates a queue of at most `capacity` lines.
    pub fn new(
        out: impl Write + Send + 'static,
        format: FormatFunction,
        capacity: usize,
    ) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(capacity);
        thread::Builder::new().name("log".to_owned()).spawn(move || drain(&rx, out))?;
        Ok(Self { tx, format })
    }
}

impl LogWriter for LineQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        if self.tx.try_send(Entry::Line(line)).is_err() {
            metrics::counter!("cardamomshore_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (tx, rx) = sync_channel(1);
        // A queue that is full belongs to a stream that takes nothing, for which waiting is of no use.
        if self.tx.try_send(Entry::Flush(tx)).is_ok() {
            let _ = rx.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }

    fn shutdown(&self) {
        let _ = self.flush();
    }
}

/// Writes lines until the queue is dropped, and flushes whenever none is left.
fn drain(rx: &Receiver<Entry>, mut out: impl Write) {
    loop {
        let entry = match rx.try_recv() {
            Ok(entry) => entry,
            Err(TryRecvError::Disconnected) => return,
            Err(TryRecvError::Empty) => {
                let _ = out.flush();
                let Ok(entry) = rx.recv() else { return };
                entry
            }
        };
        match entry {
            // A stream that is closed takes no line any more; there is nowhere to tell it.
            Entry::Line(line) => drop(out.write_all(&line)),
            Entry::Flush(done) => {
                let _ = out.flush();
                let _ = done.send(());
            }
        }
    }
}
