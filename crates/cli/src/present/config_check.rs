//! Formats the report of `check-config`.

use crate::present::TextReport;
use crate::report::ConfigCheckReport;
use crate::report::DifferenceRow;
use crate::report::FindingRow;

impl TextReport for ConfigCheckReport {
    /// Returns a line for each finding and difference, and one with their numbers.
    fn to_text(&self) -> String {
        let mut lines: Vec<String> = self.findings.iter().map(finding_line).collect();
        lines.extend(self.differences.iter().map(difference_line));
        lines.push(format!(
            "{}: {} errors, {} warnings, {} differences",
            self.file,
            self.errors,
            self.warnings,
            self.differences.len()
        ));
        lines.push(String::new());
        lines.join("\n")
    }
}

fn finding_line(row: &FindingRow) -> String {
    format!("{}: {} [{}]", row.severity, row.message, row.kind)
}

fn difference_line(row: &DifferenceRow) -> String {
    let separator = if row.name.is_empty() { "" } else { " " };
    let item = format!("{}: {}{separator}{}", row.change, row.item, row.name);
    if row.fields.is_empty() {
        item
    } else {
        format!("{item}: {}", row.fields.join(", "))
    }
}
