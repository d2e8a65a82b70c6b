//! Decides whether a caller's request may run, by the instance's freshness, the key, the class and
//! the team's rate.

mod key;

use std::sync::Arc;

use http::{HeaderMap, request::Parts};

use self::key::Key;
use super::{Node, drain::DrainGuard, shares::Charge};
use crate::{
    clock::Time,
    codes::{Code, Refusal},
    config::{ClassTarget, Config},
    endpoint::IDEMPOTENCY_KEY_HEADER,
    kernel::admission::{Admission, AdmissionRecord, admit, is_still_admitted},
    names::{Class, RequestId, Team},
    wire::{Header, Work},
};

/// Header by which callers name a class.
pub const CLASS_HEADER: &str = "x-cardamomshore-class";

/// Headers that are forwarded to endpoints; all others are dropped at the entry instance.
const FORWARDED_HEADERS: &[&str] = &["accept", "accept-language", "content-type"];

/// A caller's request whose key was accepted.
pub struct Caller {
    /// Id that this instance gave to the request.
    pub request: RequestId,
    /// When the request arrived.
    pub arrived: Time,
    /// Configuration under which the request is admitted.
    pub config: Arc<Config>,
    /// Team of the key, or `None` on a public route.
    pub team: Option<Team>,
    /// The key, which never leaves this instance; `None` on a public route.
    key: Option<Key>,
    /// Makes a shutdown wait until the request has ended.
    pub _guard: DrainGuard,
}

/// An admitted request of a caller.
pub struct Admitted {
    /// The request and its caller.
    pub caller: Caller,
    /// Class of the request.
    pub class: Class,
    /// Targets of the class.
    pub target: ClassTarget,
    /// Tokens that were charged to the team.
    pub charge: Charge,
}

/// Checks that this instance accepts requests, and that the key is known unless the route is
/// public.
///
/// `is_public` returns whether the configuration serves the route without a key.
pub fn identify(
    node: &Node,
    request: RequestId,
    headers: &HeaderMap,
    is_public: impl Fn(&Config) -> bool,
) -> Result<Caller, Refusal> {
    let _guard = node.drain.enter_request().ok_or(Refusal::not_run(Code::Draining))?;
    let config = node.config().ok_or(Refusal::not_run(Code::NoConfig).retry_after(500))?;
    let key = if is_public(&config) { None } else { Some(Key::from_headers(headers)?) };
    let team = key.as_ref().map(|key| authenticate(node, &config, key)).transpose()?;
    Ok(Caller { request, arrived: Time::now(), config, team, key, _guard })
}

/// Returns the team of a key; fails for an unknown key or while this instance is cut off.
fn authenticate(node: &Node, config: &Config, key: &Key) -> Result<Team, Refusal> {
    match admit(config, node.freshness(), key.as_str()) {
        Admission::Admit(_, team) => Ok(team),
        Admission::Refuse(code) if code == Code::CutOff => {
            Err(Refusal::not_run(code).retry_after(CUT_OFF_RETRY_AFTER_MS))
        }
        Admission::Refuse(code) => Err(Refusal::not_run(code)),
    }
}

/// Time after which a request to a cut-off instance may be retried, in milliseconds.
const CUT_OFF_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the team of a request's key, or `None` without a known key.
pub fn known_team(config: &Config, headers: &HeaderMap) -> Option<Team> {
    let key = Key::from_headers(headers).ok()?;
    config.team_of(key.as_str()).map(|(_, team)| team.clone())
}

/// Checks at the steward that the key of a queued request was not withdrawn in the meantime.
pub fn check_still_admitted(node: &Node, work: &Work) -> Result<(), Refusal> {
    let Some(config) = node.config() else { return Ok(()) };
    let record = AdmissionRecord {
        handle: work.key_handle.clone(),
        team: work.team.clone(),
        version: work.config_version,
    };
    if is_still_admitted(&config, &record) {
        Ok(())
    } else {
        Err(Refusal::not_run(Code::KeyUnknown))
    }
}

impl Caller {
    /// Refuses a request that contains its key in the path, the body or a header, since those are
    /// forwarded to an endpoint.
    pub fn refuse_exposed_key(&self, parts: &Parts, body: &[u8]) -> Result<(), Refusal> {
        let Some(key) = &self.key else { return Ok(()) };
        let forwarded = FORWARDED_HEADERS.iter().chain(&[IDEMPOTENCY_KEY_HEADER]);
        let mut values = forwarded.flat_map(|name| parts.headers.get_all(*name));
        let exposed = key.is_in(parts.uri.path().as_bytes())
            || key.is_in(body)
            || values.any(|value| key.is_in(value.as_bytes()));
        if exposed { Err(Refusal::not_run(Code::KeyMisplaced)) } else { Ok(()) }
    }

    /// Checks the key once more, since reading the body and waiting for tokens can take long.
    fn recheck(&mut self, node: &Node) -> Result<(), Refusal> {
        let Some(key) = &self.key else { return Ok(()) };
        let config = node.config().unwrap_or_else(|| self.config.clone());
        let team = authenticate(node, &config, key)?;
        if self.team.as_ref() != Some(&team) {
            return Err(Refusal::not_run(Code::KeyUnknown));
        }
        self.config = config;
        Ok(())
    }

    /// Charges the team and completes the admission.
    ///
    /// Fails for an unknown class, a key that was withdrawn, or a rate that is exceeded.
    pub async fn admit(
        mut self,
        node: &Arc<Node>,
        class: Class,
        tokens: u64,
    ) -> Result<Admitted, Refusal> {
        self.recheck(node)?;
        let target = self.config.classes.get(&class).cloned();
        let target = target.ok_or(Refusal::not_run(Code::ClassUnknown))?;
        let deadline = self.arrived + target.deadline;
        let charge = match &self.team {
            Some(team) => node.charge(team, tokens, deadline).await?,
            None => Charge::free(),
        };
        self.recheck(node).inspect_err(|refusal| charge.refund_if_not_run(refusal))?;
        Ok(Admitted { caller: self, class, target, charge })
    }

    /// Returns the class of a model request: the one that its header names, or the team's first.
    pub fn class(&self, headers: &HeaderMap) -> Result<Class, Refusal> {
        let team = self.team.as_ref().and_then(|team| self.config.teams.get(team));
        let team = team.ok_or(Refusal::not_run(Code::KeyUnknown))?;
        let Some(named) = headers.get(CLASS_HEADER) else {
            return Ok(team.classes[0].clone());
        };
        let named = named.to_str().map_err(|_| Refusal::not_run(Code::ClassUnknown))?;
        let class = Class::from(named);
        if !self.config.classes.contains_key(&class) {
            return Err(Refusal::not_run(Code::ClassUnknown));
        }
        if team.classes.contains(&class) {
            Ok(class)
        } else {
            Err(Refusal::not_run(Code::ClassForbidden))
        }
    }
}

impl Admitted {
    /// Returns when the response must be complete.
    pub fn deadline(&self) -> Time {
        self.caller.arrived + self.target.deadline
    }

    /// Returns the request as it is sent to a steward, with the fields that all kinds of requests
    /// have; the others are empty.
    pub fn base_work(&self, headers: &HeaderMap) -> Work {
        let now = Time::now();
        let team = self.caller.team.as_ref().map(Team::to_string);
        let key = self.caller.key.as_ref();
        let handle_and_team = key.and_then(|key| self.caller.config.team_of(key.as_str()));
        Work {
            request: self.caller.request.to_string(),
            team: team.unwrap_or_default(),
            key_handle: handle_and_team.map(|(handle, _)| handle.to_string()).unwrap_or_default(),
            config_version: self.caller.config.version,
            class: self.class.to_string(),
            headers: forwarded_headers(headers),
            remaining_ms: self.deadline().since(now).as_millis() as u64,
            waited_ms: now.since(self.caller.arrived).as_millis() as u64,
            ..Work::default()
        }
    }
}

/// Returns the headers that are forwarded to endpoints.
fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let forwarded = FORWARDED_HEADERS.iter().flat_map(|name| {
        headers.get_all(*name).iter().map(|value| Header {
            name: (*name).to_owned(),
            value: value.as_bytes().to_vec().into(),
        })
    });
    forwarded.collect()
}
