//! Columns of text.

use std::io::{self, Write};

/// Spaces between columns.
const GAP: usize = 2;

/// Writes rows with each column as wide as its widest cell.
pub(crate) fn write_table<const N: usize>(
    writer: &mut dyn Write,
    rows: impl IntoIterator<Item = [String; N]>,
) -> io::Result<()> {
    let rows: Vec<[String; N]> = rows.into_iter().collect();
    let mut widths = [0; N];
    for row in &rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    for row in &rows {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            line.push_str(cell);
            let padding = width + GAP - cell.chars().count();
            line.extend(std::iter::repeat_n(' ', padding));
        }
        writeln!(writer, "{}", line.trim_end())?;
    }
    Ok(())
}
