//! Moves written bytes from one filter to the next.

use ntex::util::BytePages;

/// Moves all bytes of `source` to the end of `target`, and copies small pages into one.
///
/// [`BytePages::move_to`] keeps every page, with the whole capacity of which a small chunk uses a few
/// bytes. The write limit of a connection counts the bytes, not the capacity.
pub(crate) fn append_pages(source: &mut BytePages, target: &mut BytePages) {
    while let Some(page) = source.take() {
        target.append(page);
    }
}
