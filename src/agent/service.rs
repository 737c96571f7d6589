//! gRPC service of the agent: stages and tickets.

use std::sync::Arc;

use tonic::{Request, Response, Status};

use super::shell::{Replies, StageService};
use super::tickets::Tickets;
use crate::wire::v1;

/// Implementation of the `Agent` gRPC service.
#[derive(Clone)]
pub struct AgentService {
    /// Handles stage calls and revocations.
    pub stages: StageService,
    /// Tickets issued by this agent.
    pub tickets: Arc<Tickets>,
}

#[tonic::async_trait]
impl v1::agent_server::Agent for AgentService {
    type RunStream = Replies;

    async fn run(&self, request: Request<v1::RunRequest>) -> Result<Response<Replies>, Status> {
        self.stages.run(request.into_inner()).await.map(Response::new)
    }

    async fn revoke(
        &self,
        request: Request<v1::RevokeRequest>,
    ) -> Result<Response<v1::RevokeReply>, Status> {
        self.stages.revoke(request.into_inner()).await.map(Response::new)
    }

    async fn claim(
        &self,
        request: Request<v1::ClaimRequest>,
    ) -> Result<Response<v1::ClaimReply>, Status> {
        Ok(Response::new(self.tickets.claim(&request.into_inner())))
    }

    async fn read_ticket(
        &self,
        request: Request<v1::ReadTicketRequest>,
    ) -> Result<Response<v1::ReadTicketReply>, Status> {
        Ok(Response::new(self.tickets.read(&request.into_inner())))
    }

    async fn open_ticket(
        &self,
        request: Request<v1::OpenTicketRequest>,
    ) -> Result<Response<v1::OpenTicketReply>, Status> {
        Ok(Response::new(self.tickets.open(&request.into_inner())))
    }

    async fn finish_ticket(
        &self,
        request: Request<v1::FinishTicketRequest>,
    ) -> Result<Response<v1::FinishTicketReply>, Status> {
        Ok(Response::new(self.tickets.finish(request.into_inner())))
    }
}
