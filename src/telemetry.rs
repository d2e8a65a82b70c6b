//! Logs and metrics of the process.

mod queue;

pub use self::queue::LineQueue;

use std::{io::Write, sync::OnceLock};

use flexi_logger::{DeferredNow, FlexiLoggerError, FormatFunction, Logger, LoggerHandle};
use log::Record;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::json;

use crate::settings::LogSettings;

/// Handle that renders the metrics, set by [`start_metrics`].
static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Format of the time in log lines.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 11] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Maximum number of lines queued for a slow reader of the log, about 1 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Starts logging to a stream. Logging ends when the returned handle is dropped.
pub fn start_log(
    settings: &LogSettings,
    out: impl Write + Send + 'static,
) -> Result<LoggerHandle, FlexiLoggerError> {
    let format: FormatFunction = if settings.json { json_line } else { plain_line };
    let queue = LineQueue::new(out, format, MAX_QUEUED_LINES)?;
    Logger::try_with_str(&settings.spec)?.use_utc().log_to_writer(Box::new(queue)).start()
}

/// Starts collecting metrics; later calls have no effect.
pub fn start_metrics() {
    METRICS.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let builder =
            builder.set_buckets(&LATENCY_BUCKETS).expect("the list of buckets is not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // Only tests can have installed another recorder; they do not read these metrics.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Returns the metrics in the Prometheus text format.
pub fn render_metrics() -> String {
    METRICS.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Writes a log record as a line of text.
fn plain_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let time = now.format(TIME_FORMAT);
    write!(out, "{time} {} {} {}", record.level(), record.target(), record.args())
}

/// Writes a log record as a JSON object on one line.
fn json_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let line = json!({
        "time": now.format(TIME_FORMAT).to_string(),
        "level": record.level().as_str(),
        "module": record.target(),
        "message": record.args().to_string(),
    });
    write!(out, "{line}")
}
