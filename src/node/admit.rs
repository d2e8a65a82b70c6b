//! Decides whether a caller's request may run: freshness, key, class and rate.

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

/// Headers that are forwarded to endpoints; all others stay here.
const FORWARDED_HEADERS: &[&str] = &["accept", "accept-language", "content-type"];

/// A caller's request whose key was accepted.
pub struct Caller {
    /// Id that this instance gave to the request.
    pub request: RequestId,
    /// When it arrived.
    pub arrived: Time,
    /// Configuration under which it is judged.
    pub config: Arc<Config>,
    /// Team, or `None` on an open route.
    pub team: Option<Team>,
    /// The key itself, which never leaves this instance.
    key: Option<Key>,
    /// Keeps a shutdown waiting.
    pub _running: DrainGuard,
}

/// A caller's request that may run.
pub struct Admitted {
    /// The caller.
    pub caller: Caller,
    /// Class.
    pub class: Class,
    /// Target of the class.
    pub target: ClassTarget,
    /// Tokens that were charged.
    pub charge: Charge,
}

/// Checks that this instance may serve and that the key is known.
pub fn identify(
    node: &Node,
    request: RequestId,
    headers: &HeaderMap,
    open: impl Fn(&Config) -> bool,
) -> Result<Caller, Refusal> {
    let _running = node.drain.enter_request().ok_or(Refusal::not_run(Code::Draining))?;
    let config = node.config().ok_or(Refusal::not_run(Code::NoConfig).retry_after(500))?;
    let key = if open(&config) { None } else { Some(Key::from_headers(headers)?) };
    let team = key.as_ref().map(|key| authenticate(node, &config, key)).transpose()?;
    Ok(Caller { request, arrived: Time::now(), config, team, key, _running })
}

/// Returns the team of a key where this instance may serve keyed work.
fn authenticate(node: &Node, config: &Config, key: &Key) -> Result<Team, Refusal> {
    match admit(config, node.freshness(), key.as_str()) {
        Admission::Admit(_, team) => Ok(team),
        Admission::Refuse(code) if code == Code::CutOff => {
            Err(Refusal::not_run(code).retry_after(CUT_OFF_RETRY_AFTER_MS))
        }
        Admission::Refuse(code) => Err(Refusal::not_run(code)),
    }
}

/// Time after which a caller of a cut-off instance may come back, in milliseconds.
const CUT_OFF_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the team of a request's key, where it carries a known one.
pub fn known_team(config: &Config, headers: &HeaderMap) -> Option<Team> {
    let key = Key::from_headers(headers).ok()?;
    config.team_of(key.as_str()).map(|(_, team)| team.clone())
}

/// Checks at the steward that the key of a request that waited was not withdrawn meanwhile.
pub fn check_still_admitted(node: &Node, work: &Work) -> Result<(), Refusal> {
    let Some(config) = node.config() else { return Ok(()) };
    let pass = AdmissionRecord {
        handle: work.key_handle.clone(),
        team: work.team.clone(),
        version: work.config_version,
    };
    if is_still_admitted(&config, &pass) { Ok(()) } else { Err(Refusal::not_run(Code::KeyUnknown)) }
}

impl Caller {
    /// Refuses a request that carries its key where it would be forwarded to an endpoint.
    pub fn refuse_exposed_key(&self, parts: &Parts, body: &[u8]) -> Result<(), Refusal> {
        let Some(key) = &self.key else { return Ok(()) };
        let forwarded = FORWARDED_HEADERS.iter().chain(&[IDEMPOTENCY_KEY_HEADER]);
        let mut values = forwarded.flat_map(|name| parts.headers.get_all(*name));
        let exposed = key.is_in(parts.uri.path().as_bytes())
            || key.is_in(body)
            || values.any(|value| key.is_in(value.as_bytes()));
        if exposed { Err(Refusal::not_run(Code::KeyMisplaced)) } else { Ok(()) }
    }

    /// Checks again, since the body and the tokens may have taken their time.
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

    /// Returns the class of a model request: the one that the caller names, or the team's first.
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
    /// Returns when the answer must be complete.
    pub fn deadline(&self) -> Time {
        self.caller.arrived + self.target.deadline
    }

    /// Returns the work that all requests have in common.
    pub fn base_work(&self, headers: &HeaderMap) -> Work {
        let now = Time::now();
        let team = self.caller.team.as_ref().map(Team::to_string);
        let key = self.caller.key.as_ref();
        let known = key.and_then(|key| self.caller.config.team_of(key.as_str()));
        Work {
            request: self.caller.request.to_string(),
            team: team.unwrap_or_default(),
            key_handle: known.map(|(handle, _)| handle.to_string()).unwrap_or_default(),
            config_version: self.caller.config.version,
            class: self.class.to_string(),
            headers: forwarded_headers(headers),
            remaining_ms: self.deadline().since(now).as_millis() as u64,
            waited_ms: now.since(self.caller.arrived).as_millis() as u64,
            ..Work::default()
        }
    }
}

/// Returns the headers that endpoints may see.
fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let listed = FORWARDED_HEADERS.iter().flat_map(|name| {
        headers.get_all(*name).iter().map(|value| Header {
            name: (*name).to_owned(),
            value: value.as_bytes().to_vec().into(),
        })
    });
    listed.collect()
}
