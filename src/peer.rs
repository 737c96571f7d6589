//! The peer service: exchange of documents between processes, and explanations of requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use crate::actor::Handle;
use crate::channels::Channels;
use crate::distribution::{CONFIG, Distributor, HOSTS};
use crate::gateway::core::GatewayCore;
use crate::message::RequestId;
use crate::metrics as m;
use crate::policy::explain::Explanation;
use crate::wire::v1::peer_client::PeerClient;
use crate::wire::{PROTOCOL, v1};

/// Capacity of the queue of parts to send in one call.
const PARTS_BUFFERED: usize = 4;
/// Timeout for an explanation from another gateway.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of peers to ask when the host list does not contain the gateway.
const MAX_PEERS_ASKED: usize = 16;

/// gRPC service that answers the requests of other processes.
#[derive(Clone)]
pub struct PeerService {
    /// Distribution of configuration and host list.
    pub distributor: Arc<Distributor>,
    /// Core of the gateway; `None` in an agent.
    pub gateway: Option<Handle<GatewayCore>>,
}

#[tonic::async_trait]
impl v1::peer_server::Peer for PeerService {
    type PartsStream = ReceiverStream<Result<v1::Part, Status>>;

    async fn exchange(
        &self,
        request: Request<v1::ExchangeRequest>,
    ) -> Result<Response<v1::ExchangeReply>, Status> {
        let request = request.into_inner();
        if request.protocol != PROTOCOL {
            return Err(Status::failed_precondition("another version of the protocol"));
        }
        if let Ok(peer) = request.address.parse::<SocketAddr>() {
            let distributor = self.distributor.clone();
            tokio::spawn(
                async move { distributor.pull_newer(peer, &request.documents).await.ok() },
            );
        }
        Ok(Response::new(v1::ExchangeReply { documents: self.distributor.versions() }))
    }

    async fn manifest(
        &self,
        request: Request<v1::ManifestRequest>,
    ) -> Result<Response<v1::ManifestReply>, Status> {
        let manifest = match request.into_inner().document.as_str() {
            CONFIG => {
                let installed = self.distributor.store().installed();
                installed.and_then(|i| serde_json::to_vec(&i.bundle.manifest).ok())
            }
            HOSTS => serde_json::to_vec(&*self.distributor.hosts()).ok(),
            _ => return Err(Status::not_found("no such document")),
        };
        let manifest = manifest.unwrap_or_default();
        m::control_bytes("out", manifest.len());
        Ok(Response::new(v1::ManifestReply { manifest }))
    }

    async fn parts(
        &self,
        request: Request<v1::PartsRequest>,
    ) -> Result<Response<Self::PartsStream>, Status> {
        let installed = self.distributor.store().installed();
        let installed = installed.ok_or_else(|| Status::not_found("no configuration"))?;
        let (sender, receiver) = mpsc::channel(PARTS_BUFFERED);
        tokio::spawn(async move {
            for digest in request.into_inner().digests {
                let Some(content) = installed.bundle.parts.get(&digest) else {
                    continue;
                };
                m::control_bytes("out", content.len());
                let part = v1::Part { digest, content: content.to_vec() };
                if sender.send(Ok(part)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn explain(
        &self,
        request: Request<v1::ExplainRequest>,
    ) -> Result<Response<v1::ExplainReply>, Status> {
        let id: Result<RequestId, _> = request.into_inner().request.parse();
        let id = id.map_err(|e| Status::invalid_argument(e.to_string()))?;
        let explained = match &self.gateway {
            Some(gateway) => explain_local(gateway, id).await,
            None => None,
        };
        let explanation = explained.and_then(|e| serde_json::to_vec(&e).ok());
        Ok(Response::new(v1::ExplainReply { explanation: explanation.unwrap_or_default() }))
    }
}

/// Explains a request of this gateway.
pub async fn explain_local(gateway: &Handle<GatewayCore>, id: RequestId) -> Option<Explanation> {
    let record = gateway.inspect(move |core, _| core.record(&id)).await.ok()??;
    Some(Explanation::from(&*record))
}

/// Requests an explanation from the gateway that scheduled the request.
pub async fn explain_remote(
    distributor: &Distributor,
    channels: &Channels,
    id: &RequestId,
) -> Option<Explanation> {
    let hosts = distributor.hosts();
    let named = hosts.hosts.iter().find(|h| *h.name == *id.gateway).map(|h| h.internal);
    let asked = match named {
        Some(gateway) => vec![gateway],
        None => distributor.peers().into_iter().take(MAX_PEERS_ASKED).collect(),
    };
    for peer in asked {
        let explained =
            tokio::time::timeout(EXPLAIN_TIMEOUT, request_explanation(channels, peer, id)).await;
        if let Ok(Some(explanation)) = explained {
            return Some(explanation);
        }
    }
    None
}

async fn request_explanation(
    channels: &Channels,
    peer: SocketAddr,
    id: &RequestId,
) -> Option<Explanation> {
    let channel = channels.get(peer).await.ok()?;
    let request = v1::ExplainRequest { request: id.to_string() };
    let reply = PeerClient::new(channel).explain(request).await.ok()?;
    serde_json::from_slice(&reply.into_inner().explanation).ok()
}
