//! The clients of a rehearsal.

use super::{ClientRequest, Rehearsal, SECOND, nanos, sleep_until};
use crate::client::{Observation, Question};
use crate::script::{Clients, Script};
use async_executor::Task;
use async_io::Timer;
use oorandom::Rand64;
use petrelshore_chat_gateway::Idempotency;
use petrelshore_emulator::record::{Event, FinalOutcome, Nanos};
use std::rc::Rc;
use std::time::Duration;

/// The time after which a client without a complete response disconnects. No rule allows a response that late.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
/// The length at which the history of a session is cleared.
const MAX_HISTORY_BYTES: usize = 16_000;
/// The minimum time until an early disconnect, in milliseconds.
const MIN_DISCONNECT_MS: u64 = 20;
/// The range of the random time added to the minimum, in milliseconds.
const DISCONNECT_SPREAD_MS: u64 = 400;
/// The pause before a retry if the response specifies none.
const DEFAULT_RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// A connection that ends within this time without a response counts as refused, in nanoseconds.
const REFUSED_WITHIN: Nanos = SECOND / 100;
const NANOS_PER_SECOND: f64 = 1e9;

/// The task that starts all requests of a group of clients and returns the tasks of these requests.
type ClientGroupTask = Task<Vec<Task<()>>>;

/// The random choices for one request.
struct RequestPlan {
    question: String,
    /// The time after which the client disconnects early; `None` if the client doesn't disconnect early.
    disconnects_after: Option<Duration>,
    /// The index of the gateway for the first attempt.
    gateway: usize,
}

/// One attempt of a client's request.
struct Attempt {
    sent: Nanos,
    observation: Observation,
}

impl Rehearsal {
    /// Starts all client groups of a script.
    pub(super) fn start_clients(self: &Rc<Self>, script: &Script) -> Vec<ClientGroupTask> {
        let mut groups = Vec::new();
        for (number, clients) in script.clients.iter().enumerate() {
            let random = Rand64::new((script.seed as u128) << 8 | number as u128);
            let until = self.record.now() + nanos(script.duration_ms);
            groups.push(self.executor.spawn(send_requests(self.clone(), clients.clone(), random, until)));
        }
        groups
    }
}

/// Starts requests with exponentially distributed pauses, as independent clients send them.
async fn send_requests(
    rehearsal: Rc<Rehearsal>,
    clients: Clients,
    mut random: Rand64,
    until: Nanos,
) -> Vec<Task<()>> {
    let mut requests = Vec::new();
    let mut histories: Vec<String> = vec![String::new(); clients.sessions as usize];
    let mut next = rehearsal.record.now();
    if clients.per_second <= 0.0 {
        return requests;
    }
    loop {
        next += (-(1.0 - random.rand_float()).ln() / clients.per_second * NANOS_PER_SECOND) as Nanos;
        if next >= until {
            return requests;
        }
        sleep_until(&rehearsal.record, next).await;
        let question = draw_question(&mut random, &clients, &mut histories);
        let disconnects_after = (random.rand_float() < clients.disconnect_share)
            .then(|| Duration::from_millis(MIN_DISCONNECT_MS + random.rand_range(0..DISCONNECT_SPREAD_MS)));
        let gateway = random.rand_range(0..rehearsal.names.len() as u64) as usize;
        let plan = RequestPlan { question, disconnects_after, gateway };
        requests.push(rehearsal.executor.spawn(request(rehearsal.clone(), clients.clone(), plan)));
    }
}

/// Draws a question, including the history of its session if the clients have sessions.
fn draw_question(random: &mut Rand64, clients: &Clients, histories: &mut [String]) -> String {
    let mut question = String::new();
    if !histories.is_empty() {
        let session = random.rand_range(0..histories.len() as u64) as usize;
        let history = &mut histories[session];
        history.push_str(&draw_words(random, clients.words as usize));
        if history.len() > MAX_HISTORY_BYTES {
            history.clear();
        }
        question = format!("session {session}: {history}");
    }
    question.push_str(&draw_words(random, clients.words as usize));
    question
}

fn draw_words(random: &mut Rand64, count: usize) -> String {
    const WORDS: [&str; 12] = [
        "dock ", "unlock ", "bike ", "fault ", "ride ", "brake ", "sensor ", "pin ", "lamp ", "gear ",
        "lock ", "tyre ",
    ];
    (0..count).map(|_| WORDS[random.rand_range(0..WORDS.len() as u64) as usize]).collect()
}

/// Sends a client's request, and retries it where a retry is allowed.
async fn request(rehearsal: Rc<Rehearsal>, clients: Clients, plan: RequestPlan) {
    let model = clients.model.name();
    let settings = &rehearsal.settings;
    let index = settings.traffic.iter().position(|traffic| traffic.name == model).unwrap_or(0);
    let latency_slo = settings.deployment.types[index].latency_slo;
    let started = rehearsal.record.now();
    // All attempts of a request use one API.
    let api = clients.api.for_client(rehearsal.next_client.get());
    let outcome = FinalOutcome::NoResponse;
    let mut request = ClientRequest { model, api, outcome, within_slo: false, first_token: None };
    let mut gateway = plan.gateway;
    for _ in 0..=clients.retries as usize {
        let Attempt { sent, observation } =
            send_attempt(&rehearsal, &clients, &plan, &request, index, gateway).await;
        request.outcome = observation.outcome;
        request.first_token = observation.first_token.map(|after| sent + after - started);
        request.within_slo = observation.outcome == FinalOutcome::Completed
            && request.first_token.is_some_and(|after| after <= latency_slo);
        let idempotent = matches!(settings.traffic[index].idempotency, Idempotency::Idempotent);
        if !may_retry(&observation, idempotent) {
            break;
        }
        let pause = observation.retry_after.unwrap_or(DEFAULT_RETRY_PAUSE);
        Timer::after(pause.min(MAX_RETRY_PAUSE)).await;
        gateway = (gateway + 1) % rehearsal.names.len();
    }
    rehearsal.requests.borrow_mut().push(request);
}

/// Sends a request once and records what its client observes.
async fn send_attempt(
    rehearsal: &Rehearsal,
    clients: &Clients,
    plan: &RequestPlan,
    request: &ClientRequest,
    traffic: usize,
    gateway: usize,
) -> Attempt {
    let client = rehearsal.next_client.get();
    rehearsal.next_client.set(client + 1);
    let text = format!("{} #client {client} ", plan.question);
    let question = Question::new(request.model, text, clients.max_tokens as u64);
    let sent = rehearsal.record.now();
    let deadline = sent + rehearsal.settings.traffic[traffic].abandon_time;
    rehearsal.record.write(Event::RequestSent {
        client,
        gateway: rehearsal.names[gateway].clone(),
        traffic: request.model.to_owned(),
        deadline,
    });
    let timeout = plan.disconnects_after.unwrap_or(CLIENT_TIMEOUT);
    let observation = question.send(request.api, rehearsal.addresses[gateway], timeout).await;
    rehearsal.record.write(Event::ResponseReceived {
        client,
        outcome: observation.outcome,
        first_token: observation.first_token,
        tokens: observation.tokens,
    });
    if observation.after_final {
        rehearsal.record.write(Event::DataAfterFinal { client });
    }
    Attempt { sent, observation }
}

/// Returns whether a client may retry its request: either the response allows a retry, or the connection broke and the
/// request is idempotent or was not executed.
fn may_retry(observation: &Observation, idempotent: bool) -> bool {
    match observation.outcome {
        FinalOutcome::Rejected | FinalOutcome::NotAccepted => true,
        FinalOutcome::NoResponse => {
            idempotent || observation.status == 0 && observation.took < REFUSED_WITHIN
        }
        _ => false,
    }
}
