//! Shares of the calls of one data centre that go to servers in other data centres.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreName;
use crate::ids::ServiceName;

/// Share of the calls to one service that leave the data centre of their origin.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TrafficShare {
    /// The service that is called.
    pub service: ServiceName,
    /// Data centre whose servers get the share.
    pub destination: DataCentreName,
    /// Share of the calls of the origin, in thousandths.
    pub share_milli: u16,
}
