//! Regions in which requests may run.

use base::SortedMap;
use compact_str::CompactString;

use crate::{DirectFleet, TargetKey};

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Homes {
    /// All regions.
    #[default]
    Anywhere,
    /// These regions; none if the regions of the route and of the customer have nothing in common.
    Regions(Vec<CompactString>),
}

impl Homes {
    /// Returns the homes of a request whose route and customer have these regions; an empty list sets
    /// no limit.
    pub fn of(route: &[CompactString], customer: &[CompactString]) -> Self {
        match (route, customer) {
            ([], []) => Self::Anywhere,
            (regions, []) | ([], regions) => Self::Regions(regions.to_vec()),
            (route, customer) => Self::Regions(
                route.iter().filter(|region| customer.contains(region)).cloned().collect(),
            ),
        }
    }

    /// Returns whether the request may run in a region; none stands for an unknown one.
    pub fn include(&self, region: Option<&CompactString>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Regions(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }
}

impl DirectFleet {
    /// Returns the targets of a service that are outside the homes of a request, by the regions of
    /// data centres. A target whose data centre has no known region is outside of all homes.
    pub fn outside_homes(
        &self,
        service: &str,
        homes: &Homes,
        regions: &SortedMap<CompactString, CompactString>,
    ) -> Vec<TargetKey> {
        if *homes == Homes::Anywhere {
            return Vec::new();
        }
        (0..)
            .map(TargetKey)
            .zip(&self.targets)
            .filter(|(_, target)| {
                target.service == service && !homes.include(regions.get(&target.data_centre))
            })
            .map(|(key, _)| key)
            .collect()
    }
}
