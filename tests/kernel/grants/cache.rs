//! The estimate of the prompt prefixes that an engine has cached, and its use.

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::grants::{EndpointEntry, GrantRequest, Incarnation, KvCache, ModelWork, Outcome},
};

use super::fleet::{LEADING, START, end_request, engine, granted, key, model_request, scheduler};

fn work(parts: &[(u64, u32)], output_tokens: u64) -> ModelWork {
    ModelWork {
        model: "m0".into(),
        adapter: None,
        parts: parts.to_vec(),
        prompt_tokens: parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum(),
        output_tokens,
    }
}

/// Records a run of a prompt from its grant to its end.
fn run(cache: &mut KvCache, work: &ModelWork, capacity: u64) {
    cache.begin_prefill(work);
    cache.limit(capacity);
    cache.finish_prefill(work);
    cache.end_run(work);
}

#[test]
fn cache_run_without_prefill_leaves_nothing() {
    let (mut cache, work) = (KvCache::default(), work(&[(1, 500)], 50));
    cache.begin_prefill(&work);
    assert_eq!(cache.cached_tokens(&work), 500, "a later prefill finds the part");
    cache.drop_prefill(&work);
    cache.end_run(&work);
    assert_eq!(cache.cached_tokens(&work), 0);
    assert!(cache.is_empty());
}

#[test]
fn cache_part_that_two_runs_prefill_outlives_one() {
    let (mut cache, work) = (KvCache::default(), work(&[(1, 500)], 50));
    cache.begin_prefill(&work);
    cache.begin_prefill(&work);
    cache.drop_prefill(&work);
    assert_eq!(cache.cached_tokens(&work), 500);
    cache.finish_prefill(&work);
    assert_eq!((cache.cached_tokens(&work), cache.len()), (500, 500), "the part is counted once");
}

#[test]
fn cache_evicts_least_recently_used_first() {
    let (mut cache, capacity) = (KvCache::default(), 1_000);
    let works = [1, 2, 3].map(|id| work(&[(id, 400)], 0));
    run(&mut cache, &works[0], capacity);
    run(&mut cache, &works[1], capacity);
    run(&mut cache, &works[0], capacity);
    run(&mut cache, &works[2], capacity);
    cache.limit(capacity);
    let cached = works.each_ref().map(|work| cache.cached_tokens(work));
    assert_eq!(cached, [400, 0, 400]);
}

#[test]
fn cache_yields_to_running_requests() {
    let (mut cache, capacity) = (KvCache::default(), 1_000);
    let shared = work(&[(1, 400)], 0);
    run(&mut cache, &shared, capacity);
    let large = work(&[], 0);
    let large = ModelWork { prompt_tokens: 700, ..large };
    cache.begin_prefill(&large);
    cache.limit(capacity);
    assert_eq!(cache.cached_tokens(&shared), 0, "400 and 700 tokens don't fit");
}

#[test]
fn cache_parts_of_other_adapter_not_reused() {
    let (mut cache, work) = (KvCache::default(), work(&[(1, 500)], 50));
    run(&mut cache, &work, 10_000);
    let other = ModelWork { adapter: Some(Arc::from("a1")), ..work };
    assert_eq!(cache.cached_tokens(&other), 0);
}

fn request(parts: &[(u64, u32)], now: Time) -> GrantRequest {
    GrantRequest { work: Some(work(parts, 20)), ..model_request("m0", 1, now) }
}

#[test]
fn shared_prompts_gather_where_the_wait_is_shorter_than_the_prefill() {
    // Requests of eight long prompts arrive in turns. Without the prefix cache each engine would prefill
    // each of them.
    let engines = ["e1", "e2", "e3", "e4"].map(|id| engine(id, &["m0"]));
    let mut scheduler = scheduler(LEADING, engines.to_vec());
    let (mut moved, mut places) = (0, std::collections::HashMap::new());
    for number in 0..400u64 {
        let now = START + Duration::from_millis(30) * number as u32;
        if number > 0 {
            scheduler.record_first_event(&key(number - 1), now);
            end_request(&mut scheduler, number - 1, Outcome::Whole, now);
        }
        let prompt = number * 7 % 8;
        let actions = scheduler.handle_request(key(number), request(&[(prompt, 6_000)], now), now);
        let endpoint = granted(&actions).expect("the request is granted").endpoint.clone();
        let old = places.insert(prompt, endpoint.clone());
        moved += usize::from(old.is_some_and(|old| old != endpoint));
    }
    assert!(moved <= 4, "{moved} of 400 requests were sent away from their prompt");
}

#[test]
fn shared_prompt_of_restarted_engine_not_expected() {
    let entry = |incarnation| EndpointEntry {
        incarnation: Incarnation(incarnation),
        ..engine("e1", &["m0"])
    };
    let mut scheduler = scheduler(LEADING, vec![entry(1), engine("e2", &["m0"])]);
    for number in 0..2 {
        scheduler.handle_request(key(number), request(&[(number, 9_000)], START), START);
    }
    for number in 0..2 {
        let prefilled = START + Duration::from_millis(250);
        scheduler.record_first_event(&key(number), prefilled);
        end_request(&mut scheduler, number, Outcome::Whole, prefilled);
    }
    let later = START + Duration::from_secs(10);
    scheduler.set_endpoints(vec![entry(2), engine("e2", &["m0"])], later);
    // The prompt that is kept at the other engine goes there, although that engine has work already.
    let kept = (0..2).filter(|prompt| {
        let number = 10 + prompt;
        let actions =
            scheduler.handle_request(key(number), request(&[(*prompt, 9_000)], later), later);
        let endpoint = granted(&actions).expect("the request is granted").endpoint.clone();
        end_request(&mut scheduler, number, Outcome::Left, later);
        &*endpoint == "e2"
    });
    assert_eq!(kept.count(), 1);
}
