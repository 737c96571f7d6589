//! Regions in which a request may run.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};

/// The endpoint label that holds the region.
pub const REGION_LABEL: &str = "region";

/// Returns the region of an endpoint, if it has the label.
pub fn region_of(endpoint: &Endpoint) -> Option<&str> {
    endpoint.labels.get(REGION_LABEL).map(String::as_str)
}

/// The regions in which a request and the pieces of its stages may run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions {
    /// `None` if all regions are allowed.
    regions: Option<BTreeSet<Name>>,
}

impl AllowedRegions {
    /// Combines the regions of a request's route and of its organisation; if both are restricted,
    /// only regions in both are allowed.
    pub fn of(route: &[Name], organisation: &[Name]) -> Self {
        let set = |names: &[Name]| names.iter().cloned().collect::<BTreeSet<Name>>();
        let regions = match (route.is_empty(), organisation.is_empty()) {
            (true, true) => None,
            (false, true) => Some(set(route)),
            (true, false) => Some(set(organisation)),
            (false, false) => Some(&set(route) & &set(organisation)),
        };
        Self { regions }
    }

    /// Whether all regions are allowed.
    pub const fn is_unrestricted(&self) -> bool {
        self.regions.is_none()
    }

    /// Whether an endpoint is in an allowed region. A restriction excludes endpoints without a
    /// region.
    pub fn allows(&self, endpoint: &Endpoint) -> bool {
        self.allows_region(region_of(endpoint))
    }

    /// Whether a region is allowed.
    pub fn allows_region(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.regions else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }
}
