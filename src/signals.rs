//! Signals that a process handles instead of being ended by them.

use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// A signal handler could not be installed.
#[derive(Debug, Snafu)]
#[snafu(display("can't receive signals: {source}"))]
pub struct SignalError {
    source: std::io::Error,
}

/// SIGHUP, which states that the settings file has changed.
#[derive(Debug)]
pub struct ReloadSignals(Signal);

impl ReloadSignals {
    /// Installs the handler. From then on SIGHUP does not end the process, and is kept until
    /// [`Self::received`] returns it.
    pub fn catch() -> Result<Self, SignalError> {
        signal(SignalKind::hangup()).map(Self).context(SignalSnafu)
    }

    /// Waits for the next signal; several that arrive before the call count as one.
    pub async fn received(&mut self) {
        if self.0.recv().await.is_none() {
            std::future::pending().await
        }
    }
}

/// SIGTERM and SIGINT, which request a graceful stop.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers.
    pub fn catch() -> Result<Self, SignalError> {
        let terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
        let interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
        Ok(Self { terminate, interrupt })
    }

    /// Waits for one of the signals.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
