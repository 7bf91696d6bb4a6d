//! A folder with keys and certificates, and helpers that run the tool.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use cli::arguments::CliArguments;
use cli::exit::ExitKind;
use serde_json::Value;
use tempfile::TempDir;

/// Exit kind and output of a run of the tool.
pub(crate) struct ToolRun {
    pub(crate) exit: ExitKind,
    pub(crate) output: String,
}

impl ToolRun {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.output).expect("JSON")
    }
}

/// Runs the tool with the given arguments.
pub(crate) fn run(args: &[&str]) -> ToolRun {
    let args = std::iter::once("ragwortplank").chain(args.iter().copied());
    let arguments = CliArguments::parse_from(args).expect("valid arguments");
    let mut output = Vec::new();
    let exit = cli::run(&arguments, &mut output);
    ToolRun {
        exit,
        output: String::from_utf8(output).expect("UTF-8"),
    }
}

/// A folder with the owners' keys and the certificates of a deployment, created with the
/// tool itself.
pub(crate) struct TestDeployment {
    folder: TempDir,
    pub(crate) owners: [String; 2],
}

impl TestDeployment {
    pub(crate) fn new() -> Self {
        let folder = TempDir::new().expect("folder");
        let path = |name: &str| text(&folder.path().join(name));
        let owners = ["first.key", "second.key"].map(|name| {
            let created = run(&["--output", "json", "keygen", "owner", "--out", &path(name)]);
            created.json()["public"].as_str().expect("text").to_owned()
        });
        run(&["cert", "authority", "--out", &path("tls")]);
        for role in ["control", "node", "operator"] {
            let issued = run(&[
                "cert",
                "issue",
                "--authority",
                &path("tls"),
                "--out",
                &path("tls"),
                "--name",
                role,
                "--role",
                role,
                "--ip",
                "127.0.0.1",
            ]);
            assert_eq!(issued.exit, ExitKind::Done);
        }
        Self { folder, owners }
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn path_text(&self, name: &str) -> String {
        text(&self.path(name))
    }

    /// Writes a declaration with the given teams and returns its path.
    pub(crate) fn declaration(&self, name: &str, teams: &[&str]) -> String {
        let [first, second] = &self.owners;
        let mut contents = format!("# Kept.\nowners = [\"{first}\", \"{second}\"]\n");
        for team in teams {
            let _ = write!(
                contents,
                "[[team]]\nname = \"{team}\"\nrate = 5\nburst = 10\n"
            );
        }
        fs::write(self.path(name), contents).expect("written");
        self.path_text(name)
    }

    /// Runs a command that connects with the operator's certificate.
    pub(crate) fn run(&self, args: &[&str]) -> ToolRun {
        self.run_as("operator", args)
    }

    /// Runs a command that connects with the certificate of a role.
    pub(crate) fn run_as(&self, role: &str, args: &[&str]) -> ToolRun {
        let authority = self.path_text("tls/authority.pem");
        let certificate = self.path_text(&format!("tls/{role}.pem"));
        let key = self.path_text(&format!("tls/{role}.key"));
        let mut all = args.to_vec();
        all.extend(["--tls-authority", &authority]);
        all.extend(["--tls-certificate", &certificate]);
        all.extend(["--tls-key", &key, "--output", "json"]);
        run(&all)
    }

    /// Proposes a declaration as one of the owners.
    pub(crate) fn propose(&self, file: &str, owner: &str, control: &str) -> ToolRun {
        let key = self.path_text(owner);
        self.run(&["propose", file, "--key", &key, "--control", control])
    }
}

pub(crate) fn join_addresses(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(",")
}

fn text(path: &Path) -> String {
    path.to_str().expect("UTF-8").to_owned()
}
