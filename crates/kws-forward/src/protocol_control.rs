//! Handles malformed requests and `Expect: 100-continue` before the request body is read.

use crate::{
    exchange::early_refusal,
    refusal::{RequestRefusal, refusal_response},
    worker::WorkerState,
};
use kws_protocol::RefusalReason;
use ntex::{
    http::{
        error::DecodeError,
        h1::{Control, ControlAck, ProtocolError, control::Reason},
    },
    io::Filter,
};
use std::io;

/// Responds to request heads that can't be parsed, refuses a request with `Expect: 100-continue`
/// before its body is sent if the head fails a check, and acknowledges everything else.
pub(crate) fn handle_control<F: Filter>(
    worker: &WorkerState,
    control: Control<F, io::Error>,
) -> ControlAck<F> {
    match control {
        Control::Disconnect(Reason::ProtocolError(failure)) => {
            let Some(reason) = refusal_reason(failure.err()) else {
                return failure.ack();
            };
            worker.control.count_refusal(reason);
            // Only heads fail here: a malformed body closes its connection without a response.
            let response = refusal_response(
                RequestRefusal::not_run(reason),
                &worker.ids.next_id(),
                &worker.dialect,
            );
            failure.fail_with(response)
        }
        Control::Expect(expect) => match early_refusal(worker, expect.get_ref()) {
            Some(refusal) => {
                worker.control.count_refusal(refusal.reason);
                let id = worker.ids.next_id();
                expect.fail_with(refusal_response(refusal, &id, &worker.dialect))
            }
            None => expect.ack(),
        },
        other => other.ack(),
    }
}

fn refusal_reason(error: &ProtocolError) -> Option<RefusalReason> {
    match error {
        ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => {
            Some(RefusalReason::HeadTooLarge)
        }
        ProtocolError::Decode(_) | ProtocolError::SlowRequestTimeout => {
            Some(RefusalReason::BadRequest)
        }
        _ => None,
    }
}
