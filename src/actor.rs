//! Runs a core as an actor: one task owns the core, feeds it events and timer ticks, and passes its
//! actions to a shell.

use std::time::Duration;

use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::Clock;
use crate::message::Timestamp;

/// Capacity of each of the two queues of a core; senders wait while their queue is full.
const MAILBOX_CAPACITY: usize = 8_192;
/// Urgent events handled in a row while other events wait. Heartbeats are urgent: a process that
/// handles none for a second considers all its peers failed.
const MAX_URGENT_IN_A_ROW: usize = 16;
/// Longest time between two wakeups of a core, for cores without a pending timer.
const IDLE_WAKEUP: Duration = Duration::from_secs(1);
/// Delay of a wakeup from which the process counts as suspended (frozen, stopped with its host, or
/// without a processor) rather than busy; messages that arrived during the suspension are still
/// queued. Wakeups on hosts with 0.09 cores are delayed by up to 200 ms in a burst.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);

/// A state machine that makes decisions without I/O and without reading a clock.
pub trait Core: Send + 'static {
    /// Input of the state machine.
    type Event: Send + 'static;
    /// Effect that the shell carries out.
    type Action: Send;
    /// The event that fires when a timer is due.
    const TICK: Self::Event;

    /// Whether the event is handled before non-urgent events that have waited longer.
    fn is_urgent(_event: &Self::Event) -> bool {
        false
    }

    /// Called before each event with the time that the event waited in the queue.
    fn on_queue_delay(&mut self, _waited: Duration, _now: Timestamp) {}

    /// Called when the process resumes after a suspension of this duration.
    fn on_suspension(&mut self, _duration: Duration, _now: Timestamp) {}

    /// Handles an event and returns the resulting actions in order.
    fn handle(&mut self, event: Self::Event, now: Timestamp) -> Vec<Self::Action>;
    /// Time at which [`Self::TICK`] is due, if a timer is pending.
    fn next_wakeup(&self) -> Option<Timestamp>;
}

/// Carries out a core's actions; must not block.
pub trait Shell<C: Core>: Send + 'static {
    /// Carries out one action.
    fn act(&mut self, action: C::Action, core: &C);

    /// Called after each event with its queueing delay and the time taken to handle it.
    fn handled(&mut self, _waited: Duration, _took: Duration) {}
}

type Inspection<C> = Box<dyn FnOnce(&C, Timestamp) + Send>;

enum Message<C: Core> {
    /// An event and the time at which it was queued.
    Event(C::Event, Timestamp),
    Inspect(Inspection<C>),
}

/// The core's task has ended, so the process is stopping.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the core has stopped"))]
pub struct Stopped;

/// Sends events to a core.
pub struct Handle<C: Core> {
    urgent: mpsc::Sender<Message<C>>,
    mailbox: mpsc::Sender<Message<C>>,
    clock: Clock,
    /// Time at which the process last resumed after a suspension.
    resumed_at: watch::Receiver<Timestamp>,
}

impl<C: Core> Clone for Handle<C> {
    fn clone(&self) -> Self {
        let (urgent, mailbox) = (self.urgent.clone(), self.mailbox.clone());
        Self { urgent, mailbox, clock: self.clock.clone(), resumed_at: self.resumed_at.clone() }
    }
}

impl<C: Core> Handle<C> {
    fn sender(&self, event: &C::Event) -> &mpsc::Sender<Message<C>> {
        if C::is_urgent(event) { &self.urgent } else { &self.mailbox }
    }

    /// Sends an event; waits while the queue is full.
    pub async fn send(&self, event: C::Event) -> Result<(), Stopped> {
        let mailbox = self.sender(&event);
        mailbox.send(Message::Event(event, self.now())).await.map_err(|_| Stopped)
    }

    /// Current time by the core's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Waits until a time by the core's clock. Time spent in suspension counts towards the wait.
    pub async fn sleep_until(&self, at: Timestamp) {
        let mut resumed_at = self.resumed_at.clone();
        loop {
            resumed_at.mark_unchanged();
            let left = at.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                Ok(()) = resumed_at.changed() => {}
            }
        }
    }

    /// Sends an event from a context that can't await, such as a destructor.
    pub fn post(&self, event: C::Event, runtime: &tokio::runtime::Handle) {
        let mailbox = self.sender(&event).clone();
        if let Err(mpsc::error::TrySendError::Full(message)) =
            mailbox.try_send(Message::Event(event, self.now()))
        {
            runtime.spawn(async move { mailbox.send(message).await.ok() });
        }
    }

    /// Runs a closure on the core's state and returns its result.
    pub async fn inspect<T: Send + 'static>(
        &self,
        question: impl FnOnce(&C, Timestamp) -> T + Send + 'static,
    ) -> Result<T, Stopped> {
        let (sender, receiver) = oneshot::channel();
        let ask: Inspection<C> = Box::new(move |core, now| {
            sender.send(question(core, now)).ok();
        });
        self.mailbox.send(Message::Inspect(ask)).await.map_err(|_| Stopped)?;
        receiver.await.map_err(|_| Stopped)
    }
}

/// Receiving end of a core's queues; created before the core runs, so that its shell can hold a
/// handle.
pub struct Mailbox<C: Core> {
    urgent: mpsc::Receiver<Message<C>>,
    receiver: mpsc::Receiver<Message<C>>,
    clock: Clock,
    resumed_at: watch::Sender<Timestamp>,
}

/// Creates a handle and the mailbox that it sends to, with the host's clock.
pub fn mailbox<C: Core>() -> (Handle<C>, Mailbox<C>) {
    mailbox_with_clock(Clock::of_host())
}

/// Creates a handle and the mailbox that it sends to, with the given clock.
pub fn mailbox_with_clock<C: Core>(clock: Clock) -> (Handle<C>, Mailbox<C>) {
    let (urgent, urgent_receiver) = mpsc::channel(MAILBOX_CAPACITY);
    let (mailbox, receiver) = mpsc::channel(MAILBOX_CAPACITY);
    let (sender, resumed_at) = watch::channel(Timestamp::ZERO);
    let handle = Handle { urgent, mailbox, clock: clock.clone(), resumed_at };
    (handle, Mailbox { urgent: urgent_receiver, receiver, clock, resumed_at: sender })
}

impl<C: Core> Mailbox<C> {
    /// Returns the next message and whether it is urgent; `None` once all handles are dropped.
    async fn next(&mut self, urgent_first: bool) -> Option<(Message<C>, bool)> {
        if !urgent_first && let Ok(message) = self.receiver.try_recv() {
            return Some((message, false));
        }
        tokio::select! {
            biased;
            Some(message) = self.urgent.recv() => Some((message, true)),
            message = self.receiver.recv() => message.map(|message| (message, false)),
        }
    }

    /// Reads the clock; reports a suspension to the core if the wakeup at `due` is overdue by
    /// [`SUSPENSION_THRESHOLD`] or more.
    fn check_suspension(&self, core: &mut C, due: Timestamp) -> Timestamp {
        let now = self.clock.now();
        let late = now.saturating_sub(due);
        if late >= SUSPENSION_THRESHOLD {
            core.on_suspension(late, now);
            self.resumed_at.send_replace(now);
        }
        now
    }
}

/// Runs a core until all its handles are dropped.
pub async fn run<C: Core>(mut core: C, mut shell: impl Shell<C>, mut mailbox: Mailbox<C>) {
    let mut urgent_in_a_row = 0;
    let mut due = mailbox.clock.now();
    loop {
        let now = mailbox.check_suspension(&mut core, due);
        let idle = now + IDLE_WAKEUP;
        let wakeup = core.next_wakeup().map_or(idle, |at| at.min(idle));
        // A timer that was due before the core reported it is measured from now.
        due = wakeup.max(now);
        let message = tokio::select! {
            biased;
            () = tokio::time::sleep(due - now) => Some(Message::Event(C::TICK, due)),
            next = mailbox.next(urgent_in_a_row < MAX_URGENT_IN_A_ROW) => next.map(|(message, is_urgent)| {
                urgent_in_a_row = if is_urgent { urgent_in_a_row + 1 } else { 0 };
                message
            }),
        };
        let begun = mailbox.check_suspension(&mut core, due);
        due = begun;
        match message {
            None => return,
            Some(Message::Inspect(ask)) => ask(&core, begun),
            Some(Message::Event(event, since)) => {
                let waited = begun.saturating_sub(since);
                core.on_queue_delay(waited, begun);
                let actions = core.handle(event, begun);
                shell.handled(waited, mailbox.clock.now().saturating_sub(begun));
                for action in actions {
                    shell.act(action, &core);
                }
            }
        }
    }
}
