//! Formats plans and outcomes of changes.

use model::change::ChangeStatus;

use crate::present::TextReport;
use crate::present::TextTable;
use crate::report::ChangeOutcome;
use crate::report::KeyOutcome;
use crate::report::PlanReport;

impl TextReport for PlanReport {
    fn to_text(&self) -> String {
        if self.rows.is_empty() {
            return format!("no difference from version {}\n", self.version);
        }
        let mut table = TextTable::new(&["ACTION", "TABLE", "NAME", "BEFORE", "AFTER"]);
        for row in &self.rows {
            table.push(vec![
                row.action.to_string(),
                row.table.to_owned(),
                row.name.clone(),
                or_dash(&row.before),
                or_dash(&row.after),
            ]);
        }
        format!("difference from version {}:\n{table}", self.version)
    }
}

impl TextReport for ChangeOutcome {
    fn to_text(&self) -> String {
        let (hash, base) = (&self.hash, self.base);
        let status = status(&self.status, self.in_force);
        format!(
            "change  {hash}\nbase    {base}\nstatus  {status}\n{}",
            self.plan.to_text()
        )
    }
}

impl TextReport for KeyOutcome {
    fn to_text(&self) -> String {
        let key = self.key.iter().map(|key| format!("key     {key}\n"));
        let digest = self
            .digest
            .iter()
            .map(|digest| format!("digest  {digest}\n"));
        let mut text: String = key.chain(digest).collect();
        text.push_str(&self.change.to_text());
        text
    }
}

fn status(status: &ChangeStatus, in_force: bool) -> String {
    match status {
        ChangeStatus::Pending => "pending: the other owner's signature is missing".to_owned(),
        ChangeStatus::Accepted(version) if in_force => {
            format!("accepted as version {version}, in force everywhere")
        }
        ChangeStatus::Accepted(version) => {
            format!("accepted as version {version}, not yet known to be in force everywhere")
        }
        ChangeStatus::Conflict { current } => {
            format!("conflict: another change was accepted first, version {current} was in force")
        }
        ChangeStatus::Invalid(reason) => format!("invalid: {reason}"),
        ChangeStatus::Unknown => "unknown".to_owned(),
    }
}

fn or_dash(text: &str) -> String {
    if text.is_empty() {
        return "-".to_owned();
    }
    text.to_owned()
}
