//! Regions that a request may be run in.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};

/// The label of endpoints that names their region.
pub const REGION_LABEL: &str = "region";

/// Where an endpoint stands.
pub fn region_of(endpoint: &Endpoint) -> Option<&str> {
    endpoint.labels.get(REGION_LABEL).map(String::as_str)
}

/// Where a request and the pieces of its stages may go.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    /// `None` where every region will do.
    regions: Option<BTreeSet<Name>>,
}

impl Homes {
    /// The homes of a request by those of its route and its organisation: where both have some, both bind.
    pub fn of(route: &[Name], organisation: &[Name]) -> Self {
        let set = |homes: &[Name]| homes.iter().cloned().collect::<BTreeSet<Name>>();
        let regions = match (route.is_empty(), organisation.is_empty()) {
            (true, true) => None,
            (false, true) => Some(set(route)),
            (true, false) => Some(set(organisation)),
            (false, false) => Some(&set(route) & &set(organisation)),
        };
        Self { regions }
    }

    /// Whether every region will do.
    pub const fn are_everywhere(&self) -> bool {
        self.regions.is_none()
    }

    /// Whether an endpoint stands in one of them; one without a region stands in none.
    pub fn have(&self, endpoint: &Endpoint) -> bool {
        self.have_region(region_of(endpoint))
    }

    /// Whether a region is one of them.
    pub fn have_region(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.regions else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }
}
