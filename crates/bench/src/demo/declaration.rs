//! The declaration of the group that `try` and the process tests run.

use std::fmt::Write;

use crate::group;
use crate::group::TeamKey;
use crate::load::CallerProfile;

/// Services, classes and routes, which are the same in all groups.
const SERVICES: &str = r#"
[[service]]
name = "quotes"
[[service]]
name = "stock"
[[service]]
name = "prices"
[[service]]
name = "payments"

[[class]]
name = "payment"
refused = "last"
within-ms = 4000
share-percent = 99
[[class]]
name = "quote"
refused = "middle"
within-ms = 2000
share-percent = 99
[[class]]
name = "status"
refused = "first"
within-ms = 1000
share-percent = 99

[[route]]
name = "quotes"
prefix = "/quotes"
service = "quotes"
class = "quote"
idempotent = true
[[route]]
name = "payments"
prefix = "/payments"
service = "payments"
class = "payment"
once = true
[[route]]
name = "stock"
prefix = "/stock"
service = "stock"
class = "quote"
idempotent = true
[[route]]
name = "prices"
prefix = "/prices"
service = "prices"
class = "quote"
idempotent = true
[[route]]
name = "status"
prefix = "/status"
service = "prices"
class = "status"
open = true
idempotent = true
"#;

/// A team with its limits and keys.
#[derive(Clone, Debug)]
pub struct DemoTeam {
    /// Name.
    pub name: String,
    /// Requests per second.
    pub rate: u64,
    /// Requests admitted at once.
    pub burst: u64,
    /// Valid keys.
    pub keys: Vec<TeamKey>,
}

impl DemoTeam {
    /// Creates a team with one key.
    ///
    /// # Errors
    ///
    /// Fails when no key can be created.
    pub fn new(name: &str, rate: u64, burst: u64) -> anyhow::Result<Self> {
        Ok(Self {
            name: name.to_owned(),
            rate,
            burst,
            keys: vec![group::create_team_key()?],
        })
    }
}

/// A declaration with four services and some teams.
#[derive(Clone, Debug)]
pub struct DemoDeclaration {
    /// Teams.
    pub teams: Vec<DemoTeam>,
}

impl DemoDeclaration {
    /// Creates a declaration with these teams.
    #[must_use]
    pub fn new(teams: Vec<DemoTeam>) -> Self {
        Self { teams }
    }

    /// Returns the TOML text.
    #[must_use]
    pub fn text(&self, owners: &[String]) -> String {
        let mut text = format!("owners = {owners:?}\n{SERVICES}");
        for team in &self.teams {
            let _ = writeln!(
                text,
                "[[team]]\nname = \"{}\"\nrate = {}\nburst = {}",
                team.name, team.rate, team.burst
            );
        }
        for team in &self.teams {
            for (number, key) in team.keys.iter().enumerate() {
                let _ = writeln!(
                    text,
                    "[[key]]\nname = \"{}-{number}\"\nteam = \"{}\"\ndigest = \"{}\"",
                    team.name, team.name, key.digest
                );
            }
        }
        text
    }

    /// Returns the requests that callers send: quotes of every team, payments
    /// of the first team, and the anonymous status.
    #[must_use]
    pub fn profiles(&self) -> Vec<CallerProfile> {
        let mut profiles: Vec<_> = self
            .teams
            .iter()
            .map(|team| self.profile(&team.name, "/quotes", "quotes"))
            .collect();
        let payer = &self.teams[0].name;
        profiles.push(self.profile(payer, "/payments", "payments"));
        profiles.push(self.profile("none", "/status", "prices"));
        profiles
    }

    /// Returns a request of one team, with its first key.
    #[must_use]
    pub fn profile(&self, team: &str, path: &str, service: &str) -> CallerProfile {
        let known = self.teams.iter().find(|known| known.name == team);
        let key = known.and_then(|known| known.keys.first());
        CallerProfile {
            team: team.to_owned(),
            key: key.map(|key| key.key.clone()),
            class: path.trim_start_matches('/').to_owned(),
            path: path.to_owned(),
            service: service.to_owned(),
            at_most_once: path == "/payments",
        }
    }
}
