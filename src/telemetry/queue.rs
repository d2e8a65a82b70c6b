//! A queue of log lines in front of a stream that may be slow.

use std::{
    io::Write,
    sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel},
    thread,
    time::Duration,
};

use flexi_logger::{DeferredNow, FormatFunction, writers::LogWriter};
use log::Record;

/// Timeout for writing the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// An entry of the queue.
enum QueueEntry {
    /// A formatted line.
    Line(Vec<u8>),
    /// A request to flush the stream and to signal that all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// A bounded queue of log lines, written by a separate thread.
///
/// Logging never blocks: if the queue is full, lines are dropped and counted.
pub struct LineQueue {
    tx: SyncSender<QueueEntry>,
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
        thread::Builder::new().name("log".to_owned()).spawn(move || write_queued(&rx, out))?;
        Ok(Self { tx, format })
    }
}

impl LogWriter for LineQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        if self.tx.try_send(QueueEntry::Line(line)).is_err() {
            metrics::counter!("cardamomshore_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (tx, rx) = sync_channel(1);
        // If the queue is full, the stream accepts nothing, so waiting would not help.
        if self.tx.try_send(QueueEntry::Flush(tx)).is_ok() {
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }

    fn shutdown(&self) {
        let _ = self.flush();
    }
}

/// Writes lines until the queue is dropped, and flushes whenever it is empty.
fn write_queued(rx: &Receiver<QueueEntry>, mut out: impl Write) {
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
            // A closed stream accepts no more lines, and the failure cannot be reported anywhere.
            QueueEntry::Line(line) => drop(out.write_all(&line)),
            QueueEntry::Flush(done) => {
                let _ = out.flush();
                let _ = done.send(());
            }
        }
    }
}
