//! The path of an operator's order: to the leader, into the log, and back once it is safe.

use std::net::IpAddr;
use std::net::SocketAddr;

use clock::Clock;
use fleet::ChangeOutcome;
use fleet::ProtocolAdapter;
use fleet::StoreEntry;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use quorum::MemberRole;
use replica::ProposeError;
use replica::ReplicatedState;

use crate::identity::instance_ip;
use crate::operators::HttpResponse;
use crate::operators::OperatorHandler;
use crate::operators::subject::OrderSubject;

impl<C: Clock, A: ProtocolAdapter> OperatorHandler<C, A> {
    /// Replicates what an operator ordered, and acknowledges it once a quorum has stored it.
    pub(super) async fn propose(
        &self,
        subject: OrderSubject,
        entry: StoreEntry,
        path: &str,
    ) -> HttpResponse {
        let Some(replica) = self.state.replica() else {
            return self.unavailable(&subject, "starting");
        };
        let status = replica.status();
        if status.role != MemberRole::Leader {
            let other_leader = status.leader.filter(|leader| *leader != status.instance);
            return match other_leader {
                Some(leader) => self.redirect(&subject, instance_ip(leader), path),
                None => self.unavailable(&subject, "no leader"),
            };
        }
        if let Some(refusal) = self.refusal(&subject) {
            return refusal;
        }
        if !self.state.await_strength().await {
            return self.unavailable(&subject, "too few members");
        }
        let Ok(entry) = entry.encode() else {
            return self.unavailable(&subject, "not encoded");
        };
        let outcome = replica.propose(entry).await;
        let detail = match &outcome {
            Ok(ChangeOutcome::Accepted) => "accepted",
            Ok(_) => "refused",
            Err(_) => "unknown",
        };
        self.state.metrics.count(subject.metric_kind(), detail);
        subject.log_decided(&outcome, &self.describe_group());
        match outcome {
            Ok(ChangeOutcome::Accepted) => self.acknowledge(&subject).await,
            Ok(ChangeOutcome::Conflict { current }) => {
                let reason = format!("version {current} is in force");
                self.respond_with_reason(StatusCode::PRECONDITION_FAILED, &reason)
            }
            Ok(ChangeOutcome::OldVersion { current }) => {
                let reason = format!("the version must be above {current}");
                self.respond_with_reason(StatusCode::BAD_REQUEST, &reason)
            }
            Ok(ChangeOutcome::Unreadable | ChangeOutcome::Stored) => {
                self.unavailable(&subject, "unreadable entry")
            }
            Err(ProposeError::NotLeader { .. } | ProposeError::Unknown) => {
                self.undecided(&subject, "no outcome")
            }
        }
    }

    /// Returns the response to an order that this leader must not replicate.
    fn refusal(&self, subject: &OrderSubject) -> Option<HttpResponse> {
        match subject {
            OrderSubject::Config { .. } => None,
            OrderSubject::Evacuation { data_centre, .. } => {
                self.refuse_unknown(subject, data_centre)
            }
        }
    }

    /// Acknowledges an order that is committed, unless the members have changed meanwhile.
    async fn acknowledge(&self, subject: &OrderSubject) -> HttpResponse {
        self.state.notify_sessions();
        if self.state.await_strength().await {
            self.respond_with_reason(StatusCode::OK, "accepted")
        } else {
            self.undecided(subject, "too few members to acknowledge")
        }
    }

    fn redirect(&self, subject: &OrderSubject, leader: IpAddr, path: &str) -> HttpResponse {
        let address = SocketAddr::new(leader, self.state.settings.operator_listener.port());
        subject.log_redirected(address);
        let mut response =
            self.respond_with_reason(StatusCode::TEMPORARY_REDIRECT, "another instance leads");
        if let Ok(location) = HeaderValue::from_str(&format!("http://{address}{path}")) {
            response.headers_mut().insert(header::LOCATION, location);
        }
        response
    }

    pub(super) fn unavailable(&self, subject: &OrderSubject, reason: &str) -> HttpResponse {
        subject.log_not_taken(reason, &self.describe_group());
        self.respond_with_reason(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// Answers an order that is in force or may still come into force, so that it does not read as
    /// refused.
    fn undecided(&self, subject: &OrderSubject, reason: &str) -> HttpResponse {
        subject.log_undecided(reason, &self.describe_group());
        self.respond_with_reason(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Returns voters, lost voters and quorum size for the log.
    fn describe_group(&self) -> String {
        let strength = self.state.strength();
        strength.map_or_else(|| "unknown".to_owned(), |strength| strength.to_string())
    }
}
