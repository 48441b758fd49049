//! Explanation of where a gateway would send a request.

use base::http::client::{Error, Target};
use base::id::{DataCentre, Label, Region, Route as RouteName, Server, Service, Vm, Workspace};
use hyper::Method;
use indexmap::IndexMap;

/// Path of the question, at the address for other gateways.
pub const PATH: &str = "/explain";

base::label! {
    /// Why a server can't be used.
    pub enum Obstacle {
        /// It leaves.
        Leaving,
        /// Its version is not in service, or not for this request.
        Version,
        /// Its data centre is evacuated.
        Evacuated,
        /// It refused a connection lately.
        RefusesConnections,
        /// The request may not run in its region.
        Region,
        /// The request was sent to it before.
        Tried,
        /// It has left requests unanswered for long.
        Silent,
        /// It wants no further requests for a time.
        WantsNothing,
        /// It takes few requests from all VMs together, and none of this VM now.
        Limited,
        /// It is cold, and another VM warms it up or its next request is not due.
        Cold,
    }
}

base::message! {
    /// Request that is explained.
    #[derive(Default)]
    pub struct Question {
        /// Host, as in its `Host` header.
        pub host: Box<str>,
        /// Path, with the query if there is one.
        pub path: Box<str>,
        /// Method.
        pub method: Box<str>,
        /// Workspace that holds its key; none for a request without a key.
        pub workspace: Option<Workspace>,
        /// Object that it concerns.
        pub object: Option<Box<str>>,
    }

    /// Answer that a caller would get without any server.
    pub struct Refusal {
        /// Status of the answer.
        pub status: u16,
        /// Reason, as in the answer.
        pub reason: Box<str>,
        /// `Retry-After` in milliseconds.
        pub retry_ms: Option<u64>,
    }

    /// Route of the request.
    pub struct Route {
        /// Name.
        pub name: RouteName,
        /// Host.
        pub host: Box<str>,
        /// Path prefix.
        pub prefix: Box<str>,
        /// Whether its requests may run more than once.
        pub idempotent: bool,
        /// Latency objective in milliseconds.
        pub objective_ms: u64,
        /// Maximum time until the answer in milliseconds.
        pub timeout_ms: u64,
    }

    /// Limit of the workspace.
    pub struct Limit {
        /// Name of the workspace.
        pub workspace: Workspace,
        /// Requests a second over all VMs.
        pub rate: f64,
        /// Maximum number of requests beyond the rate.
        pub burst: f64,
        /// Whether the request would be admitted.
        pub is_admitted: bool,
        /// Tokens that would remain over all VMs after the request.
        pub fleet_tokens: f64,
        /// Tokens that would remain of this VM's part.
        pub local_tokens: f64,
        /// Fraction of the limit that is this VM's part.
        pub share: f64,
    }

    /// Thinning of the requests of one priority.
    pub struct Thinning {
        /// Share of the requests that is admitted, from 0 to 1.
        pub share: f64,
        /// Whether the request would be admitted.
        pub is_admitted: bool,
    }

    /// Server of the service.
    pub struct Candidate {
        /// Id.
        pub server: Server,
        /// Data centre.
        pub data_centre: DataCentre,
        /// Region.
        pub region: Region,
        /// Version of its software.
        pub label: Label,
        /// Why it can't be used; none if it can.
        pub obstacle: Option<Obstacle>,
        /// Figures by which it is compared; none if it is not allowed for the request at all.
        pub figures: Option<Figures>,
    }

    /// Figures by which servers are compared.
    pub struct Figures {
        /// Concurrent requests.
        pub slots: u32,
        /// Requests that it has.
        pub load: u32,
        /// Whether it has cached the object.
        pub warm: bool,
        /// Expected wait for a slot in milliseconds.
        pub wait_ms: u64,
        /// Pace that it states, in percent of the usual time; none if it states none.
        pub pace: Option<u16>,
        /// Its time divided by that of a server of ordinary speed.
        pub slowdown: f64,
        /// Share of recent requests that failed, from 0 to 1.
        pub failure_rate: f64,
        /// Round trip in milliseconds.
        pub round_trip_ms: u64,
        /// Expected time that is compared, in milliseconds.
        pub score_ms: u64,
    }

    /// Server that the request would go to.
    pub struct Choice {
        /// Id.
        pub server: Server,
        /// Expected time until the answer in milliseconds.
        pub expected_ms: u64,
    }

    /// Choice among the servers of one service.
    #[derive(Default)]
    pub struct Decision {
        /// Service.
        pub service: Service,
        /// Weight of the service among those of the route.
        pub weight: u32,
        /// Priority of the request.
        pub priority: u32,
        /// Thinning; none if no requests compete for the service.
        pub thinning: Option<Thinning>,
        /// How times are estimated: `fixed` or `learned`; none if the service has no servers.
        pub estimate: Option<Box<str>>,
        /// Expected service time on a server that has cached the object, in milliseconds.
        pub warm_ms: u64,
        /// Expected service time on any other server, in milliseconds.
        pub cold_ms: u64,
        /// Maximum expected time until the answer, in milliseconds.
        pub limit_ms: u64,
        /// Maximum wait that it may leave to the next request, in milliseconds.
        pub max_wait_ms: Option<u64>,
        /// Whether the shortage keeps it from servers that have not cached its object, while another
        /// has or they have no free slot.
        pub is_warm_only: bool,
        /// Overload of the service from 0 to 1.
        pub overload: f64,
        /// First servers by score, usable ones first.
        pub candidates: Vec<Candidate>,
        /// Number of further servers.
        pub omitted: usize,
        /// Number of servers that can't be used, by reason.
        pub unusable: IndexMap<Obstacle, usize>,
        /// Server that the request would go to.
        pub choice: Option<Choice>,
        /// Answer of the gateway, if the request would go to none.
        pub refusal: Option<Refusal>,
    }

    /// Where a request would go.
    #[derive(Default)]
    pub struct Explanation {
        /// VM that answers.
        pub vm: Vm,
        /// Route; none if no route matches.
        pub route: Option<Route>,
        /// Limit of the workspace; none if it has none.
        pub limit: Option<Limit>,
        /// Answer of the gateway, if the request would not reach the choice of a server.
        pub refusal: Option<Refusal>,
        /// Choice in each service of the route.
        pub decisions: Vec<Decision>,
    }
}

/// Asks a gateway where a request would go.
///
/// # Errors
///
/// Fails if the gateway gives no complete answer in time.
pub async fn explain(target: &Target, question: &Question) -> Result<Explanation, Error> {
    let answer = target.call_json(Method::POST, PATH, question).await?;
    match answer.status.is_success() {
        true => answer.decode(),
        false => Err(Error::Decode(String::from_utf8_lossy(&answer.body).into())),
    }
}
