//! Formats the short reports of the remaining commands.

use crate::present::TextReport;
use crate::present::TextTable;
use crate::report::CertificateReport;
use crate::report::CheckReport;
use crate::report::DrainReport;
use crate::report::OwnerKeyReport;
use crate::report::SignatureFile;
use crate::report::TeamKeyReport;

impl TextReport for OwnerKeyReport {
    fn to_text(&self) -> String {
        format!("public key   {}\nprivate key  {}\n", self.public, self.file)
    }
}

impl TextReport for TeamKeyReport {
    fn to_text(&self) -> String {
        format!("key     {}\ndigest  {}\n", self.key, self.digest)
    }
}

impl TextReport for CertificateReport {
    fn to_text(&self) -> String {
        format!(
            "certificate  {}\nprivate key  {}\n",
            self.certificate, self.key
        )
    }
}

impl TextReport for DrainReport {
    fn to_text(&self) -> String {
        format!("{}: {}\n", self.address, self.answer.trim_end())
    }
}

impl TextReport for CheckReport {
    fn to_text(&self) -> String {
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

impl TextReport for SignatureFile {
    /// Returns JSON in either output format, because the output is saved as a signature file.
    fn to_text(&self) -> String {
        let json = serde_json::to_string_pretty(self).unwrap_or_default();
        format!("{json}\n")
    }
}
