//! Decodes messages of builds that don't share load reports: compact forms 6 and 7.
//!
//! Form 8 appends one field to a submission, the organisation, and one to a heartbeat, the load
//! reports. Both are the last bytes of their message, and their empty values are encoded as a zero
//! byte. Other kinds of messages are the same, and bytes after their last field are ignored.

use std::ops::RangeInclusive;

use crate::direct::peers::message::PeerMessage;

/// The forms that are decoded here. A form may be dropped once no release that writes it needs a
/// rolling upgrade to this one.
pub(super) const FORMS: RangeInclusive<u32> = 6..=7;
/// Encoding of an absent organisation, and of an empty list of load reports.
const EMPTY_FIELD: u8 = 0;

/// Decodes a message without the fields that form 8 appends.
pub(super) fn read(message: &[u8]) -> Option<PeerMessage> {
    let message = [message, &[EMPTY_FIELD]].concat();
    postcard::from_bytes(&message).ok()
}
