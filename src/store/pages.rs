//! Reads large prefixes page by page, so that a failed call does not lose what was read before.

use crate::store::{Answer, Entry, Operation, Priority, Revision, Store, StoreError};

/// Reads all entries of a prefix; a read that failed goes on with the page that failed.
///
/// The pages are not a consistent snapshot. A watch from the revision of the first page returns all
/// changes that later pages may have missed or anticipated.
#[derive(Clone, Debug)]
pub struct PageReader {
    prefix: String,
    /// Revision of the first page; `None` before it was read.
    revision: Option<Revision>,
    entries: Vec<Entry>,
    is_complete: bool,
}

impl PageReader {
    /// Creates a reader that has not read anything.
    ///
    /// ```
    /// use hemlockrock::store::pages::PageReader;
    ///
    /// assert!(PageReader::new("job/").entries().is_empty());
    /// ```
    pub fn new(prefix: impl Into<String>) -> Self {
        Self { prefix: prefix.into(), revision: None, entries: Vec::new(), is_complete: false }
    }

    /// Entries that were read so far, in key order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Takes the entries out of the reader.
    pub fn into_entries(self) -> Vec<Entry> {
        self.entries
    }

    /// Reads the remaining pages. Returns the revision of the first page.
    ///
    /// # Errors
    /// As [`Store::call`]; the next call continues with the page that failed.
    pub async fn read(&mut self, store: &dyn Store) -> Result<Revision, StoreError> {
        loop {
            match self.revision {
                Some(revision) if self.is_complete => return Ok(revision),
                _ => self.read_page(store).await?,
            }
        }
    }

    async fn read_page(&mut self, store: &dyn Store) -> Result<(), StoreError> {
        let after = self.entries.last().map(|entry| entry.key.clone());
        let read = Operation::ListPage { prefix: self.prefix.clone(), after };
        match store.call(read, Priority::Control).await? {
            Answer::Page { revision, entries, has_more } => {
                self.revision.get_or_insert(revision);
                self.is_complete = !has_more || entries.is_empty();
                self.entries.extend(entries);
                Ok(())
            }
            other => Err(other.into_error()),
        }
    }
}
