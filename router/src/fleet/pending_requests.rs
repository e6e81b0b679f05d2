//! Requests of this router's operators that have no answer from the fleet yet.

use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::Event;
use ternpick::types::Micros;
use ternpick_fleet_policy::{OperationId, OperatorRequest, OperatorResponse};

use super::Fleet;
use crate::router::Router;

/// The requests in flight, by operation id. [`Fleet::submit`] adds and removes them.
#[derive(Default)]
pub(super) struct PendingRequests(BTreeMap<OperationId, PendingRequest>);

struct PendingRequest {
    response: Option<OperatorResponse>,
    answered: Rc<Event>,
}

impl PendingRequests {
    fn add(&mut self, op: OperationId) -> Rc<Event> {
        let answered = Rc::new(Event::new());
        let request = PendingRequest {
            response: None,
            answered: Rc::clone(&answered),
        };
        self.0.insert(op, request);
        answered
    }

    /// Stores the answer to a request. It is ignored if the request was removed after its timeout.
    pub(super) fn answer(&mut self, op: OperationId, response: OperatorResponse) {
        if let Some(request) = self.0.get_mut(&op) {
            request.response = Some(response);
            request.answered.notify(usize::MAX);
        }
    }

    fn response(&self, op: OperationId) -> Option<OperatorResponse> {
        self.0.get(&op).and_then(|request| request.response.clone())
    }

    fn remove(&mut self, op: OperationId) {
        self.0.remove(&op);
    }
}

impl Fleet {
    /// Submits an operator's request and waits for its answer. Returns `None` if `wait` expires first; the outcome is
    /// then unknown.
    pub(super) async fn submit(
        &self,
        router: &Router,
        op: OperationId,
        request: OperatorRequest,
        wait: Micros,
    ) -> Option<OperatorResponse> {
        let deadline = router.clock.now() + wait;
        let answered = self.pending_requests.borrow_mut().add(op);
        self.node.borrow_mut().submit(op, request);
        self.wake.notify(1);
        let response = router
            .with_deadline(Some(deadline), self.response(op, &answered))
            .await;
        self.pending_requests.borrow_mut().remove(op);
        self.node.borrow_mut().cancel(op);
        response
    }

    async fn response(&self, op: OperationId, answered: &Event) -> OperatorResponse {
        loop {
            let next_answer = answered.listen();
            let response = self.pending_requests.borrow().response(op);
            if let Some(response) = response {
                return response;
            }
            next_answer.await;
        }
    }
}
