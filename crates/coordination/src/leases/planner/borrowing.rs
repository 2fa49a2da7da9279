//! Borrowing: a planner whose forwarders are short of a resource requests loans from the other planners.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

use super::{MAX_QUEUED_MESSAGES, PlannerComponent};
use crate::leases::holdings::PendingRequest;
use crate::leases::ledger::{BorrowingDemand, Loan};
use crate::leases::{
    Demand, LeaseError, LeaseMessage, MAX_DEMANDS_PER_MESSAGE, PlannerIncarnation, ResourceAmount,
};
use crate::member::{Member, PlannerId, Sender};

/// The maximum number of pending requests for loans; the oldest ones beyond it are forgotten. There are one
/// or a few requests for each other planner and interval.
const MAX_PENDING_LOAN_REQUESTS: usize = 1024;

/// A planner's pending requests for loans.
#[derive(Clone, Debug, Default)]
pub(super) struct LoanRequests {
    last_request_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
}

impl LoanRequests {
    /// Records a request to this lender, and returns the request's number.
    fn add(&mut self, now: Time, lender: PlannerId) -> u64 {
        self.last_request_id += 1;
        self.pending.insert(self.last_request_id, PendingRequest { planner: lender, sent_at: now });
        self.last_request_id
    }

    /// Removes a request that is answered, and earlier requests to the same lender: the next request releases
    /// their grants, so these must not be used after this one. Returns when the request was sent, if it was
    /// pending.
    fn take_answered(&mut self, lender: PlannerId, request_id: u64) -> Option<Time> {
        let request = self.pending.get(&request_id).filter(|request| request.planner == lender)?;
        let sent_at = request.sent_at;
        self.pending
            .retain(|id, other| other.planner != lender || other.sent_at >= sent_at && *id != request_id);
        Some(sent_at)
    }

    fn remove_oldest(&mut self) {
        while self.pending.len() > MAX_PENDING_LOAN_REQUESTS {
            self.pending.pop_first();
        }
    }

    /// The requests that may still be answered.
    pub(super) fn pending(&self) -> &BTreeMap<u64, PendingRequest> {
        &self.pending
    }

    /// The number of requests that may still be answered.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

impl PlannerComponent {
    /// Records a loan from another planner.
    pub(super) fn on_loan(
        &mut self,
        from: Sender,
        request_id: u64,
        granted: &[ResourceAmount],
        duration: Span,
    ) -> Result<(), LeaseError> {
        let Member::Planner(planner) = from.member else { return Err(LeaseError::UnexpectedMessage) };
        let Some(sent_at) = self.loan_requests.take_answered(planner, request_id) else {
            return Err(LeaseError::UnsolicitedGrant);
        };
        let lender = PlannerIncarnation { planner, incarnation: from.incarnation };
        let expires_at = sent_at + duration;
        for ResourceAmount { resource, amount } in granted.iter().take(MAX_DEMANDS_PER_MESSAGE) {
            if let Some(ledger) = self.ledgers.get_mut(resource) {
                ledger.add_loan(lender, Loan { request_id, amount: *amount, expires_at });
            }
        }
        Ok(())
    }

    /// Requests from each other planner the amounts that this planner's forwarders are short of, and releases
    /// loans that are no longer needed.
    pub(super) fn request_loans(&mut self, now: Time) {
        let idle_after = self.settings.grantor_duration(self.settings.max_duration);
        self.ledgers.retain(|_, ledger| {
            ledger.expire(now);
            ledger.remove_idle_claims(now, idle_after)
        });
        let lenders: Vec<_> = self.alive_planners.iter().filter(|id| **id != self.me).copied().collect();
        for lender in lenders {
            let demands = self.loan_demands(now, lender);
            for chunk in demands.chunks(MAX_DEMANDS_PER_MESSAGE) {
                let request_id = self.loan_requests.add(now, lender);
                if self.outbox.len() < MAX_QUEUED_MESSAGES {
                    let request = LeaseMessage::Request { request_id, demands: chunk.to_vec() };
                    self.outbox.push_back((Member::Planner(lender), request));
                }
            }
        }
        self.loan_requests.remove_oldest();
    }

    fn loan_demands(&mut self, now: Time, lender: PlannerId) -> Vec<Demand> {
        let demand_window = self.settings.lease_duration;
        let lease_grantor_duration = self.settings.grantor_duration(self.settings.lease_duration);
        let mut demands = Vec::new();
        for (resource, ledger) in &mut self.ledgers {
            let loan_demand = ledger.borrowing_demand(now, demand_window, lender);
            let request_in_use = ledger.release_older_loans(now, lender, lease_grantor_duration);
            if loan_demand.is_none() && request_in_use == 0 {
                continue;
            }
            let no_demand = BorrowingDemand { amount: 0, requesters: 1, already_held: 0 };
            let BorrowingDemand { amount, requesters, already_held } = loan_demand.unwrap_or(no_demand);
            demands.push(Demand { resource: *resource, amount, request_in_use, requesters, already_held });
        }
        demands
    }
}
