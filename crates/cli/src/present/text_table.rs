//! Text tables with aligned columns.

use std::fmt;

/// Spaces between columns.
const COLUMN_GAP: usize = 2;

/// A table with a header, whose columns are as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|name| (*name).to_owned());
        Self {
            rows: vec![header.collect()],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let padding = width + COLUMN_GAP - cell.chars().count();
                line.push_str(cell);
                line.extend(std::iter::repeat_n(' ', padding));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
