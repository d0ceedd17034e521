//! Lays out columns of text with aligned cells.

/// The separator between two columns.
const GAP: &str = "  ";
/// What stands for a value that is not known.
const ABSENT: &str = "-";

/// The side of a column that its cells are aligned to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Align {
    /// For text.
    Left,
    /// For numbers.
    Right,
}

/// One column. All columns of a table have the same number of cells.
#[derive(Clone, Debug)]
pub struct Column {
    title: String,
    align: Align,
    cells: Vec<Option<String>>,
}

impl Column {
    /// Creates a column. A cell without a value is shown as `-`.
    pub fn new(
        title: impl Into<String>,
        align: Align,
        cells: impl IntoIterator<Item = Option<String>>,
    ) -> Self {
        let cells = cells.into_iter().map(|cell| cell.map(|text| escape(&text))).collect();
        Self { title: title.into(), align, cells }
    }

    fn is_empty(&self) -> bool {
        self.cells.iter().all(Option::is_none)
    }

    /// Returns the title and the cells, padded to the same width.
    fn lines(&self) -> Vec<String> {
        let cells = self.cells.iter().map(|cell| cell.as_deref().unwrap_or(ABSENT));
        let lines: Vec<&str> = std::iter::once(self.title.as_str()).chain(cells).collect();
        let width = lines.iter().map(|line| line.chars().count()).max().unwrap_or(0);
        let pad = |line: &&str| match self.align {
            Align::Left => format!("{line:width$}"),
            Align::Right => format!("{line:>width$}"),
        };
        lines.iter().map(pad).collect()
    }
}

/// Formats a table, one line for the titles and one for each row. Columns without any value are
/// left out.
pub fn format(columns: &[Column]) -> String {
    let columns: Vec<Vec<String>> =
        columns.iter().filter(|column| !column.is_empty()).map(Column::lines).collect();
    let rows = columns.first().map_or(0, Vec::len);
    let mut text = String::new();
    for row in 0..rows {
        let cells: Vec<&str> = columns.iter().map(|column| column[row].as_str()).collect();
        text.push_str(cells.join(GAP).trim_end());
        text.push('\n');
    }
    text
}

/// Escapes control characters, because request ids and names come from callers and could
/// otherwise control the terminal.
pub fn escape(text: &str) -> String {
    let escape_char = |character: char| match character.is_control() {
        true => character.escape_default().to_string(),
        false => character.to_string(),
    };
    text.chars().map(escape_char).collect()
}
