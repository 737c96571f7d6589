//! Greetings of peers that run another build.

use std::net::SocketAddr;

use crate::direct::core::GatewayCore;
use crate::direct::log_events::LogEvent;
use crate::direct::peers::build::{Build, GreetingChange};
use crate::message::Timestamp;

impl GatewayCore {
    /// Handles a peer's greeting, which names its build.
    pub(super) fn on_greeting(&mut self, address: SocketAddr, incarnation: u64, build: &Build) {
        match self.builds.on_greeting(address, incarnation, build) {
            GreetingChange::Unchanged => {}
            GreetingChange::OtherBuild => {
                self.log_build(address, incarnation, build, "first");
                // It has not read a heartbeat in the current form.
                self.next_heartbeat = Timestamp::ZERO;
            }
            GreetingChange::OwnBuild(before) => {
                self.log_build(address, incarnation, &before, "last")
            }
        }
    }

    pub(super) fn log_build(
        &mut self,
        address: SocketAddr,
        incarnation: u64,
        build: &Build,
        heard: &'static str,
    ) {
        crate::metrics::peers_of_other_builds(self.builds.other_count());
        let Build { version, commit, form } = build.clone();
        self.log(LogEvent::PeerBuild { address, incarnation, version, commit, form, heard });
    }
}
