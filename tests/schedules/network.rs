//! Fake network: delivers messages late, twice, out of order, or not at all.

use rand::RngExt;

use stackmast::agent::event as agent;
use stackmast::agent::event::CallId;
use stackmast::gateway::event as gateway;
use stackmast::message::{AttemptId, Incarnation, Reply, Revocation, Run};

use super::{Call, REVOKE_TIMEOUT, Revoking, Step, ToAgent, World, agent_of};

impl World {
    pub(super) fn act_gateway(&mut self, index: usize, epoch: u64, action: gateway::Action) {
        match action {
            gateway::Action::Run { endpoint, call, run } => {
                self.send_run(index, epoch, agent_of(&endpoint), call, run);
            }
            gateway::Action::Revoke { endpoint, attempt, agent } => {
                self.send_revoke(index, epoch, agent_of(&endpoint), attempt, agent, false);
            }
            gateway::Action::Cancel { endpoint, attempt, agent } => {
                self.send_revoke(index, epoch, agent_of(&endpoint), attempt, agent, true);
            }
            gateway::Action::CloseCall { call } => {
                let found = self.calls.iter().position(|c| {
                    !c.broken && c.gateway == index && c.epoch == epoch && c.number == call
                });
                if let Some(i) = found {
                    self.calls[i].broken = true;
                    let message = ToAgent::Closed(CallId(i as u64));
                    self.send_later(Step::Agent { index: self.calls[i].agent, message });
                }
            }
            gateway::Action::Answer { caller, answer } => self.answered(caller as usize, answer),
            gateway::Action::Chunk { .. }
            | gateway::Action::Reset { .. }
            | gateway::Action::EndpointChanged { .. } => {}
        }
    }

    pub(super) fn send_run(
        &mut self,
        gateway: usize,
        epoch: u64,
        agent: usize,
        number: u64,
        run: Run,
    ) {
        let attempt = run.attempt;
        if self.is_cut(gateway, agent) {
            let event = gateway::Event::CallUnsent { call: number, attempt };
            return self.send_later(Step::Gateway { index: gateway, epoch, event });
        }
        let call = Call { gateway, epoch, number, attempt, agent, broken: false };
        let i = self.calls.len();
        self.calls.push(call.clone());
        // Lost before or after the delivery: the gateway can't tell which.
        let lost = self.happens(self.odds.lost);
        if !lost || self.rng.random_bool(0.5) {
            let message = ToAgent::Run(CallId(i as u64), run.clone());
            self.send_later(Step::Agent { index: agent, message });
        }
        if lost {
            self.break_call(i);
        }
        if self.happens(self.odds.doubled) {
            self.calls.push(Call { broken: true, ..call });
            let message = ToAgent::Run(CallId(i as u64 + 1), run);
            let delay = self.millis(0, 3_000);
            self.at(self.now + delay, Step::Agent { index: agent, message });
        }
    }

    pub(super) fn send_revoke(
        &mut self,
        gateway: usize,
        epoch: u64,
        index: usize,
        attempt: AttemptId,
        agent: Incarnation,
        cancel: bool,
    ) {
        let event = gateway::Event::Revoked { attempt, outcome: Revocation::Unreachable };
        self.at(self.now + REVOKE_TIMEOUT, Step::Gateway { index: gateway, epoch, event });
        if self.is_cut(gateway, index) || self.happens(self.odds.lost) {
            return;
        }
        let message = ToAgent::Revoke { gateway, epoch, attempt, agent, cancel };
        self.send_later(Step::Agent { index, message });
    }

    pub(super) fn is_cut(&self, gateway: usize, agent: usize) -> bool {
        self.cut_until.get(&(gateway, agent)).is_some_and(|until| self.now < *until)
    }

    pub(super) fn act_agent(&mut self, index: usize, action: agent::Action) {
        match action {
            agent::Action::Send { call, attempt, reply } => {
                self.send_reply(index, call, attempt, reply);
            }
            agent::Action::Close { call } => {
                if !self.calls[call.0 as usize].broken {
                    self.break_call(call.0 as usize);
                }
            }
            agent::Action::Revoked { call, outcome } => {
                let Some(submitted) = self.revocations.remove(&call) else {
                    return;
                };
                let Revoking { gateway, epoch, attempt, cancel } = submitted;
                if cancel && outcome == Revocation::Begun {
                    self.feed_agent(index, agent::Event::Cancel { attempt });
                } else if !cancel {
                    let event = gateway::Event::Revoked { attempt, outcome };
                    self.send_later(Step::Gateway { index: gateway, epoch, event });
                }
            }
            agent::Action::Call { attempt, start } => self.call_endpoint(index, attempt, start),
            agent::Action::CancelCall { attempt } => {
                self.streams.remove(&(index, attempt));
            }
            agent::Action::Claim { .. } => unreachable!("no request here is under a ticket"),
        }
    }

    pub(super) fn send_reply(
        &mut self,
        index: usize,
        call: CallId,
        attempt: AttemptId,
        reply: Reply,
    ) {
        let Call { gateway, epoch, number, broken, .. } = self.calls[call.0 as usize].clone();
        if broken {
            return;
        }
        if self.happens(self.odds.lost) {
            return self.break_call(call.0 as usize);
        }
        let core = &self.agents[index].core;
        let (from, load) = (core.incarnation(), Some(core.load()));
        let event = gateway::Event::Reply { call: number, attempt, from, load, reply };
        if self.happens(self.odds.doubled) {
            self.send_later(Step::Gateway { index: gateway, epoch, event: event.clone() });
        }
        self.send_later(Step::Gateway { index: gateway, epoch, event });
    }
}
