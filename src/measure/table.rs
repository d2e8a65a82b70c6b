//! Formats the figures of a run as a table and as lines of JSON.

use std::fmt::Write;

use super::Row;

/// Headers of the columns.
const HEADERS: [&str; 8] = [
    "policy",
    "attained",
    "per engine/s",
    "moves/1000",
    "worst team",
    "refused within",
    "change",
    "background late",
];

/// Returns the rows as a table with aligned columns.
pub fn table(rows: &[Row]) -> String {
    let mut cells = vec![HEADERS.map(str::to_owned)];
    cells.extend(rows.iter().map(row_cells));
    let widths: Vec<usize> = (0..HEADERS.len())
        .map(|column| cells.iter().map(|row| row[column].len()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for row in &cells {
        let padded = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = padded.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

/// Returns the cells of a row, one for each column.
fn row_cells(row: &Row) -> [String; 8] {
    [
        row.name.clone(),
        percent(row.attainment),
        format!("{:.3}", row.per_engine),
        format!("{:.2}", row.moves),
        format!("{} {}", percent(row.worst), row.worst_team),
        row.refused_within.to_string(),
        percent(row.change),
        format!("{} of {}", row.background_late, row.background),
    ]
}

/// Formats a fraction as a percentage.
fn percent(fraction: f64) -> String {
    format!("{:.2}%", fraction * 100.0)
}

/// Returns the rows as JSON, one line for each row.
pub fn json_lines(rows: &[Row]) -> String {
    let lines = rows.iter().filter_map(|row| serde_json::to_string(row).ok());
    lines.map(|line| line + "\n").collect()
}
