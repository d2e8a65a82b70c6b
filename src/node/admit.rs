//! Decides whether a caller's request may run: freshness, key, class and rate.

use std::sync::Arc;

use http::HeaderMap;

use super::{Node, drain::Running, shares::Charge};
use crate::{
    clock::Time,
    codes::{Code, Refusal},
    config::{ClassTarget, Config},
    kernel::freshness::Freshness,
    names::{Class, RequestId, Team},
    wire::{Header, Work},
};

/// Header by which callers name a class.
pub const CLASS_HEADER: &str = "x-cardamomshore-class";

/// Headers that are forwarded to endpoints; all others stay here.
const FORWARDED: &[&str] = &["accept", "accept-language", "content-type"];

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
    /// Keeps a shutdown waiting.
    pub _running: Running,
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
    let _running = node.drain.enter().ok_or(Refusal::not_run(Code::Draining))?;
    let config = node.config().ok_or(Refusal::not_run(Code::NoConfig).retry_after(500))?;
    let team = if open(&config) { None } else { Some(authenticate(node, &config, headers)?) };
    Ok(Caller { request, arrived: Time::now(), config, team, _running })
}

fn authenticate(node: &Node, config: &Config, headers: &HeaderMap) -> Result<Team, Refusal> {
    if node.freshness() == Freshness::CutOff {
        return Err(Refusal::not_run(Code::CutOff).retry_after(1_000));
    }
    let key = key_of(headers)?;
    let known = config.team_of(&key).ok_or(Refusal::not_run(Code::KeyUnknown))?;
    Ok(known.1.clone())
}

/// Returns the team of a request's key, where it carries a known one.
pub fn known_team(config: &Config, headers: &HeaderMap) -> Option<Team> {
    let key = key_of(headers).ok()?;
    config.team_of(&key).map(|(_, team)| team.clone())
}

/// Returns the one key that a request carries.
fn key_of(headers: &HeaderMap) -> Result<String, Refusal> {
    let text = |value: &http::HeaderValue| value.to_str().ok().map(str::to_owned);
    let bearer = headers.get_all("authorization").iter().filter_map(text);
    let bearer = bearer.filter_map(|value| value.strip_prefix("Bearer ").map(str::to_owned));
    let plain = headers.get_all("x-api-key").iter().filter_map(text);
    let mut keys: Vec<String> = bearer.chain(plain).collect();
    keys.dedup();
    match keys.len() {
        0 => Err(Refusal::not_run(Code::KeyMissing)),
        1 => Ok(keys.remove(0)),
        _ => Err(Refusal::not_run(Code::KeyConflict)),
    }
}

impl Caller {
    /// Charges the team and completes the admission.
    pub async fn admit(
        self,
        node: &Arc<Node>,
        class: Class,
        tokens: u64,
    ) -> Result<Admitted, Refusal> {
        let target = self.config.classes.get(&class).cloned();
        let target = target.ok_or(Refusal::not_run(Code::ClassUnknown))?;
        let deadline = self.arrived + target.deadline;
        let charge = match &self.team {
            Some(team) => node.charge(team, tokens, deadline).await?,
            None => Charge::free(),
        };
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
    pub fn work(&self, headers: &HeaderMap) -> Work {
        let now = Time::now();
        let team = self.caller.team.as_ref().map(Team::to_string);
        Work {
            request: self.caller.request.to_string(),
            team: team.unwrap_or_default(),
            class: self.class.to_string(),
            headers: forwarded(headers),
            left_ms: self.deadline().since(now).as_millis() as u64,
            waited_ms: now.since(self.caller.arrived).as_millis() as u64,
            ..Work::default()
        }
    }
}

/// Returns the headers that endpoints may see.
fn forwarded(headers: &HeaderMap) -> Vec<Header> {
    let listed = FORWARDED.iter().flat_map(|name| {
        headers.get_all(*name).iter().map(|value| Header {
            name: (*name).to_owned(),
            value: value.as_bytes().to_vec().into(),
        })
    });
    listed.collect()
}
