//! Plain-text tables.

/// Prints a table with the first column left-aligned and all others right-aligned.
pub fn print(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(headings[column].chars().count())
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let headings: Vec<String> = headings.iter().map(ToString::to_string).collect();
    println!("{}", format_row(&headings, &widths));
    let rule: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
    println!("{}", format_row(&rule, &widths));
    for row in rows {
        println!("{}", format_row(row, &widths));
    }
}

fn format_row(cells: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (column, (cell, width)) in cells.iter().zip(widths).enumerate() {
        let padding = " ".repeat(width.saturating_sub(cell.chars().count()));
        match column {
            0 => text.push_str(&format!("{cell}{padding}")),
            _ => text.push_str(&format!("  {padding}{cell}")),
        }
    }
    text.trim_end().to_owned()
}
