//! The place in a stream, as the ids of its events state it, and the check that each event follows
//! the one before.
//!
//! Ids are read as the specification of server-sent events says. They rise, but not every deployment
//! numbers its events one by one, so an event counts as missing only in a stream that has numbered
//! its events so before. Ids that are not whole numbers are compared for equality only.

/// Number of steps by one, and no others, after which a run that skips a number lacks an event.
const STEPS_WITHIN_RUN: u32 = 3;
/// The same for the first event of a run that resumes a stream.
const STEPS_BEFORE_RESUMPTION: u32 = 1;

/// Place in a stream: what is known of the events that its caller has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Id of the first event of the answer that has one.
    first: Option<String>,
    /// Id of the last event that has one.
    last: Option<String>,
    /// Number of steps between ids if all of them were by one. The step to the first event of a
    /// caller that resumes the stream counts only if it is by one: that caller may lack events.
    steps_by_one: Option<u32>,
    /// Whether the last id names the last event, so that the stream can be resumed after it.
    is_exact: bool,
}

/// An event that does not follow the one before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutOfOrder {
    /// Position of the event in the checked bytes.
    pub at: usize,
    /// What its id should have been.
    pub expected: String,
    /// Its id.
    pub received: String,
}

/// Number and ids of the events of one run.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EventSummary {
    /// Number of events.
    pub events: u64,
    /// Id of the first event that has one.
    pub first_id: Option<String>,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
    /// Number of events whose id is not one more than that of the event before.
    pub jumps: u64,
}

/// Checks the complete events of one run before they are forwarded.
#[derive(Debug)]
pub struct EventOrder {
    place: Place,
    /// Id of the event after which the run was asked to resume the stream.
    resumed_after: Option<String>,
    summary: EventSummary,
}

/// An event whose lines are being read.
#[derive(Debug, Default)]
struct OpenEvent<'a> {
    at: usize,
    has_lines: bool,
    /// Whether readers see more of it than its id.
    has_content: bool,
    id: Option<&'a [u8]>,
}

impl Default for Place {
    /// The beginning of a stream.
    fn default() -> Self {
        Self { first: None, last: None, steps_by_one: Some(0), is_exact: true }
    }
}

impl Place {
    /// The place behind the event with this id; an empty id is the beginning of the stream.
    pub fn after(id: &str) -> Self {
        let last = Some(id).filter(|id| !id.is_empty()).map(ToOwned::to_owned);
        Self { last, ..Self::default() }
    }

    /// Id of the event after which a run resumes the stream; `None` at its beginning.
    pub fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether a run that is asked to resume the stream after [`Self::last_id`] repeats no event.
    pub fn may_resume(&self) -> bool {
        self.is_exact
    }

    /// Moves behind an event with an id.
    fn pass(&mut self, id: &str, is_exact: bool) {
        if let Some(last) = &self.last {
            let is_by_one = number(id).is_some_and(|id| next_number(last) == Some(id));
            match &mut self.steps_by_one {
                Some(steps) if is_by_one => *steps = steps.saturating_add(1),
                steps if self.first.is_some() => *steps = None,
                _ => {}
            }
        }
        self.first.get_or_insert_with(|| id.to_owned());
        self.last = Some(id.to_owned());
        self.is_exact = is_exact;
    }
}

impl EventOrder {
    /// Checks a run that begins at `place`.
    pub fn new(place: Place) -> Self {
        let resumed_after = place.last.clone();
        Self { place, resumed_after, summary: EventSummary::default() }
    }

    /// Checks complete events up to the first that is out of order.
    pub fn check(&mut self, events: &[u8]) -> Result<(), OutOfOrder> {
        let mut event = OpenEvent::default();
        for (at, line) in lines(events) {
            if !line.is_empty() {
                event.read(line);
                continue;
            }
            if event.has_lines {
                self.pass(&event)?;
            }
            event = OpenEvent { at, ..OpenEvent::default() };
        }
        Ok(())
    }

    /// Returns the place behind the events in order, and their number and ids.
    pub fn into_parts(self) -> (Place, EventSummary) {
        (self.place, self.summary)
    }

    fn pass(&mut self, event: &OpenEvent<'_>) -> Result<(), OutOfOrder> {
        match event.id {
            Some(id) if !id.is_empty() => self.pass_id(event.at, id)?,
            Some(_) => self.place.is_exact = false,
            None if event.has_content => self.place.is_exact = false,
            None => {}
        }
        self.summary.events += 1;
        Ok(())
    }

    fn pass_id(&mut self, at: usize, bytes: &[u8]) -> Result<(), OutOfOrder> {
        let id = String::from_utf8_lossy(bytes);
        if let Some(expected) = self.violated(&id) {
            return Err(OutOfOrder { at, expected, received: id.into_owned() });
        }
        self.place.pass(&id, is_header_value(bytes));
        self.summary.add(&id);
        Ok(())
    }

    /// Whether the stream has numbered its events one by one for so long that the next event does
    /// so, too.
    fn is_numbered(&self) -> bool {
        let is_resumption = self.resumed_after.is_some() && self.summary.last_id.is_none();
        let required = if is_resumption { STEPS_BEFORE_RESUMPTION } else { STEPS_WITHIN_RUN };
        self.place.steps_by_one.is_some_and(|steps| steps >= required)
    }

    /// What the id of the next event should be instead of `id`.
    fn violated(&mut self, id: &str) -> Option<String> {
        let last = self.place.last.as_deref()?;
        if let (Some(last), Some(id)) = (number(last), number(id)) {
            if id <= last {
                return Some(format!("above {last}"));
            }
            return (id - last > 1 && self.is_numbered()).then(|| format!("{}", last + 1));
        }
        if id == last {
            return Some(format!("other than {last}"));
        }
        let earlier = [&self.place.first, &self.resumed_after];
        let earlier = earlier.into_iter().flatten().find(|earlier| *earlier == id)?;
        let expected = format!("other than {earlier}");
        // The run repeats earlier events, and some were forwarded before this showed.
        self.place.is_exact &= self.summary.events == 0;
        Some(expected)
    }
}

impl EventSummary {
    fn add(&mut self, id: &str) {
        if let Some(last) = self.last_id.as_deref().filter(|last| number(last).is_some()) {
            self.jumps += u64::from(number(id).is_none() || number(id) != next_number(last));
        }
        self.first_id.get_or_insert_with(|| id.to_owned());
        self.last_id = Some(id.to_owned());
    }
}

impl<'a> OpenEvent<'a> {
    fn read(&mut self, line: &'a [u8]) {
        self.has_lines = true;
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
        let (name, value) = line.split_at(colon);
        let value = value.strip_prefix(b":").unwrap_or(value);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"id" if !value.contains(&0) => self.id = Some(value),
            // Comments have no name; readers see neither them nor the reconnection time.
            b"id" | b"retry" | b"" => {}
            _ => self.has_content = true,
        }
    }
}

/// Lines with the position behind their ends, which are `\n`, `\r\n` or `\r`.
fn lines(bytes: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut at = 0;
    std::iter::from_fn(move || {
        let rest = &bytes[at..];
        let length = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
        at += length + if rest[length..].starts_with(b"\r\n") { 2 } else { 1 };
        Some((at, &rest[..length]))
    })
}

/// Value of an id that is a whole number.
fn number(id: &str) -> Option<u64> {
    let is_number = id.bytes().all(|byte| byte.is_ascii_digit());
    id.parse().ok().filter(|_| is_number)
}

/// The number after an id that is a whole number.
fn next_number(id: &str) -> Option<u64> {
    number(id)?.checked_add(1)
}

/// Whether an id reaches an endpoint unchanged as the value of a header.
fn is_header_value(id: &[u8]) -> bool {
    let is_visible = id.iter().all(|byte| !byte.is_ascii_control());
    is_visible && id.trim_ascii().len() == id.len() && str::from_utf8(id).is_ok()
}
