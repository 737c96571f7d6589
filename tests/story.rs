//! Reconstructs the history of a request from the log lines of many processes.

use stackmast::request_trace::trace_request;

const LINES: &str = r#"
   0.26 front-1 {"at_unix_ms":105,"host":"front-1","event":"sent","request":"a","endpoint":"i-1"}
{"at_unix_ms":100,"host":"front-1","event":"arrived","request":"a","route":"r"}
{"at_unix_ms":101,"host":"front-2","event":"batch_sent","call":7,"endpoint":"m","pieces":[["b",0,0],["a",0,1]]}
{"at_unix_ms":103,"host":"front-2","event":"batch_ended","call":7,"outcome":"made=2"}
{"at_unix_ms":103,"host":"front-1","event":"batch_ended","call":7,"outcome":"made=9"}
{"at_unix_ms":900,"host":"front-2","event":"batch_sent","call":7,"endpoint":"m","pieces":[["c",0,0]]}
{"at_unix_ms":901,"host":"front-2","event":"batch_ended","call":7,"outcome":"made=1"}
{"at_unix_ms":102,"host":"front-1","event":"arrived","request":"b","route":"r"}
half a line {"at_unix
"#;

#[test]
fn a_story_is_ordered_by_time_over_all_processes() {
    let story = trace_request("a", LINES.as_bytes()).expect("readable");
    let events: Vec<_> = story.lines.iter().map(|c| (c.host.as_str(), c.event.as_str())).collect();
    assert_eq!(
        events,
        [
            ("front-1", "arrived"),
            ("front-2", "batch_sent"),
            ("front-2", "batch_ended"),
            ("front-1", "sent"),
        ]
    );
    assert!(story.lines[1].inputs.contains("pieces=1/2"), "{}", story.lines[1].inputs);
    assert_eq!(story.unparsed, 1, "what is none of the log's is counted");
}

#[test]
fn an_unknown_request_has_no_story() {
    assert!(trace_request("nobody", LINES.as_bytes()).expect("readable").lines.is_empty());
}
