//! Messages between gateways as earlier releases wrote them, stored in one file per form
//! (`tests/frames`). This build reads them, writes its own form exactly as stored, and omits no
//! field that an older build needs.
//!
//! To change a message: raise `FORM`, write the new file with `stackmast-testbed frames
//! tests/frames/form-N.json`, and keep a reader of the previous form, like `peers/without_eras.rs`.

use std::collections::BTreeSet;

use serde_json::Value;
use stackmast::direct::peers::codec::{FORM, Unreadable, read};
use stackmast::direct::peers::message::PeerMessage;
use stackmast_testbed::frames::{Frame, Frames, own};
use test_case::test_case;

/// The form of the previous release; its compact frames are read.
const BEFORE: u32 = 11;
/// The form before that, without the verification of entries.
const WITHOUT_VERIFICATION: u32 = 10;
/// The form before that, without parts of prompts.
const WITHOUT_PROMPT_PARTS: u32 = 9;
/// The form before that, without origins of streams.
const WITHOUT_ORIGINS: u32 = 8;
/// The forms of the releases before that; their compact frames are read, too.
const WITHOUT_LOADS: u32 = 7;
const EARLIER: u32 = 6;
const WITHOUT_ERAS: u32 = 5;
const EARLIEST_MARKED: u32 = 4;
/// The first form whose compact frames are read.
const FIRST: u32 = 3;
/// Number of bytes before the message kind in a compact frame.
const MARK_AND_FORM: usize = 2;

fn kept(form: u32) -> Frames {
    let file = format!("{}/tests/frames/form-{form}.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    serde_json::from_slice(&text).unwrap_or_else(|error| panic!("{file}: {error}"))
}

#[test]
fn this_build_writes_its_form_as_stored() {
    let (kept, own) = (kept(FORM), own());
    assert_eq!(kept.form, own.form);
    for (kind, frame) in &own.frames {
        let kept = kept.frames.get(kind);
        assert!(kept.is_some_and(|kept| kept == frame), "{kind} is not as form {FORM} has it");
    }
    assert_eq!(kept.frames.len(), own.frames.len(), "a kind of message went");
}

#[test]
fn each_kind_of_message_is_stored() {
    let frames = own().frames;
    let kind = |frame: &Frame| frame.compact_bytes().expect("hexadecimal")[MARK_AND_FORM];
    let kinds: BTreeSet<u8> = frames.values().map(kind).collect();
    assert_eq!(kinds, (0..frames.len() as u8).collect());
    let next = [&[0xc1, FORM as u8, frames.len() as u8][..], &[0; 64]].concat();
    assert!(read(&next, FORM).is_err(), "there is one more");
}

#[test_case(FORM)]
#[test_case(BEFORE)]
#[test_case(WITHOUT_VERIFICATION)]
#[test_case(WITHOUT_PROMPT_PARTS)]
#[test_case(WITHOUT_ORIGINS)]
#[test_case(WITHOUT_LOADS)]
#[test_case(EARLIER)]
#[test_case(WITHOUT_ERAS)]
#[test_case(EARLIEST_MARKED)]
#[test_case(FIRST)]
#[test_case(2)]
fn json_of_earlier_releases_is_read(form: u32) {
    for (kind, frame) in kept(form).frames {
        let message = read(&frame.json_bytes(), form);
        assert_eq!(message.as_ref().map(PeerMessage::kind), Ok(&*kind));
    }
}

#[test_case(FORM)]
#[test_case(BEFORE)]
#[test_case(WITHOUT_VERIFICATION)]
#[test_case(WITHOUT_PROMPT_PARTS)]
#[test_case(WITHOUT_ORIGINS)]
#[test_case(WITHOUT_LOADS)]
#[test_case(EARLIER)]
#[test_case(WITHOUT_ERAS)]
#[test_case(EARLIEST_MARKED)]
#[test_case(FIRST)]
fn compact_frames_of_earlier_releases_are_read_like_their_json(form: u32) {
    for (kind, frame) in kept(form).frames {
        let compact = frame.compact_bytes().expect("hexadecimal");
        assert_eq!(read(&compact, form), read(&frame.json_bytes(), form), "{kind}");
    }
}

/// Guards against an unmarked frame that is read by the form of a greeting, where that form is
/// always marked.
#[test_case(FORM)]
#[test_case(BEFORE)]
#[test_case(WITHOUT_VERIFICATION)]
#[test_case(WITHOUT_PROMPT_PARTS)]
#[test_case(WITHOUT_ORIGINS)]
#[test_case(WITHOUT_LOADS)]
#[test_case(EARLIER)]
#[test_case(WITHOUT_ERAS)]
#[test_case(EARLIEST_MARKED)]
fn an_unmarked_frame_of_a_marked_form_is_not_read(form: u32) {
    for (kind, frame) in kept(form).frames {
        let compact = frame.compact_bytes().expect("hexadecimal");
        let unmarked = &compact[MARK_AND_FORM..];
        assert_eq!(read(unmarked, form), Err(Unreadable::Message { job: None }), "{kind}");
    }
}

#[test]
fn compact_frames_of_unsupported_forms_are_rejected() {
    for (kind, frame) in kept(2).frames {
        let compact = frame.compact_bytes().expect("hexadecimal");
        assert_eq!(read(&compact, 2), Err(Unreadable::Form(2)), "{kind}");
    }
}

/// Whether a program that reads messages like `older` also reads `newer`: it ignores fields that it
/// does not know, and needs those that it does know, in the same shape.
fn fits(older: &Value, newer: &Value) -> Result<(), String> {
    match (older, newer) {
        (Value::Object(older), Value::Object(newer)) => {
            older.iter().try_for_each(|(name, value)| {
                let newer = newer.get(name).ok_or_else(|| format!("{name} lacks"))?;
                fits(value, newer).map_err(|why| format!("{name}: {why}"))
            })
        }
        (Value::Array(older), Value::Array(newer)) => match (older.first(), newer.first()) {
            (Some(older), Some(newer)) => fits(older, newer),
            _ => Ok(()),
        },
        (older, newer) if std::mem::discriminant(older) == std::mem::discriminant(newer) => Ok(()),
        (older, newer) => Err(format!("{newer} where {older} was")),
    }
}

#[test_case(BEFORE)]
#[test_case(WITHOUT_VERIFICATION)]
#[test_case(WITHOUT_PROMPT_PARTS)]
#[test_case(WITHOUT_ORIGINS)]
#[test_case(WITHOUT_LOADS)]
#[test_case(EARLIER)]
#[test_case(WITHOUT_ERAS)]
#[test_case(EARLIEST_MARKED)]
#[test_case(FIRST)]
#[test_case(2)]
fn json_of_this_build_fits_the_schema_of_earlier_releases(form: u32) {
    let own = own().frames;
    for (kind, older) in kept(form).frames {
        let newer = own.get(&kind).unwrap_or_else(|| panic!("{kind} is not written any more"));
        fits(&older.json, &newer.json).unwrap_or_else(|why| panic!("{kind}: {why}"));
    }
}

// Checks `fits` itself: a field that is missing or has another shape is found at any depth.
#[test_case(r#"{"a":{"b":[{"c":1}]}}"#, r#"{"a":{"b":[{"c":1,"d":2}]}}"#, true; "more")]
#[test_case(r#"{"a":{"b":[{"c":1}]}}"#, r#"{"a":{"b":[{"d":2}]}}"#, false; "less")]
#[test_case(r#"{"a":{"b":[{"c":1}]}}"#, r#"{"a":{"b":[{"c":"1"}]}}"#, false; "another shape")]
fn the_schema_check_ignores_unknown_fields_only(older: &str, newer: &str, expected: bool) {
    let parse = |text| serde_json::from_str::<Value>(text).expect("JSON");
    assert_eq!(fits(&parse(older), &parse(newer)).is_ok(), expected);
}
