//! Reads the document in force from the store.

use std::{net::SocketAddr, time::Duration};

use super::{
    catalog::DOCUMENT_KEY,
    store::{Store, StoreError},
};

/// Timeout of each call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the operators' document from the store. It has no means to write to the store.
pub struct DocumentReader {
    store: Store,
}

impl DocumentReader {
    /// Creates a reader of the store at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { store: Store::new(address, CALL_TIMEOUT) }
    }

    /// Reads the document in force; `None` if there is none.
    pub async fn read(&self) -> Result<Option<String>, StoreError> {
        let page = self.store.range(DOCUMENT_KEY).await?;
        let record = page.items.into_iter().find(|item| item.key == DOCUMENT_KEY);
        let text = record.map(|item| String::from_utf8(item.value.into())).transpose();
        text.map_err(|err| StoreError::Parse(err.to_string()))
    }
}
