//! Log, exit code and metrics endpoint of a program.

use std::io::Write as _;
use std::process::ExitCode;
use std::sync::Arc;

use eyre::WrapErr as _;
use prometheus::{Encoder as _, TextEncoder};
use spdlog::formatter::{JsonFormatter, PatternFormatter};
use spdlog::sink::{Sink, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use tide::{Response, StatusCode};

use crate::configs::log::LogConfig;

/// Installs the process-wide log, which writes to standard error.
///
/// # Errors
/// The logger or its sink cannot be created.
pub fn start_log(config: &LogConfig) -> eyre::Result<()> {
    let sink = log_sink(config)?;
    let mut builder = Logger::builder();
    builder.sink(sink).level_filter(LevelFilter::MoreSevereEqual(level(&config.level)));
    builder.flush_level_filter(LevelFilter::All);
    let logger = builder.build_arc().wrap_err("cannot create the logger")?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn log_sink(config: &LogConfig) -> eyre::Result<Arc<dyn Sink>> {
    let builder = StdStreamSink::builder().stderr();
    if config.format == "json" {
        let sink = builder.formatter(JsonFormatter::new()).build_arc();
        return Ok(sink.wrap_err("cannot create the log sink")?);
    }
    let pattern = spdlog::formatter::pattern!("{datetime} {level} {payload} {kv}{eol}");
    let sink = builder.formatter(PatternFormatter::new(pattern)).build_arc();
    Ok(sink.wrap_err("cannot create the log sink")?)
}

/// Level with this name; `info` if the name is unknown.
fn level(name: &str) -> Level {
    match name {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        "trace" => Level::Trace,
        _ => Level::Info,
    }
}

/// Returns the exit code for the result of a program, and prints an error as one line on standard
/// error.
pub fn exit_code(result: eyre::Result<()>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    let _ = writeln!(std::io::stderr(), "{error:#}");
    ExitCode::FAILURE
}

/// Response with the metrics of `registry` in the Prometheus text format; status 500 if they cannot
/// be encoded.
pub fn metrics_response(registry: &prometheus::Registry) -> Response {
    let mut text = Vec::new();
    let encoder = TextEncoder::new();
    if encoder.encode(&registry.gather(), &mut text).is_err() {
        return Response::new(StatusCode::InternalServerError);
    }
    Response::builder(StatusCode::Ok).content_type(encoder.format_type()).body(text).build()
}
