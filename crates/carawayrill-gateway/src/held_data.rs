//! Bytes that count towards the limit of a process for as long as they exist.

use std::ops::Deref;
use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;

use crate::buffer_limit::HeldBytes;

/// The bytes of a body. They count until the last copy is dropped, wherever that is: in a request that
/// may be sent again, or in the buffer of a connection whose peer reads slowly.
#[derive(Debug, Clone, Default)]
pub struct HeldData {
    bytes: Bytes,
    _held: Option<Arc<HeldBytes>>,
}

impl HeldData {
    /// Creates the data of which `held` has counted the bytes.
    pub(crate) fn new(bytes: Bytes, held: HeldBytes) -> Self {
        Self {
            bytes,
            _held: Some(Arc::new(held)),
        }
    }

    /// Creates data that takes no memory of its own.
    #[must_use]
    pub fn from_static(bytes: &'static [u8]) -> Self {
        Self {
            bytes: Bytes::from_static(bytes),
            _held: None,
        }
    }
}

impl Deref for HeldData {
    type Target = [u8];

    fn deref(&self) -> &Self::Target {
        &self.bytes
    }
}

impl Buf for HeldData {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, cnt: usize) {
        self.bytes.advance(cnt);
    }
}
