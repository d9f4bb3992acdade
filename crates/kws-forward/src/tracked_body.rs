//! Keeps a caller's connection busy until the body of a response has been sent or dropped.

use crate::caller_connection::ExchangeGuard;
use ntex::{
    http::body::{Body, BodySize, MessageBody, ResponseBody},
    util::Bytes,
};
use std::{
    error::Error,
    rc::Rc,
    task::{Context, Poll},
};

/// A body that holds the guard of its exchange.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    inner: ResponseBody<Body>,
    _exchange: ExchangeGuard,
}

impl TrackedBody {
    /// Attaches `exchange` to a body. An empty one ends with the head and needs no guard.
    pub(crate) fn wrap(
        inner: ResponseBody<Body>,
        exchange: Option<ExchangeGuard>,
    ) -> ResponseBody<Body> {
        let Some(exchange) = exchange else {
            return inner;
        };
        if matches!(inner.size(), BodySize::None | BodySize::Empty) {
            return inner;
        }
        ResponseBody::Body(Body::from_message(Self {
            inner,
            _exchange: exchange,
        }))
    }
}

impl MessageBody for TrackedBody {
    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.inner.poll_next_chunk(context)
    }
}
