//! Tables of text.

/// Prints rows in columns, the first one to the left and all others to the right.
pub fn print(head: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(head[column].chars().count())
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    println!("{}", line(&head, &widths));
    let rule: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
    println!("{}", line(&rule, &widths));
    for row in rows {
        println!("{}", line(row, &widths));
    }
}

fn line(cells: &[String], widths: &[usize]) -> String {
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
