//! Shell of a witness: sends its responses and writes its log.

use crate::actor::Shell;
use crate::direct::event::Action;
use crate::direct::peers::links::PeerLinks;
use crate::direct::witness::core::WitnessCore;
use crate::logging::LogWriter;

/// Carries out the actions of a witness.
pub struct WitnessShell {
    peers: PeerLinks<WitnessCore>,
    lines: LogWriter,
}

impl WitnessShell {
    /// Creates a shell that sends over these connections.
    pub const fn new(peers: PeerLinks<WitnessCore>, lines: LogWriter) -> Self {
        Self { peers, lines }
    }
}

impl Shell<WitnessCore> for WitnessShell {
    fn act(&mut self, action: Action, _core: &WitnessCore) {
        match action {
            Action::Send { to, message } => self.peers.send(to, message),
            Action::Log(event) => {
                crate::metrics::log_event(&event);
                self.lines.write(&event);
            }
            // A witness takes no other actions.
            _ => {}
        }
    }
}
