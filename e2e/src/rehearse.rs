//! Plays a script: gateways, fleet, clients and timed faults on loopback; then the auditor's verdict and figures.

use crate::auditor::{Effect, Figures, Verdict, judge, left_behind};
use crate::client::{Addresses, Front, Question};
use crate::fleet::{Executor, Fleet, Running, Shape, settings_text};
use crate::script::{Clients, Script, Timed, Trouble};
use async_io::Timer;
use hdrhistogram::Histogram;
use oorandom::Rand64;
use petrelshore_chat_gateway::Chooser;
use petrelshore_emulator::profile::Profile;
use petrelshore_emulator::record::{Entry, Event, FinalOutcome, Nanos, Record};
use petrelshore_settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const SECOND: Nanos = 1_000_000_000;
/// A drain's grace in rehearsals, from the gateway's word on.
const DRAIN_GRACE: Nanos = SECOND / 4;
/// Clients that get no answer at all go when this has passed; no rule allows an answer that late.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a rehearsal showed.
pub struct Outcome {
    pub verdict: Verdict,
    pub entries: Vec<Entry>,
    /// Utility answered within the latency SLO over utility asked, client retries counted with their first try.
    pub service: f64,
    /// The same for each front that was asked, so that none starves unseen.
    pub fronts: BTreeMap<Front, f64>,
    pub answers: BTreeMap<String, BTreeMap<String, usize>>,
    /// Milliseconds to the first token, by traffic type.
    pub first_tokens: BTreeMap<String, Histogram<u64>>,
    /// Attempts and states that were left when all was over.
    pub left_in_gateways: usize,
    pub left_in_boxes: usize,
}

struct Play {
    record: Record,
    gateways: RefCell<Vec<Option<Running>>>,
    addresses: RefCell<Vec<Addresses>>,
    names: Vec<String>,
    chooser: Chooser,
    settings: Settings,
    next_client: Cell<u64>,
    tries: RefCell<Vec<Tried>>,
}

/// One question of a client, over all its tries.
struct Tried {
    model: &'static str,
    front: Front,
    answer: FinalOutcome,
    in_time: bool,
    first_token: Option<Nanos>,
}

/// Plays a script; its files go to `folder`. `say` is told now and then how far it is.
pub async fn rehearse(
    executor: &Executor,
    folder: &Path,
    script: &Script,
    more: &str,
    chooser: Chooser,
    say: impl Fn(String),
) -> Result<Outcome, String> {
    let shape = Shape {
        cells: script.fleet.cells as usize,
        readers: script.fleet.readers as usize,
        writers: script.fleet.writers as usize,
        mixed: script.fleet.mixed as usize,
    };
    let build = |role| Profile {
        slots: script.fleet.slots as usize,
        token_interval: (script.fleet.token_ms * 1e6) as Nanos,
        prefill_tokens_per_second: script.fleet.read_tokens_per_second,
        warm_up: (script.fleet.cold_ms * 1e6) as Nanos,
        overload_factor: script.fleet.cold_multiple,
        ..Profile::default_for(role)
    };
    let fleet = Fleet::start(executor.clone(), folder, &shape, build).await;
    let mut fleet = fleet.map_err(|error| error.to_string())?;
    let record = fleet.record.clone();
    let count = (script.gateways as usize).max(1);
    let (lasts, multiple) = (script.fleet.cold_ms, script.fleet.cold_multiple);
    let more = format!("cold.lasts = \"{lasts}ms\", cold.multiple = {multiple}, {more}");
    let names: Vec<String> = (1..=count).map(|number| format!("gw-{number}")).collect();
    let mut running = Vec::new();
    for name in &names {
        let text = settings_text(name, count, "127.0.0.1:0", &more);
        running.push(Some(Running::start_with(executor, folder, &text, chooser).await?));
    }
    let addresses: Vec<Addresses> = running.iter().flatten().map(|running| running.at).collect();
    let settings = running.iter().flatten().next().map(|running| running.gateway.settings().clone());
    let play = Rc::new(Play {
        record: record.clone(),
        gateways: RefCell::new(running),
        addresses: RefCell::new(addresses),
        names,
        chooser,
        settings: settings.ok_or("a rehearsal needs a gateway")?,
        next_client: Cell::new(0),
        tries: RefCell::default(),
    });
    let mut asking = Vec::new();
    for (number, clients) in script.clients.iter().enumerate() {
        let chance = Rand64::new((script.seed as u128) << 8 | number as u128);
        let until = record.now() + (script.lasts_ms * 1e6) as Nanos;
        asking.push(executor.spawn(arrivals(executor.clone(), play.clone(), clients.clone(), chance, until)));
    }
    let started = record.now();
    let mut faults = script.faults.clone();
    faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    for timed in &faults {
        sleep_until(&record, started + (timed.at_ms * 1e6) as Nanos).await;
        say(format!("{:6.1} s: {:?} {}", timed.at_ms / 1e3, timed.what, timed.servers.join(" ")));
        act(executor, &mut fleet, &play, timed, folder, &more).await?;
    }
    for task in asking {
        for exchange in task.await {
            exchange.await;
        }
    }
    say("clients are done".to_owned());
    // Whatever should be let go has had its time.
    Timer::after(Duration::from_nanos(2 * play.settings.deployment.release_timeout)).await;
    let left_in_gateways =
        play.gateways.borrow().iter().flatten().map(|running| running.gateway.tracked()).sum();
    let entries = record.entries();
    let left_in_boxes = left_behind(&entries);
    let verdict = judge(&entries, &figures(&play.settings));
    Ok(outcome(&play, verdict, entries, left_in_gateways, left_in_boxes))
}

/// The rules' figures, as the gateways' settings have them.
pub fn figures(settings: &Settings) -> Figures {
    use petrelshore_chat_gateway::Idempotency as Kind;
    let mut figures = Figures::new(settings.deployment.release_timeout, DRAIN_GRACE);
    for traffic in &settings.traffic {
        let effect = match traffic.idempotency {
            Kind::Idempotent => Effect::Repeatable,
            Kind::AtMostOnce => Effect::OnceOnly,
            Kind::Keyed { window, .. } => Effect::TokenedInCell(window),
        };
        figures.effects.insert(traffic.name.clone(), effect);
    }
    figures
}

async fn sleep_until(record: &Record, at: Nanos) {
    Timer::after(Duration::from_nanos(at.saturating_sub(record.now()))).await;
}

/// Carries out one timed trouble.
async fn act(
    executor: &Executor,
    fleet: &mut Fleet,
    play: &Rc<Play>,
    timed: &Timed,
    folder: &Path,
    more: &str,
) -> Result<(), String> {
    let named: Vec<String> =
        fleet.places.iter().map(|place| place.name.clone()).filter(|name| timed.names(name)).collect();
    for name in &named {
        if let Some(fault) = timed.fault() {
            fleet.stand_in(name).into_iter().for_each(|stand_in| stand_in.set_fault(fault));
        }
        match timed.what {
            Trouble::Forget => {
                fleet.stand_in(name).into_iter().for_each(|stand_in| stand_in.clear_prefix_cache())
            }
            Trouble::Kill => fleet.kill(name),
            Trouble::Restart => fleet.restart(name).await.map_err(|error| error.to_string())?,
            Trouble::Drain | Trouble::Undrain | Trouble::Unlist => {
                let Some(place) = fleet.place(name) else { continue };
                place.draining = timed.what == Trouble::Drain;
                place.listed = timed.what != Trouble::Unlist;
            }
            _ => {}
        }
    }
    if matches!(timed.what, Trouble::Drain | Trouble::Undrain | Trouble::Unlist) {
        fleet.write_inventory().map_err(|error| error.to_string())?;
        for running in play.gateways.borrow().iter().flatten() {
            running.gateway.reload().map_err(|error| error.to_string())?;
            for server in &named {
                let open = timed.what == Trouble::Undrain;
                let (gateway, server) = (running.name.clone(), server.clone());
                play.record.write(Event::GatewayNotified { gateway, server, open });
            }
        }
    }
    if timed.what == Trouble::LoseInventory {
        std::fs::remove_file(folder.join("boxes.csv")).map_err(|error| error.to_string())?;
    }
    for number in timed.gateways.iter().map(|number| (*number as usize).saturating_sub(1)) {
        let Some(name) = play.names.get(number).cloned() else { continue };
        match timed.what {
            Trouble::KillGateway => {
                let killed = play.gateways.borrow_mut()[number].take();
                if let Some(killed) = killed {
                    killed.kill(&play.record).await;
                }
            }
            Trouble::StartGateway => {
                let at = play.addresses.borrow()[number];
                let more = format!("listen.grpc = \"{}\", {more}", at.grpc);
                let text = settings_text(&name, play.names.len(), &at.chat.to_string(), &more);
                let back = Running::start_with(executor, folder, &text, play.chooser).await?;
                play.gateways.borrow_mut()[number] = Some(back);
                play.record.write(Event::GatewayRestarted { gateway: name });
            }
            _ => {}
        }
    }
    Ok(())
}

/// Sets questions off at chance times, as independent clients do.
async fn arrivals(
    executor: Executor,
    play: Rc<Play>,
    clients: Clients,
    mut chance: Rand64,
    until: Nanos,
) -> Vec<async_executor::Task<()>> {
    let mut out = Vec::new();
    let mut histories: Vec<String> = vec![String::new(); clients.sessions as usize];
    let mut next = play.record.now();
    if clients.per_second <= 0.0 {
        return out;
    }
    loop {
        next += (-(1.0 - chance.rand_float()).ln() / clients.per_second * 1e9) as Nanos;
        if next >= until {
            return out;
        }
        sleep_until(&play.record, next).await;
        let mut question = String::new();
        if !histories.is_empty() {
            let session = chance.rand_range(0..histories.len() as u64) as usize;
            let history = &mut histories[session];
            history.push_str(&words(&mut chance, clients.words as usize));
            if history.len() > 16_000 {
                history.clear();
            }
            question = format!("session {session}: {history}");
        }
        question.push_str(&words(&mut chance, clients.words as usize));
        let leaves = (chance.rand_float() < clients.leave_share)
            .then(|| Duration::from_millis(20 + chance.rand_range(0..400)));
        let number = chance.rand_range(0..play.names.len() as u64) as usize;
        let asked = ask(play.clone(), clients.clone(), question, leaves, number);
        out.push(executor.spawn(asked));
    }
}

fn words(chance: &mut Rand64, count: usize) -> String {
    const WORDS: [&str; 12] = [
        "dock ", "unlock ", "bike ", "fault ", "ride ", "brake ", "sensor ", "pin ", "lamp ", "gear ",
        "lock ", "tyre ",
    ];
    (0..count).map(|_| WORDS[chance.rand_range(0..WORDS.len() as u64) as usize]).collect()
}

/// One client's question, with its retries where an answer says that they are harmless.
async fn ask(
    play: Rc<Play>,
    clients: Clients,
    question: String,
    leaves: Option<Duration>,
    mut number: usize,
) {
    let model = clients.model.name();
    let position = play.settings.traffic.iter().position(|traffic| traffic.name == model).unwrap_or(0);
    let (traffic, kind) = (&play.settings.traffic[position], &play.settings.deployment.types[position]);
    let began = play.record.now();
    // All tries of a question go by one front.
    let front = clients.front.of(play.next_client.get());
    let mut tried =
        Tried { model, front, answer: FinalOutcome::NoResponse, in_time: false, first_token: None };
    for _ in 0..=clients.retries as usize {
        let client = play.next_client.get();
        play.next_client.set(client + 1);
        let asking = Question::new(model, format!("{question} #client {client} "), clients.max_tokens as u64);
        let asked = play.record.now();
        let gateway = play.names[number].clone();
        let until = asked + traffic.abandon_time;
        play.record.write(Event::RequestSent { client, gateway, traffic: model.to_owned(), deadline: until });
        let to = play.addresses.borrow()[number];
        let seen = asking.ask(front, to, leaves.unwrap_or(PATIENCE)).await;
        let (answer, first_token, tokens) = (seen.finished, seen.first_token, seen.tokens);
        play.record.write(Event::ResponseReceived { client, outcome: answer, first_token, tokens });
        if seen.after_final {
            play.record.write(Event::DataAfterFinal { client });
        }
        let first = first_token.map(|after| asked + after - began);
        tried.answer = answer;
        tried.first_token = first;
        tried.in_time =
            answer == FinalOutcome::Completed && first.is_some_and(|after| after <= kind.latency_slo);
        // A client may also come again after a broken connection where its work may run again.
        let repeatable = matches!(traffic.idempotency, petrelshore_chat_gateway::Idempotency::Idempotent);
        let again = matches!(answer, FinalOutcome::Rejected | FinalOutcome::NotAccepted)
            || (answer == FinalOutcome::NoResponse
                && (repeatable || seen.status == 0 && seen.took < SECOND / 100));
        if !again {
            break;
        }
        let wait = seen.retry_after.unwrap_or(Duration::from_millis(200));
        Timer::after(wait.min(Duration::from_secs(2))).await;
        number = (number + 1) % play.names.len();
    }
    play.tries.borrow_mut().push(tried);
}

fn outcome(
    play: &Play,
    verdict: Verdict,
    entries: Vec<Entry>,
    left_in_gateways: usize,
    left_in_boxes: usize,
) -> Outcome {
    // Utility asked and served.
    let mut utilities: BTreeMap<Front, (f64, f64)> = BTreeMap::new();
    let mut answers: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
    let mut first_tokens: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
    for tried in play.tries.borrow().iter() {
        let of_type = answers.entry(tried.model.to_owned()).or_default();
        *of_type.entry(tried.answer.name().to_owned()).or_default() += 1;
        if tried.answer == FinalOutcome::Disconnected {
            continue;
        }
        let position = play.settings.traffic.iter().position(|traffic| traffic.name == tried.model);
        let utility =
            position.map_or(0.0, |position| play.settings.deployment.types[position].priority_weight);
        let (asked, served) = utilities.entry(tried.front).or_default();
        *asked += utility;
        *served += if tried.in_time { utility } else { 0.0 };
        if let Some(after) = tried.first_token {
            let times = first_tokens.entry(tried.model.to_owned()).or_insert_with(|| {
                // Three digits up to a minute; the bounds are right by construction.
                Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| Histogram::new(3).unwrap())
            });
            times.saturating_record(after / 1000);
        }
    }
    let share = |(asked, served): (f64, f64)| if asked > 0.0 { served / asked } else { 0.0 };
    let all = utilities.values().fold((0.0, 0.0), |sum, own| (sum.0 + own.0, sum.1 + own.1));
    let fronts = utilities.into_iter().map(|(front, own)| (front, share(own))).collect();
    Outcome {
        verdict,
        entries,
        service: share(all),
        fronts,
        answers,
        first_tokens,
        left_in_gateways,
        left_in_boxes,
    }
}
