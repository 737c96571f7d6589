//! Simulated publisher: gives the gateways the configuration and the list of endpoints.

use std::sync::Arc;

use rand::RngExt;
use stackmast::direct::event::Event;
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::Endpoint;

use super::world::{GATEWAYS, SimEvent, World};
use super::{deployment, endpoints, ms, position};

impl World {
    fn documents(&self) -> Vec<Revised> {
        let entry = |e: &Arc<Endpoint>| {
            let mut endpoint = (**e).clone();
            endpoint.leaving = self.leaving.contains(&*e.id);
            let revision = if endpoint.leaving { self.revision } else { self.listed_at };
            Revised {
                position: position(revision),
                created_revision: 0,
                document: Document::Endpoint(Arc::new(endpoint)),
            }
        };
        let mut documents: Vec<Revised> = endpoints().iter().map(entry).collect();
        let deployment = Arc::new(deployment(self.version, self.routes.clone()));
        documents.push(Revised {
            position: position(self.revision),
            created_revision: 0,
            document: Document::Deployment(deployment),
        });
        documents
    }

    pub fn publish_to(&mut self, number: usize) {
        let documents = self.documents();
        let extent = Extent::Complete { at: position(self.revision) };
        let incarnation = self.incarnations[number];
        let delay = self.time_in(ms(1), ms(80));
        let event = Event::Published { documents, extent };
        self.at(self.now + delay, SimEvent::Event(number, incarnation, Box::new(event)));
    }

    pub(super) fn publish(&mut self) {
        self.revision += 1;
        if self.chance(0.5) {
            self.version += 2;
        } else {
            let endpoints = endpoints();
            let number = self.rng.random_range(0..endpoints.len());
            self.leaving.insert(endpoints[number].id.to_string());
        }
        for number in 0..usize::from(GATEWAYS) {
            if self.chance(0.8) {
                self.publish_to(number);
            }
        }
    }

    /// Publishes a list with a third of the entries; the others are written again later.
    pub(super) fn expire_entries(&mut self) {
        self.revision += 2;
        let extent = Extent::Complete { at: position(self.revision - 1) };
        let listed = self.documents().into_iter().enumerate().filter(|(i, _)| i % 3 == 0);
        let documents: Vec<Revised> = listed.map(|(_, document)| document).collect();
        // Entries that are written again get later revisions than all entries seen before.
        self.listed_at = self.revision;
        for number in 0..usize::from(GATEWAYS) {
            let documents = documents.clone();
            self.handle(number, Event::Published { documents, extent });
        }
    }
}
