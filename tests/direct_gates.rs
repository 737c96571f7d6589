//! Messages to endpoints that were ordered before a status of the endpoint excluded them.

mod directenv;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use directenv::gateway::{incoming, listed, new_core};
use directenv::{address, deployment, endpoint, ms, position, route};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};
use stackmast::actor::{mailbox, run};
use stackmast::direct::answers::{AnswerProof, BatchOutcome, BatchReport, CallFailure, Identity};
use stackmast::direct::client::{
    Answer, AnswerBody, AnswerHead, EndpointClient, Exchange, ForwardedRequest,
};
use stackmast::direct::event::{CallParams, Event, PieceParams};
use stackmast::direct::gates::Gates;
use stackmast::direct::peers::links::PeerLinks;
use stackmast::direct::peers::message::Handle;
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Name, Repeat};
use stackmast::direct::shell::{GatewayShell, Reply};
use stackmast::direct::statement::{Backoff, CallKind, Statement};
use stackmast::logging::LogWriter;
use test_case::test_case;
use tokio::sync::Semaphore;

const ALL: [CallKind; 4] = [CallKind::Request, CallKind::Pieces, CallKind::Report, CallKind::Free];

fn open(gates: &Gates, endpoint: &Endpoint, at: u64) -> Vec<CallKind> {
    ALL.into_iter().filter(|asked| gates.is_open(endpoint, *asked, None, ms(at))).collect()
}

#[test]
fn a_pause_withholds_all_messages_until_its_end() {
    let (gates, paused) = (Gates::default(), endpoint("engine", 1));
    gates.close(paused.id.clone(), 0, Some(ms(3_000)), ms(0));
    gates.close(paused.id.clone(), 0, Some(ms(1_000)), ms(10));
    assert!(open(&gates, &paused, 2_999).is_empty(), "a shorter one does not end it");
    assert_eq!(open(&gates, &paused, 3_000), ALL);
    assert_eq!(open(&gates, &endpoint("engine", 2), 10), ALL, "others get theirs");
}

#[test]
fn a_leaving_endpoint_gets_only_requests_to_free_results() {
    let (gates, leaving) = (Gates::default(), endpoint("engine", 1));
    gates.close(leaving.id.clone(), 0, None, ms(0));
    gates.close(leaving.id.clone(), 0, Some(ms(1_000)), ms(0));
    assert!(open(&gates, &leaving, 999).is_empty());
    assert_eq!(
        open(&gates, &leaving, 20_000),
        [CallKind::Free],
        "a pause that ends changes nothing"
    );
}

#[test]
fn a_new_incarnation_gets_all_messages() {
    let (gates, first) = (Gates::default(), endpoint("engine", 1));
    gates.close(first.id.clone(), 0, None, ms(0));
    let second = Arc::new(Endpoint { incarnation: 9, ..(*first).clone() });
    assert_eq!(open(&gates, &second, 1), ALL);
}

/// An endpoint whose first message is held back before it is sent, and which sends a status in
/// every answer.
struct StatusClient {
    statement: Statement,
    held: Arc<Semaphore>,
    calls: AtomicUsize,
    sent: Arc<AtomicUsize>,
}

impl EndpointClient for StatusClient {
    async fn call(
        &self,
        _order: CallParams,
        _request: Arc<ForwardedRequest>,
        mut exchange: impl Exchange,
    ) -> Result<Answer, CallFailure> {
        if self.calls.fetch_add(1, Ordering::Relaxed) == 0 {
            self.held.acquire().await.expect("it is open").forget();
        }
        if !exchange.may_send() {
            return Err(CallFailure::Withheld);
        }
        self.sent.fetch_add(1, Ordering::Relaxed);
        exchange.on_status(self.statement);
        let head = AnswerHead { status: StatusCode::OK, headers: HeaderMap::new() };
        let proof = AnswerProof {
            status: 200,
            signed: true,
            names_request: true,
            ..AnswerProof::default()
        };
        Ok(Answer { proof, head, body: AnswerBody::Complete(Bytes::new()) })
    }

    async fn batch(
        &self,
        _endpoint: Arc<Endpoint>,
        _pieces: Vec<PieceParams>,
        _exchange: impl Exchange,
    ) -> BatchOutcome {
        BatchOutcome::Full
    }

    async fn report(&self, _: Arc<Endpoint>, _exchange: impl Exchange) -> Option<BatchReport> {
        None
    }

    async fn identify(
        &self,
        _endpoint: Arc<Endpoint>,
        _health_path: Option<Name>,
        _exchange: impl Exchange,
    ) -> Identity {
        Identity::Unknown
    }

    async fn is_closed(&self, _endpoint: &Endpoint) -> bool {
        false
    }

    async fn free(&self, _: Arc<Endpoint>, _handles: Vec<Handle>, _exchange: impl Exchange) {}
}

// A request waits for its connection while another one is answered, and the answer announces that
// the endpoint leaves or pauses.
#[test_case(Statement { leaving: true, ..Statement::default() }; "leaving")]
#[test_case(Statement { backoff: Some(Backoff::Unclear), ..Statement::default() }; "pause")]
#[tokio::test]
async fn a_call_ordered_before_a_status_is_withheld(statement: Statement) {
    let (held, sent) = (Arc::new(Semaphore::new(0)), Arc::<AtomicUsize>::default());
    let calls = AtomicUsize::new(0);
    let client = StatusClient { statement, held: held.clone(), calls, sent: sent.clone() };
    let (core, waiting) = mailbox();
    let peers = PeerLinks::new(address(9), 1, core.clone());
    let lines = LogWriter::new("test");
    let (shell, gateway) = GatewayShell::new(core.clone(), Arc::new(client), peers, lines);
    tokio::spawn(run(new_core(), shell, waiting));
    let routes = vec![route("r", Repeat::Idempotent, &[])];
    let document = Document::Deployment(Arc::new(deployment(1, routes)));
    let mut documents = listed(&[endpoint("engine", 1)], 2);
    documents.push(Revised { position: position(1), created_revision: 0, document });
    core.send(Event::Published { documents, extent: Extent::Complete { at: position(2) } })
        .await
        .expect("a core");
    let ask = async || {
        let (method, headers, body) = (Method::GET, HeaderMap::new(), Bytes::new());
        let target = PathAndQuery::from_static("/r/x");
        let request = ForwardedRequest { method, target, headers, body };
        gateway.submit(incoming("r", Vec::new()), request).await.expect("an answer")
    };
    let after = async {
        tokio::time::sleep(ms(20)).await;
        let answered = ask().await;
        tokio::time::sleep(ms(20)).await;
        held.add_permits(1);
        answered
    };
    let (first, second) = tokio::join!(ask(), after);
    assert!(matches!(second, Reply::Complete(..)));
    let Reply::Refused(refusal) = first else { panic!("it went out") };
    assert!(refusal.not_run);
    assert_eq!(sent.load(Ordering::Relaxed), 1);
}
