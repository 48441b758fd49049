//! Answer body that holds its slot until it ends.

use super::queue::Slot;
use base::http::{Body, BodyError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

struct SlotBody {
    body: Body,
    _slot: Option<Slot>,
}

/// Wraps an answer's body so that the slot is freed when the body was sent or dropped.
pub fn hold_slot(body: Body, slot: Option<Slot>) -> Body {
    SlotBody { body, _slot: slot }.boxed_unsync()
}

impl hyper::body::Body for SlotBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
