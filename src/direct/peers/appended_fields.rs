//! Decodes messages of builds that lack fields which later forms append: compact forms 6 to 11.
//!
//! Form 8 appends the organisation to a submission and the load reports to a heartbeat, form 11 the
//! verification to entries of endpoints, form 12 the health checks to a configuration. Each is the
//! last field of its message, and its empty value is encoded as a zero byte. Other messages are the
//! same, and bytes after their last field are ignored.

use std::ops::RangeInclusive;

use crate::direct::peers::message::PeerMessage;

/// The forms that are decoded here. A form may be dropped once no release that writes it needs a
/// rolling upgrade to this one.
pub(super) const FORMS: RangeInclusive<u32> = 6..=11;
/// Encoding of an absent organisation or verification, and of an empty list of load reports or
/// health checks.
const EMPTY_FIELD: u8 = 0;

/// Decodes a message without the appended fields; they are empty.
pub(super) fn read(message: &[u8]) -> Option<PeerMessage> {
    let message = [message, &[EMPTY_FIELD]].concat();
    postcard::from_bytes(&message).ok()
}
