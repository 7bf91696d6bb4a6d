//! Reports of a few lines.

use crate::present::ShownReport;
use crate::present::TextTable;
use crate::report::CertificateReport;
use crate::report::CheckReport;
use crate::report::DrainReport;
use crate::report::OwnerReport;
use crate::report::SignatureFile;
use crate::report::TeamKeyReport;

impl ShownReport for OwnerReport {
    fn text(&self) -> String {
        format!("public key   {}\nprivate key  {}\n", self.public, self.file)
    }
}

impl ShownReport for TeamKeyReport {
    fn text(&self) -> String {
        format!("key     {}\ndigest  {}\n", self.key, self.digest)
    }
}

impl ShownReport for CertificateReport {
    fn text(&self) -> String {
        format!(
            "certificate  {}\nprivate key  {}\n",
            self.certificate, self.key
        )
    }
}

impl ShownReport for DrainReport {
    fn text(&self) -> String {
        format!("{}: {}\n", self.address, self.answer.trim_end())
    }
}

impl ShownReport for CheckReport {
    fn text(&self) -> String {
        let header = ["FILE", "SERVICES", "CLASSES", "ROUTES", "TEAMS", "KEYS"];
        let mut table = TextTable::new(&header);
        for row in &self.files {
            table.push(vec![
                row.file.clone(),
                row.services.to_string(),
                row.classes.to_string(),
                row.routes.to_string(),
                row.teams.to_string(),
                row.keys.to_string(),
            ]);
        }
        table.to_string()
    }
}

impl ShownReport for SignatureFile {
    /// A signature goes into a file, so it has one form only.
    fn text(&self) -> String {
        let json = serde_json::to_string_pretty(self).unwrap_or_default();
        format!("{json}\n")
    }
}
