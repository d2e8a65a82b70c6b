//! Fetches of the beginning of a prompt from an engine that has it cached: which holder a grant names, and
//! when it names none.

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    catalog::{Catalog, FetchSpec, Service},
    clock::Time,
    kernel::grants::{
        EndpointEntry, Grant, GrantRequest, Incarnation, Mode, ModelWork, Outcome, Scheduler,
        StreamId,
    },
};

use super::fleet::{
    LEADING, START, catalog, end_request, engine, granted, key, model_request, scheduler,
};

/// Engines that copy 24,000 tokens in 45 ms, which they prefill in 600 ms.
pub const SPEC: FetchSpec = FetchSpec { token_bytes: 163_840.0, link_mbps: 700_000.0 };

/// A prompt whose prefill takes 150 ms, and its transfer about 11 ms.
const PROMPT: &[(u64, u32)] = &[(77, 6_000)];

/// When the first engine holds the prompt and is busy.
const BUSY: Time = Time::from_millis(100_400);

/// Returns the catalog of the other tests, with engines that fetch from one another.
pub fn fetch_catalog(fetch: Option<FetchSpec>) -> Arc<Catalog> {
    let mut catalog = Catalog::clone(&catalog(0.0));
    let mut service = Service::clone(&catalog.services["llm"]);
    service.engine.as_mut().expect("the service has engines").fetch = fetch;
    catalog.services.insert("llm".into(), service.into());
    catalog.into()
}

/// Returns the entry of the engine `e<number>`, which has the model `m0` with the adapter `a1`, and the model
/// `m<number>` alone.
fn entry(number: u64) -> EndpointEntry {
    let own: Arc<str> = format!("m{number}").into();
    EndpointEntry {
        address: format!("10.0.0.{number}:8000").parse().expect("an address"),
        models: vec![("m0".into(), vec!["a1".into()]), (own, Vec::new())],
        ..engine(&format!("e{number}"), &[])
    }
}

fn request(model: &str, parts: &[(u64, u32)], now: Time) -> GrantRequest {
    let work = ModelWork {
        parts: parts.to_vec(),
        prompt_tokens: parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum(),
        ..model_request(model, 1, now).work.expect("a request for a model")
    };
    GrantRequest { work: Some(work), team: None, ..model_request(model, 1, now) }
}

/// A scheduler, and the number of the last request.
struct Fleet {
    scheduler: Scheduler,
    last: u64,
}

impl Fleet {
    /// Returns two engines, of which the first has prefilled [`PROMPT`].
    fn new(mode: Mode, fetch: Option<FetchSpec>) -> Self {
        let mut scheduler = scheduler(mode, vec![entry(1), entry(2)]);
        scheduler.set_catalog(fetch_catalog(fetch));
        let mut fleet = Self { scheduler, last: 0 };
        assert_eq!(&*fleet.run(request("m0", PROMPT, START), START).endpoint, "e1");
        fleet
    }

    /// Returns the same with the first engine so busy that the prompt is not granted there.
    fn busy() -> Self {
        let mut fleet = Self::new(LEADING, Some(SPEC));
        fleet.occupy(1, BUSY);
        fleet
    }

    fn ask(&mut self, request: GrantRequest, now: Time) -> Option<Grant> {
        self.last += 1;
        let actions = self.scheduler.handle_request(key(self.last), request, now);
        granted(&actions).cloned()
    }

    /// Runs a request to its end, with a first event 50 ms after the time of its prefill.
    fn run(&mut self, request: GrantRequest, now: Time) -> Grant {
        let tokens = request.work.as_ref().map_or(0, |work| work.prompt_tokens as u32);
        let grant = self.ask(request, now).expect("the request is granted");
        let later = now + Duration::from_millis(50) + Duration::from_micros(25) * tokens;
        self.scheduler.record_first_event(&key(self.last), later);
        end_request(&mut self.scheduler, self.last, Outcome::Whole, later);
        grant
    }

    /// Lets an engine prefill two urgent prompts of 250 ms, of a model that it alone has.
    fn occupy(&mut self, number: u64, now: Time) {
        for part in [1_000 * number, 1_000 * number + 1] {
            let request = GrantRequest {
                priority: 0,
                stream: Some(StreamId(part)),
                ..request(&format!("m{number}"), &[(part, 10_000)], now)
            };
            assert!(self.ask(request, now).is_some(), "the engine takes the prompt {part}");
        }
    }

    /// Returns the grant of the shared prompt.
    fn ask_shared(&mut self, now: Time) -> Grant {
        self.ask(request("m0", PROMPT, now), now).expect("the request is granted")
    }

    /// Checks that the shared prompt is granted to the second engine without a holder.
    fn assert_none(&mut self, reason: &str) {
        let grant = self.ask_shared(BUSY);
        assert_eq!((&*grant.endpoint, grant.holder), ("e2", None), "{reason}");
    }
}

fn address(number: u64) -> Option<std::net::SocketAddr> {
    Some(entry(number).address)
}

/// Guards against requests that are prefilled although an engine nearby holds their prompt.
#[test]
fn fetch_names_holder() {
    let mut fleet = Fleet::busy();
    let grant = fleet.ask_shared(BUSY);
    assert_eq!((&*grant.endpoint, grant.holder), ("e2", address(1)));
    let seen = fleet.scheduler.take_observations();
    assert_eq!((seen.fetches, seen.fetched_tokens), (1, 5_999), "the last token is prefilled");
}

/// Guards against requests that queue at the engine that holds their prompt, while a fetch is faster.
#[test]
fn fetch_moves_request_off_queue() {
    let place = |fetch| {
        let mut fleet = Fleet::new(LEADING, fetch);
        let busy = request("m1", &[(9, 4_800)], BUSY);
        fleet.ask(busy, BUSY).expect("the request is granted");
        fleet.ask_shared(BUSY).endpoint
    };
    assert_eq!((&*place(None), &*place(Some(SPEC))), ("e1", "e2"));
}

/// Guards against transfers that save less than they cost, or that were not asked for.
#[test]
fn fetch_none_where_it_does_not_pay() {
    let slow = FetchSpec { link_mbps: 50_000.0, ..SPEC };
    for (spec, reason) in [(None, "not configured"), (Some(slow), "a transfer of 157 ms")] {
        let mut fleet = Fleet::new(LEADING, spec);
        fleet.occupy(1, BUSY);
        fleet.assert_none(reason);
    }
    let mut fleet = Fleet::new(LEADING, Some(SPEC));
    let short = |own, now| request("m0", &[(78, 198), (own, 628)], now);
    let soon = START + Duration::from_millis(200);
    assert_eq!(&*fleet.run(short(79, soon), soon).endpoint, "e2");
    fleet.occupy(2, BUSY);
    let grant = fleet.ask(short(80, BUSY), BUSY).expect("the request is granted");
    assert_eq!((&*grant.endpoint, grant.holder), ("e1", None), "a short prompt");
}

/// Guards against holders that an instance without a leader names from what it alone has seen.
#[test]
fn fetch_none_without_leader() {
    let mut fleet = Fleet::new(Mode::Alone { share: 1.0 }, Some(SPEC));
    fleet.occupy(1, BUSY);
    assert_eq!(fleet.ask_shared(BUSY).holder, None);
}

/// Guards against a holder that drains, has said that it leaves, or has left.
#[test]
fn fetch_none_from_leaving_holder() {
    let draining = EndpointEntry { draining: true, ..entry(1) };
    for entries in [vec![draining, entry(2)], vec![entry(2)]] {
        let mut fleet = Fleet::busy();
        fleet.scheduler.set_endpoints(entries, BUSY);
        fleet.assert_none("the entry says so");
    }
    let mut fleet = Fleet::busy();
    end_request(&mut fleet.scheduler, 2, Outcome::Leaving, BUSY);
    fleet.assert_none("a response has said so");
}

/// Guards against a holder that restarted under its name and has lost its cache.
#[test]
fn fetch_none_from_restarted_holder() {
    let mut fleet = Fleet::busy();
    let restarted = EndpointEntry { incarnation: Incarnation(2), ..entry(1) };
    fleet.scheduler.set_endpoints(vec![restarted, entry(2)], BUSY);
    fleet.occupy(1, BUSY);
    fleet.assert_none("nothing is cached after a restart");
}

/// Guards against cached parts of another software version, whose format may differ.
#[test]
fn fetch_none_from_other_version() {
    let mut fleet = Fleet::busy();
    let other = EndpointEntry { version: "v2".into(), ..entry(2) };
    fleet.scheduler.set_endpoints(vec![entry(1), other], BUSY);
    fleet.assert_none("the holder has another version");
}

/// Guards against cached parts of another adapter or model, which are of no use.
#[test]
fn fetch_none_from_other_adapter_or_model() {
    let mut with_adapter = request("m0", PROMPT, BUSY);
    with_adapter.work.as_mut().expect("a request for a model").adapter = Some("a1".into());
    let other_model = request("m2", PROMPT, BUSY);
    for request in [with_adapter, other_model] {
        let grant = Fleet::busy().ask(request, BUSY).expect("the request is granted");
        assert_eq!((&*grant.endpoint, grant.holder), ("e2", None));
    }
}

/// Guards against a holder that has evicted the prompt since.
#[test]
fn fetch_none_from_holder_that_evicted_the_prompt() {
    let mut fleet = Fleet::new(LEADING, Some(SPEC));
    let mut now = START;
    for part in 100..110 {
        now = now + Duration::from_millis(600);
        fleet.run(request("m1", &[(part, 20_000)], now), now);
    }
    now = now + Duration::from_millis(600);
    fleet.occupy(1, now);
    let grant = fleet.ask_shared(now);
    assert_eq!((&*grant.endpoint, grant.holder), ("e2", None));
}

/// Guards against a holder that does not respond, broke off, or cannot be reached.
#[test]
fn fetch_none_from_failing_holder() {
    for outcome in [Outcome::Silent, Outcome::Broke, Outcome::Unreached, Outcome::Full] {
        let mut fleet = Fleet::busy();
        end_request(&mut fleet.scheduler, 2, outcome, BUSY);
        fleet.assert_none(&format!("{outcome:?}"));
    }
}

/// Guards against a holder that has stopped, before any of its runs has failed.
#[test]
fn fetch_none_from_silent_holder() {
    let mut fleet = Fleet::busy();
    let grant = fleet.ask_shared(BUSY + Duration::from_millis(1_200));
    assert_eq!((&*grant.endpoint, grant.holder), ("e2", None));
}

/// Guards against a retry that names the engine at which an attempt has failed.
#[test]
fn fetch_retry_names_other_holder_or_none() {
    let mut fleet = Fleet::busy();
    let tried = |now| GrantRequest {
        tried: vec!["e1".into()],
        is_retry: true,
        ..request("m0", PROMPT, now)
    };
    let grant = fleet.ask(tried(BUSY), BUSY).expect("the request is granted");
    assert_eq!((&*grant.endpoint, grant.holder), ("e2", None), "no other engine holds it");
    let later = BUSY + Duration::from_millis(100);
    fleet.scheduler.record_first_event(&key(fleet.last), later);
    fleet.scheduler.set_endpoints(vec![entry(1), entry(2), entry(3)], later);
    fleet.occupy(2, BUSY);
    let grant = fleet.ask(tried(later), later).expect("the request is granted");
    assert_eq!((&*grant.endpoint, grant.holder), ("e3", address(2)));
}

/// Guards against an estimate that misses what an engine has fetched, or expects it before it is there.
#[test]
fn fetch_receiver_holds_prompt_from_first_event() {
    for (has_begun, holder) in [(false, None), (true, address(2))] {
        let mut fleet = Fleet::busy();
        assert_eq!(fleet.ask_shared(BUSY).holder, address(1));
        if has_begun {
            fleet.scheduler.record_first_event(&key(fleet.last), BUSY);
        }
        fleet.scheduler.set_endpoints(vec![entry(2), entry(3)], BUSY);
        fleet.occupy(2, BUSY);
        let grant = fleet.ask_shared(BUSY);
        assert_eq!((&*grant.endpoint, grant.holder), ("e3", holder));
    }
}

/// Guards against transfers that wait for a link longer than the prefill takes.
#[test]
fn fetch_none_while_link_is_busy() {
    let mut fleet = Fleet::new(LEADING, Some(SPEC));
    fleet.scheduler.set_endpoints(vec![entry(1)], START);
    let prompts = 1..13;
    for prompt in prompts.clone() {
        let now = START + Duration::from_millis(200) * prompt as u32;
        fleet.run(request("m0", &[(prompt, 6_000)], now), now);
    }
    let now = START + Duration::from_millis(200) * 13;
    fleet.scheduler.set_endpoints((1..=14).map(entry).collect(), now);
    fleet.occupy(1, now);
    let grants = prompts.map(|prompt| {
        let request = request("m0", &[(prompt, 6_000)], now);
        fleet.ask(request, now).expect("the request is granted")
    });
    let named = grants.filter(|grant| grant.holder.is_some()).count();
    assert!((3..9).contains(&named), "{named} of 12 transfers at once");
    // Each transfer takes 16 ms, so the link is free again.
    let later = now + Duration::from_millis(200);
    assert_eq!(fleet.ask_shared(later).holder, address(1));
}
