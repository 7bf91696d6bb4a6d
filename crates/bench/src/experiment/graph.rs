//! Call graphs of the two simulated deployments, with their slots, connections and delays.

use std::time::Duration;

use model::declaration::RefusalOrder;

/// Position of a service in [`CallGraph::services`].
pub type ServiceIndex = usize;
/// Position of a route in [`CallGraph::routes`].
pub type RouteIndex = usize;
/// Position of a class in [`CallGraph::classes`].
pub type ClassIndex = usize;
/// Position of a team in [`CallGraph::teams`].
pub type TeamIndex = usize;
/// Index of a backend server over all services, and of the node beside it.
pub type ServerIndex = usize;

/// A service with identical backend servers.
#[derive(Clone, Debug)]
pub struct ServiceProfile {
    /// Name of the service.
    pub name: &'static str,
    /// Backend servers.
    pub servers: usize,
    /// Calls that a backend server runs concurrently.
    pub slots: usize,
    /// Connections that a backend server accepts.
    pub connections: usize,
}

/// A route and the sub-calls that its backend server makes, one after the other.
#[derive(Clone, Debug)]
pub struct RouteProfile {
    /// Name of the route.
    pub name: &'static str,
    /// Service that runs it.
    pub service: ServiceIndex,
    /// Mean duration of its own work.
    pub work: Duration,
    /// Routes called after its own work.
    pub calls: Vec<RouteIndex>,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassProfile {
    /// Name of the class.
    pub name: &'static str,
    /// When it is refused relative to other classes.
    pub refusal_order: RefusalOrder,
    /// Route of its requests.
    pub route: RouteIndex,
    /// Deadline of a request.
    pub deadline: Duration,
    /// Requests per second of all teams at normal load.
    pub per_s: f64,
}

/// A team of callers.
#[derive(Clone, Debug)]
pub struct TeamProfile {
    /// Name of the team.
    pub name: &'static str,
    /// Fraction of all requests that it sends at normal load.
    pub share: f64,
}

/// A deployment: everything that is the same in all scenarios.
#[derive(Clone, Debug)]
pub struct CallGraph {
    /// Name on the command line.
    pub name: &'static str,
    /// Data centres, over which backend servers and callers are spread evenly.
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub inter_centre_delay: Duration,
    /// One-way delay within a data centre.
    pub intra_centre_delay: Duration,
    /// One-way delay between callers and nodes.
    pub caller_delay: Duration,
    /// Services.
    pub services: Vec<ServiceProfile>,
    /// Routes.
    pub routes: Vec<RouteProfile>,
    /// Classes.
    pub classes: Vec<ClassProfile>,
    /// Teams.
    pub teams: Vec<TeamProfile>,
    /// The service that most classes call last and that runs out of slots first.
    pub bottleneck: ServiceIndex,
}

impl CallGraph {
    /// Returns the number of backend servers of all services.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.services.iter().map(|service| service.servers).sum()
    }

    /// Returns the backend servers of a service.
    #[must_use]
    pub fn servers(&self, service: ServiceIndex) -> std::ops::Range<ServerIndex> {
        let before = self.services[..service].iter();
        let first: usize = before.map(|service| service.servers).sum();
        first..first + self.services[service].servers
    }

    /// Returns the service of a backend server.
    ///
    /// # Panics
    ///
    /// Panics when there is no such backend server.
    #[must_use]
    pub fn service_of(&self, server: ServerIndex) -> ServiceIndex {
        let mut services = 0..self.services.len();
        services
            .find(|service| self.servers(*service).contains(&server))
            .expect("the backend server exists")
    }

    /// Returns the data centre of a backend server.
    #[must_use]
    pub fn data_centre_of(&self, server: ServerIndex) -> usize {
        let first = self.servers(self.service_of(server)).start;
        (server - first) % self.data_centres
    }

    /// Returns the work of one request of a class at a service, in seconds.
    #[must_use]
    pub fn work_s(&self, class: ClassIndex, service: ServiceIndex) -> f64 {
        self.route_work_s(self.classes[class].route, service)
    }

    fn route_work_s(&self, route: RouteIndex, service: ServiceIndex) -> f64 {
        let shape = &self.routes[route];
        let own = if shape.service == service {
            shape.work.as_secs_f64()
        } else {
            0.0
        };
        let below = shape.calls.iter();
        own + below
            .map(|call| self.route_work_s(*call, service))
            .sum::<f64>()
    }

    /// Returns the slots of all backend servers of a service: their work per second, in seconds.
    #[must_use]
    pub fn slots(&self, service: ServiceIndex) -> f64 {
        let shape = &self.services[service];
        (shape.servers * shape.slots) as f64
    }
}

fn service(name: &'static str, servers: usize, slots: usize, connections: usize) -> ServiceProfile {
    ServiceProfile {
        name,
        servers,
        slots,
        connections,
    }
}

fn route(
    name: &'static str,
    service: ServiceIndex,
    work_ms: u64,
    calls: &[RouteIndex],
) -> RouteProfile {
    RouteProfile {
        name,
        service,
        work: Duration::from_millis(work_ms),
        calls: calls.to_vec(),
    }
}

fn class(
    name: &'static str,
    refusal_order: RefusalOrder,
    route: RouteIndex,
    within_ms: u64,
    per_s: f64,
) -> ClassProfile {
    ClassProfile {
        name,
        refusal_order,
        route,
        deadline: Duration::from_millis(within_ms),
        per_s,
    }
}

fn teams(names: [&'static str; 8]) -> Vec<TeamProfile> {
    let shares = [0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03];
    let pairs = names.into_iter().zip(shares);
    pairs
        .map(|(name, share)| TeamProfile { name, share })
        .collect()
}

/// Returns the call graph of Plumón Digital.
#[must_use]
pub fn plumon() -> CallGraph {
    CallGraph {
        name: "plumon",
        data_centres: 3,
        inter_centre_delay: Duration::from_micros(1500),
        intra_centre_delay: Duration::from_micros(250),
        caller_delay: Duration::from_millis(1),
        services: vec![
            service("quotes", 5, 150, 1000),
            service("refills", 4, 200, 1300),
            service("payments", 3, 250, 1700),
            service("tracking", 3, 50, 400),
        ],
        routes: vec![
            route("track", 3, 50, &[]),
            route("quote", 0, 15, &[0]),
            route("refill", 1, 25, &[0]),
            route("payment", 2, 30, &[2]),
        ],
        classes: vec![
            class("payment", RefusalOrder::Last, 3, 1200, 300.0),
            class("refill", RefusalOrder::Middle, 2, 1000, 500.0),
            class("quote", RefusalOrder::First, 1, 800, 600.0),
            class("status", RefusalOrder::First, 0, 800, 400.0),
        ],
        teams: teams([
            "hostels",
            "montevideo",
            "salto",
            "rocha",
            "colonia",
            "minas",
            "durazno",
            "artigas",
        ]),
        bottleneck: 3,
    }
}

/// Returns the call graph of Reliures Kervadec.
#[must_use]
pub fn kervadec() -> CallGraph {
    CallGraph {
        name: "kervadec",
        data_centres: 4,
        inter_centre_delay: Duration::from_micros(1500),
        intra_centre_delay: Duration::from_micros(250),
        caller_delay: Duration::from_millis(8),
        services: vec![
            service("catalogue", 6, 150, 1000),
            service("orders", 4, 230, 1500),
            service("presses", 4, 230, 1500),
            service("thread", 4, 25, 250),
        ],
        routes: vec![
            route("thread", 3, 50, &[]),
            route("press", 2, 30, &[0]),
            route("order", 1, 20, &[1]),
            route("lookup", 0, 10, &[0]),
            route("browse", 0, 10, &[]),
        ],
        classes: vec![
            class("confirmation", RefusalOrder::Last, 2, 1200, 250.0),
            class("schedule", RefusalOrder::Middle, 1, 1000, 350.0),
            class("stock", RefusalOrder::First, 3, 800, 600.0),
            class("browse", RefusalOrder::First, 4, 800, 300.0),
        ],
        teams: teams([
            "rennes", "brest", "quimper", "vannes", "lorient", "morlaix", "dinan", "redon",
        ]),
        bottleneck: 3,
    }
}
