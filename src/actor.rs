//! Drives a core: one task owns it, feeds it events and timers, and hands its actions to a shell.

use std::time::Duration;

use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::message::Timestamp;

/// Messages that wait for a core; senders wait beyond that.
const MAILBOX: usize = 8_192;
/// A core without timers is woken this often.
const IDLE_WAKEUP: Duration = Duration::from_secs(1);

/// Decisions without I/O or clock.
pub trait Core: Send + 'static {
    /// What happens to it.
    type Event: Send + 'static;
    /// What must be done.
    type Action: Send;
    /// The event that says that time has passed.
    const TICK: Self::Event;

    /// Whether an event is handled before all that are not urgent, however long those have waited.
    fn is_urgent(_event: &Self::Event) -> bool {
        false
    }

    /// The event that is handled next has waited so long.
    fn waits(&mut self, _waited: Duration, _now: Timestamp) {}

    /// Takes in an event and returns what must be done, in order.
    fn handle(&mut self, event: Self::Event, now: Timestamp) -> Vec<Self::Action>;
    /// When [`Self::TICK`] is due.
    fn next_wakeup(&self) -> Option<Timestamp>;
}

/// Carries out a core's actions; must not block.
pub trait Shell<C: Core>: Send + 'static {
    /// Carries out one action.
    fn act(&mut self, action: C::Action, core: &C);

    /// An event waited so long for the core, which took so long to handle it.
    fn handled(&mut self, _waited: Duration, _took: Duration) {}
}

type Inspection<C> = Box<dyn FnOnce(&C, Timestamp) + Send>;

enum Message<C: Core> {
    /// An event, and since when it waits.
    Event(C::Event, Instant),
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
}

impl<C: Core> Clone for Handle<C> {
    fn clone(&self) -> Self {
        Self { urgent: self.urgent.clone(), mailbox: self.mailbox.clone() }
    }
}

impl<C: Core> Handle<C> {
    fn sender(&self, event: &C::Event) -> &mpsc::Sender<Message<C>> {
        if C::is_urgent(event) { &self.urgent } else { &self.mailbox }
    }

    /// Sends an event, waiting while the mailbox is full.
    pub async fn send(&self, event: C::Event) -> Result<(), Stopped> {
        let mailbox = self.sender(&event);
        mailbox.send(Message::Event(event, Instant::now())).await.map_err(|_| Stopped)
    }

    /// Sends an event from where nothing can wait, such as a destructor.
    pub fn post(&self, event: C::Event, runtime: &tokio::runtime::Handle) {
        let mailbox = self.sender(&event).clone();
        if let Err(mpsc::error::TrySendError::Full(message)) =
            mailbox.try_send(Message::Event(event, Instant::now()))
        {
            runtime.spawn(async move { mailbox.send(message).await.ok() });
        }
    }

    /// Asks the core a question.
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

/// Made before the core runs, so that its shell can hold the handle.
pub struct Mailbox<C: Core> {
    urgent: mpsc::Receiver<Message<C>>,
    receiver: mpsc::Receiver<Message<C>>,
}

/// A handle and the mailbox that it sends to.
pub fn mailbox<C: Core>() -> (Handle<C>, Mailbox<C>) {
    let (urgent, urgent_receiver) = mpsc::channel(MAILBOX);
    let (mailbox, receiver) = mpsc::channel(MAILBOX);
    (Handle { urgent, mailbox }, Mailbox { urgent: urgent_receiver, receiver })
}

/// Runs a core until its last handle is gone.
pub async fn run<C: Core>(mut core: C, mut shell: impl Shell<C>, mut mailbox: Mailbox<C>) {
    let start = Instant::now();
    loop {
        let now = start.elapsed();
        let idle = now + IDLE_WAKEUP;
        let wakeup = start + core.next_wakeup().map_or(idle, |at| at.min(idle));
        let message = tokio::select! {
            biased;
            () = tokio::time::sleep_until(wakeup) => {
                // One that was due before it could be known waits from now on.
                Some(Message::Event(C::TICK, wakeup.max(start + now)))
            }
            Some(message) = mailbox.urgent.recv() => Some(message),
            message = mailbox.receiver.recv() => message,
        };
        match message {
            None => return,
            Some(Message::Inspect(ask)) => ask(&core, start.elapsed()),
            Some(Message::Event(event, since)) => {
                let begun = Instant::now();
                core.waits(begun.saturating_duration_since(since), begun - start);
                let actions = core.handle(event, begun - start);
                shell.handled(begun.saturating_duration_since(since), begun.elapsed());
                for action in actions {
                    shell.act(action, &core);
                }
            }
        }
    }
}
