//! A few gateway cores that exchange messages without delay, in virtual time.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stackmast::actor::Core;
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::event::{Action, CallParams, Event, IncomingRequest, Refusal};
use stackmast::direct::peers::codec::{FORM, Outgoing};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Deployment, Endpoint};
use stackmast::direct::store_reading::StorePart;
use stackmast::direct::witness::core::WitnessCore;

use super::gateway::{calls, listed, refusal, setup};
use super::{address, engine_of, ms, position};

/// Port of the witnesses beside endpoints.
const WITNESS_PORT: u16 = 7_755;
/// Time between two reads of the store by each gateway.
const STORE_CHECK: Duration = Duration::from_millis(1_000);
/// Time between two ticks of all gateways.
const TICK: Duration = Duration::from_millis(10);

/// What became of a request: the call to an endpoint, or the refusal.
#[derive(Debug, Default)]
pub struct Outcome {
    pub call: Option<(u64, CallParams)>,
    pub refusal: Option<Refusal>,
}

/// The gateways; their numbers are their indexes.
pub struct Group {
    cores: Vec<Option<GatewayCore>>,
    incarnations: Vec<u64>,
    deployment: Arc<Deployment>,
    endpoints: Vec<Arc<Endpoint>>,
    revision: u64,
    /// Gateways whose messages to and from other gateways are lost.
    pub silent: Vec<usize>,
    /// Gateways that reach neither other gateways nor the store.
    pub cut_off: Vec<usize>,
    /// The witnesses that run, by address; none unless [`Self::with_witnesses`] was called.
    witnesses: HashMap<SocketAddr, WitnessCore>,
    witness_port: Option<u16>,
    /// Gateways whose processes are suspended, and since when.
    paused: HashMap<usize, Duration>,
    pub now: Duration,
    /// Actions of each gateway other than messages, until they are taken.
    actions: Vec<Vec<Action>>,
    /// Number of messages that were sent and their bytes in the compact form, by kind.
    sent: HashMap<&'static str, (usize, usize)>,
}

impl Group {
    /// Starts gateways that know the same documents and each other, without witnesses.
    pub fn new(gateways: usize, deployment: Deployment, endpoints: Vec<Arc<Endpoint>>) -> Self {
        Self::start_all(gateways, deployment, endpoints, None)
    }

    /// As [`Self::new`], with a witness beside each endpoint that is ever listed.
    pub fn with_witnesses(
        gateways: usize,
        deployment: Deployment,
        endpoints: Vec<Arc<Endpoint>>,
    ) -> Self {
        Self::start_all(gateways, deployment, endpoints, Some(WITNESS_PORT))
    }

    fn start_all(
        gateways: usize,
        deployment: Deployment,
        endpoints: Vec<Arc<Endpoint>>,
        witness_port: Option<u16>,
    ) -> Self {
        let mut group = Self {
            witnesses: HashMap::new(),
            witness_port,
            cores: (0..gateways).map(|_| None).collect(),
            incarnations: vec![0; gateways],
            deployment: Arc::new(deployment),
            endpoints,
            revision: 1,
            silent: Vec::new(),
            cut_off: Vec::new(),
            paused: HashMap::new(),
            now: Duration::ZERO,
            actions: (0..gateways).map(|_| Vec::new()).collect(),
            sent: HashMap::new(),
        };
        group.start_witnesses();
        (0..gateways).for_each(|gateway| group.start(gateway));
        group.run_for(ms(2_000));
        group
    }

    /// Address at which peers connect to a gateway.
    pub fn address_of(gateway: usize) -> SocketAddr {
        address(gateway as u16 + 1)
    }

    /// Starts a gateway without any state; it reads the documents at once.
    pub fn start(&mut self, gateway: usize) {
        self.incarnations[gateway] += 1;
        let seeds = (0..self.cores.len()).map(Self::address_of).collect();
        let setup = Setup {
            address: Self::address_of(gateway),
            incarnation: self.incarnations[gateway],
            seeds,
            witness_port: self.witness_port,
            ..setup()
        };
        self.cores[gateway] = Some(GatewayCore::new(setup));
        self.read_configuration(gateway);
        self.read_list(gateway);
    }

    /// Starts the witnesses of listed endpoints that have none.
    fn start_witnesses(&mut self) {
        if let Some(port) = self.witness_port {
            let addresses = self.endpoints.iter().map(|e| SocketAddr::new(e.address.ip(), port));
            for address in addresses {
                self.witnesses.entry(address).or_insert_with(|| WitnessCore::new(1));
            }
        }
    }

    /// Ends all witnesses; their records are lost.
    pub fn kill_witnesses(&mut self) {
        self.witnesses.clear();
    }

    /// Ends the witness beside the engine with this number.
    pub fn kill_witness(&mut self, number: u16) {
        let host = engine_of("", number).address.ip();
        self.witnesses.remove(&SocketAddr::new(host, WITNESS_PORT));
    }

    /// Publishes a configuration, which all gateways read at once.
    pub fn configure(&mut self, deployment: Deployment) {
        self.deployment = Arc::new(deployment);
        for gateway in 0..self.cores.len() {
            self.read_configuration(gateway);
        }
    }

    fn read_configuration(&mut self, gateway: usize) {
        let document = Document::Deployment(self.deployment.clone());
        let position = position(self.deployment.version);
        let deployment = Revised { position, created_revision: 0, document };
        let documents = Event::Published { documents: vec![deployment], extent: Extent::Partial };
        self.handle(gateway, documents);
    }

    /// The core of a gateway whose process runs.
    pub fn core(&self, gateway: usize) -> &GatewayCore {
        self.cores[gateway].as_ref().expect("a running gateway")
    }

    /// Ends a gateway's process; its state is gone, and connections to it are refused.
    pub fn kill(&mut self, gateway: usize) {
        self.cores[gateway] = None;
    }

    /// Suspends a gateway's process: it handles nothing until it is resumed.
    pub fn pause(&mut self, gateway: usize) {
        self.paused.insert(gateway, self.now);
    }

    /// Resumes a gateway's process if it is suspended. It reads the list at once.
    pub fn resume(&mut self, gateway: usize) {
        if let Some(since) = self.paused.remove(&gateway)
            && let Some(core) = &mut self.cores[gateway]
        {
            core.on_suspension(self.now - since, self.now);
        }
        self.read_list(gateway);
    }

    /// Whether a gateway receives nothing, neither from others nor from the store.
    fn is_isolated(&self, gateway: usize) -> bool {
        self.cut_off.contains(&gateway) || self.paused.contains_key(&gateway)
    }

    /// A gateway notices that its connection to another one has failed.
    pub fn connection_failed(&mut self, gateway: usize, peer: usize) {
        self.handle(gateway, Event::PeerOutboundFailed { address: Self::address_of(peer) });
    }

    /// Replaces the list of endpoints, which all gateways read at once.
    pub fn list(&mut self, endpoints: Vec<Arc<Endpoint>>) {
        let all: Vec<usize> = (0..self.cores.len()).collect();
        self.list_at(&all, endpoints);
    }

    /// Replaces the list of endpoints, which only these gateways read.
    pub fn list_at(&mut self, gateways: &[usize], endpoints: Vec<Arc<Endpoint>>) {
        self.endpoints = endpoints;
        self.start_witnesses();
        self.revision += 1;
        for &gateway in gateways {
            if !self.is_isolated(gateway) {
                self.read_list(gateway);
            }
        }
    }

    /// A gateway reads the store, which has nothing new.
    pub fn check_store(&mut self, gateway: usize) {
        for part in [StorePart::Operator, StorePart::Endpoints] {
            self.handle(gateway, Event::StoreChecked { part });
        }
    }

    fn read_list(&mut self, gateway: usize) {
        let at = self.revision + 1;
        let documents = listed(&self.endpoints, at);
        self.handle(
            gateway,
            Event::Published { documents, extent: Extent::Complete { at: position(at) } },
        );
    }

    /// Lets time pass.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            (0..self.cores.len()).for_each(|gateway| {
                self.tick(gateway);
            });
        }
    }

    /// Lets a gateway run its timers and check the store if it is time to. Returns its actions.
    fn tick(&mut self, gateway: usize) -> Vec<Action> {
        let mut actions = self.handle(gateway, Event::Tick);
        let is_check_due = self.now.as_millis().is_multiple_of(STORE_CHECK.as_millis());
        if is_check_due && !self.is_isolated(gateway) {
            for part in [StorePart::Operator, StorePart::Endpoints] {
                actions.extend(self.handle(gateway, Event::StoreChecked { part }));
            }
        }
        actions
    }

    /// Handles an event of a gateway and all messages that follow from it. Returns the other
    /// actions of that gateway since the last call for it.
    pub fn handle(&mut self, gateway: usize, event: Event) -> Vec<Action> {
        let mut events = VecDeque::from([(gateway, event)]);
        while let Some((at, event)) = events.pop_front() {
            if self.paused.contains_key(&at) {
                continue;
            }
            let Some(core) = &mut self.cores[at] else {
                continue;
            };
            let actions = core.handle(event, self.now);
            for action in actions {
                match action {
                    Action::Send { to, message } => events.extend(self.sent(at, to, message)),
                    Action::Broadcast { to, message } => {
                        for to in to {
                            events.extend(self.sent(at, to, message.clone()));
                        }
                    }
                    action => self.actions[at].push(action),
                }
            }
        }
        std::mem::take(&mut self.actions[gateway])
    }

    /// Counts a message.
    fn count(&mut self, message: &PeerMessage) {
        let bytes = Outgoing::new(message.clone()).encode_for(Some(FORM)).len();
        let sent = self.sent.entry(message.kind()).or_default();
        *sent = (sent.0 + 1, sent.1 + bytes);
    }

    /// The events that a message causes: at its receiver, or at its sender if there is none or if
    /// a witness responds.
    fn sent(&mut self, from: usize, to: SocketAddr, message: PeerMessage) -> Vec<(usize, Event)> {
        self.count(&message);
        if Some(to.port()) == self.witness_port {
            return self.sent_to_witness(from, to, message);
        }
        vec![self.sent_to_gateway(from, to, message)]
    }

    fn sent_to_witness(
        &mut self,
        from: usize,
        to: SocketAddr,
        message: PeerMessage,
    ) -> Vec<(usize, Event)> {
        if self.is_isolated(from) {
            return Vec::new();
        }
        let Some(witness) = self.witnesses.get_mut(&to) else {
            return vec![(from, Event::PeerUnreachable { address: to })];
        };
        let event = Event::PeerMessage { from: Self::address_of(from), message };
        let actions = witness.handle(event, self.now).into_iter();
        let responses = actions.filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        });
        let responses: Vec<PeerMessage> = responses.collect();
        responses.iter().for_each(|message| self.count(message));
        let arrives = |message| (from, Event::PeerMessage { from: to, message });
        responses.into_iter().map(arrives).collect()
    }

    fn sent_to_gateway(
        &mut self,
        from: usize,
        to: SocketAddr,
        message: PeerMessage,
    ) -> (usize, Event) {
        let receiver = usize::from(to.port()) - 1;
        let is_lost = |gateway| self.silent.contains(&gateway) || self.is_isolated(gateway);
        if is_lost(from) || is_lost(receiver) {
            return (from, Event::Tick);
        }
        if self.cores[receiver].is_none() {
            return (from, Event::PeerUnreachable { address: to });
        }
        (receiver, Event::PeerMessage { from: Self::address_of(from), message })
    }

    /// Number of messages of a kind that were sent, and their bytes.
    pub fn sent_of_kind(&self, kind: &str) -> (usize, usize) {
        self.sent.get(kind).copied().unwrap_or_default()
    }

    /// Submits a request and waits for its call or refusal, for at most `wait`.
    pub fn submit(
        &mut self,
        gateway: usize,
        caller: u64,
        incoming: IncomingRequest,
        wait: Duration,
    ) -> Outcome {
        let end = self.now + wait;
        let mut actions = self.handle(gateway, Event::Submit { caller, incoming });
        loop {
            let call = calls(&actions).into_iter().next();
            let refusal = refusal(&actions);
            if call.is_some() || refusal.is_some() || self.now >= end {
                return Outcome { call, refusal };
            }
            self.now += TICK;
            for other in (0..self.cores.len()).filter(|other| *other != gateway) {
                self.tick(other);
            }
            actions = self.tick(gateway);
        }
    }
}
