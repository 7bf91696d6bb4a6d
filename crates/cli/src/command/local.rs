//! Commands that work offline.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::declaration::Declaration;
use model::hex;
use model::keys::digest_key;
use model::keys::encode_key;

use crate::arguments::AuthorityArguments;
use crate::arguments::IssueArguments;
use crate::arguments::SignArguments;
use crate::arguments::SignSubject;
use crate::certificate::CertificateSubject;
use crate::certificate::PemFiles;
use crate::certificate::create_authority;
use crate::certificate::issue_certificate;
use crate::exit::CliError;
use crate::keyfile::create_owner_key;
use crate::keyfile::read_owner_key;
use crate::report::CertificateReport;
use crate::report::CheckReport;
use crate::report::CheckRow;
use crate::report::OwnerKeyReport;
use crate::report::SignatureFile;
use crate::report::TeamKeyReport;

/// Base name of the authority's files.
const AUTHORITY_NAME: &str = "authority";

pub(super) fn keygen_owner(output_file: &Path) -> Result<OwnerKeyReport, CliError> {
    let key = create_owner_key(output_file).map_err(CliError::Usage)?;
    Ok(OwnerKeyReport {
        public: hex::encode(key.verifying_key().as_bytes()),
        file: output_file.display().to_string(),
    })
}

pub(super) fn keygen_team_key() -> TeamKeyReport {
    let key = encode_key(&rand::random());
    TeamKeyReport {
        digest: hex::encode(&digest_key(&key)),
        key,
    }
}

pub(super) fn cert_authority(
    arguments: &AuthorityArguments,
) -> Result<CertificateReport, CliError> {
    let files = PemFiles::in_folder(&arguments.output_folder, AUTHORITY_NAME);
    create_authority(&files, &arguments.name, arguments.validity_days).map_err(CliError::Usage)?;
    Ok(certificate_report(&files))
}

pub(super) fn cert_issue(arguments: IssueArguments) -> Result<CertificateReport, CliError> {
    let authority = PemFiles::in_folder(&arguments.authority_folder, AUTHORITY_NAME);
    let files = PemFiles::in_folder(&arguments.output_folder, &arguments.name);
    let subject = CertificateSubject {
        name: arguments.name,
        role: arguments.role,
        ip_addresses: arguments.ip_addresses,
        dns_names: arguments.dns_names,
        validity_days: arguments.validity_days,
    };
    issue_certificate(&authority, &subject, &files).map_err(CliError::Usage)?;
    Ok(certificate_report(&files))
}

pub(super) fn check(files: &[PathBuf]) -> Result<CheckReport, CliError> {
    let rows = files.iter().map(|file| {
        let (_, declaration) = read_declaration(file)?;
        Ok(CheckRow {
            file: file.display().to_string(),
            services: declaration.services.len(),
            classes: declaration.classes.len(),
            routes: declaration.routes.len(),
            teams: declaration.teams.len(),
            keys: declaration.keys.len(),
        })
    });
    Ok(CheckReport {
        files: rows.collect::<Result<_, CliError>>()?,
    })
}

pub(super) fn sign(arguments: &SignArguments) -> Result<SignatureFile, CliError> {
    let key = read_owner_key(&arguments.key_file).map_err(CliError::Usage)?;
    let hash = match &arguments.subject {
        SignSubject::Hash(hash) => *hash,
        SignSubject::File { file, base_version } => {
            let base = base_version.context("signing a declaration needs --base VERSION");
            let base = base.map_err(CliError::Usage)?;
            let (text, _) = read_declaration(file)?;
            ProposedChange { base, text }.hash()
        }
    };
    let signature = OwnerSignature::sign(&key, &hash);
    Ok(SignatureFile::new(&hash, &signature))
}

/// Reads and validates a declaration; returns its text and the parsed form.
pub(super) fn read_declaration(file: &Path) -> Result<(String, Declaration), CliError> {
    let name = file.display();
    let text = fs::read_to_string(file);
    let text = text.with_context(|| format!("{name} cannot be read"));
    let text = text.map_err(CliError::Usage)?;
    let declaration = Declaration::parse(&text, 0).with_context(|| name.to_string());
    Ok((text, declaration.map_err(CliError::Usage)?))
}

fn certificate_report(files: &PemFiles) -> CertificateReport {
    CertificateReport {
        certificate: files.certificate.display().to_string(),
        key: files.key.display().to_string(),
    }
}
