//! Orders to evacuate a data centre, or to return it to service.

use clock::Clock;
use fleet::ProtocolAdapter;
use fleet::StoreEntry;
use http::StatusCode;
use model::ids::DataCentreName;
use tracing::info;

use crate::operators::HttpResponse;
use crate::operators::OperatorHandler;
use crate::operators::subject::OrderSubject;
use crate::state::DataCentreStatus;

impl<C: Clock, A: ProtocolAdapter> OperatorHandler<C, A> {
    /// Handles an order to evacuate a data centre, or to return it to service if not `active`.
    pub(super) async fn order_evacuation(
        &self,
        data_centre: DataCentreName,
        active: bool,
        path: &str,
    ) -> HttpResponse {
        info!(event = "evacuation-ordered", %data_centre, active);
        let subject = OrderSubject::Evacuation {
            data_centre: data_centre.clone(),
            active,
        };
        let entry = StoreEntry::Evacuation {
            data_centre,
            active,
        };
        self.propose(subject, entry, path).await
    }

    /// Returns the response to an order about a data centre that this leader does not know; `None`
    /// if it knows it.
    ///
    /// A leader that lacks reports of nodes may not know the data centre yet, so the operator has
    /// to try again.
    pub(super) fn refuse_unknown(
        &self,
        subject: &OrderSubject,
        data_centre: &str,
    ) -> Option<HttpResponse> {
        match self.state.data_centre_status(data_centre) {
            DataCentreStatus::Known => None,
            DataCentreStatus::Undetermined => {
                Some(self.unavailable(subject, "not all nodes have reported"))
            }
            DataCentreStatus::Unknown => {
                info!(
                    event = "evacuation-refused",
                    data_centre,
                    reason = "unknown"
                );
                self.state.metrics.count("evacuation", "unknown");
                Some(self.respond_with_reason(StatusCode::NOT_FOUND, "no such data centre"))
            }
        }
    }
}
