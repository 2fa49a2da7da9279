//! The resources whose capacity forwarders share, and amounts of them.

use granitelb_balancer::ids::EndpointId;
use serde::{Deserialize, Serialize};

/// The number of amounts of [`Resource::Origin`] in one fetch a second.
const AMOUNTS_PER_FETCH: f64 = 1e3;
/// The number of amounts of [`Resource::WarmingCache`] in one second of work a second.
const AMOUNTS_PER_SECOND_OF_WORK: f64 = 1e6;

/// A resource whose capacity forwarders share.
///
/// The order of the variants is part of the wire format and of the order in which resources are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Fetches at the origin. Amounts are in thousandths of a fetch a second.
    Origin,
    /// Work at a cache server that is warming up, scaled as if the server were warm and of size 1. Amounts
    /// are in millionths of a second of work a second: in thousandths, the guaranteed share of one of 300
    /// forwarders would be rounded to zero.
    WarmingCache(#[serde(with = "endpoint_id")] EndpointId),
}

impl Resource {
    /// The number of amounts in one unit: in a fetch a second, or in a second of work a second.
    pub fn amounts_per_unit(self) -> f64 {
        match self {
            Resource::Origin => AMOUNTS_PER_FETCH,
            Resource::WarmingCache(_) => AMOUNTS_PER_SECOND_OF_WORK,
        }
    }
}

/// An amount of a resource. On the wire it is a pair of the two fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceAmount {
    /// The resource.
    pub resource: Resource,
    /// The amount, in the unit that [`Resource`] defines for the resource.
    pub amount: u32,
}

/// Serializes an endpoint's id as a plain number.
mod endpoint_id {
    use granitelb_balancer::ids::EndpointId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(id: &EndpointId, serializer: S) -> Result<S::Ok, S::Error> {
        id.0.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<EndpointId, D::Error> {
        u64::deserialize(deserializer).map(EndpointId)
    }
}
