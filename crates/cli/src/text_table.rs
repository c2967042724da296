//! Text tables that fit into 80 columns.

use crate::wrapped_text::MAX_WIDTH;

/// Table of text cells; the first row is the heading.
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Number of spaces between two columns.
    const COLUMN_GAP: usize = 2;
    /// Width below which a column is not shrunk, in characters.
    const MIN_COLUMN_WIDTH: usize = 6;

    /// Creates a table with a heading.
    pub(crate) fn new(heading: &[&str]) -> Self {
        Self {
            rows: vec![heading.iter().map(ToString::to_string).collect()],
        }
    }

    /// Adds a row; an empty cell is shown as `-`.
    pub(crate) fn row(&mut self, cells: &[String]) {
        let shown = |cell: &String| match cell.as_str() {
            "" => "-".to_string(),
            text => text.to_string(),
        };
        self.rows.push(cells.iter().map(shown).collect());
    }

    /// Formats the table; cells that do not fit are truncated and end in `~`.
    pub(crate) fn text(&self) -> String {
        let widths = self.widths();
        let line = |row: &Vec<String>| {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| fit(cell, *width));
            let line = cells
                .collect::<Vec<_>>()
                .join(&" ".repeat(Self::COLUMN_GAP));
            line.trim_end().to_string() + "\n"
        };
        self.rows.iter().map(line).collect()
    }

    /// Column widths; the widest columns are shrunk until the table fits.
    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let mut widths: Vec<usize> = (0..columns).map(width).collect();
        let gaps = Self::COLUMN_GAP * columns.saturating_sub(1);
        while widths.iter().sum::<usize>() + gaps > MAX_WIDTH {
            match widths.iter_mut().max() {
                Some(widest) if *widest > Self::MIN_COLUMN_WIDTH => *widest -= 1,
                _ => break,
            }
        }
        widths
    }
}

fn fit(cell: &str, width: usize) -> String {
    let count = cell.chars().count();
    if count <= width {
        return format!("{cell:<width$}");
    }
    let kept: String = cell.chars().take(width.saturating_sub(1)).collect();
    kept + "~"
}
