//! Tests of the fleet index, which is compared with a recomputation from the endpoint list after random changes, and
//! tests of the parts that the index is made of.

mod common;

use common::*;
use oorandom::Rand64;
use petrelshore::bounded::BoundedTable;
use petrelshore::fleet::{
    Fleet, InFlightAttempt, Medians, Members, SampleSize, Sampler, Server, ServerScan, ServerScope, Slot,
};
use petrelshore::fleet::{jump_hash, medians, mix_bits};
use petrelshore::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const RING_POINTS: usize = 8;
const SLOW_START: Nanos = 5_000 * MILLISECOND;

/// A reference model: the endpoint list without an index.
#[derive(Default)]
struct Model {
    servers: BTreeMap<ServerId, Endpoint>,
}

impl Model {
    fn update(&mut self, scope: SnapshotKind, entries: &[Endpoint]) {
        self.servers.retain(|_, endpoint| endpoint.state != EndpointState::Gone);
        if scope != SnapshotKind::Delta {
            self.servers.values_mut().for_each(|endpoint| endpoint.state = EndpointState::Gone);
        }
        for entry in entries {
            self.servers.insert(entry.server, entry.clone());
        }
    }

    fn ready(
        &self,
        kinds: &[ServerKind],
        role: Role,
        is_wanted: impl Fn(&Endpoint) -> bool,
    ) -> BTreeSet<ServerId> {
        let ready = self.servers.values().filter(|e| e.state == EndpointState::Ready);
        let ready = ready.filter(|e| kinds[e.kind.0].role == role && is_wanted(e));
        ready.map(|e| e.server).collect()
    }
}

fn ids(fleet: &Fleet, members: &Members) -> BTreeSet<ServerId> {
    let slots = members.warm.iter().chain(&members.slow_start);
    let found: Vec<ServerId> = slots.map(|slot| fleet.at(*slot).endpoint.server).collect();
    let distinct: BTreeSet<ServerId> = found.iter().copied().collect();
    assert_eq!(distinct.len(), found.len(), "each server must be listed once");
    distinct
}

fn new_server(now: Nanos, entry: &Endpoint) -> Server {
    let slow_start_until = if entry.started_at > 0 { entry.started_at + SLOW_START } else { 0 };
    Server::new(now, entry.clone(), slow_start_until, 0.5, MILLISECOND)
}

fn random_entry(random: &mut Rand64, now: Nanos) -> Endpoint {
    let server = random.rand_range(0..60);
    let state = match random.rand_range(0..6) {
        0 => EndpointState::Gone,
        1 => EndpointState::Draining,
        _ => EndpointState::Ready,
    };
    // The cell, zone, kind and weight of a server may change too, and its start time may go back.
    let started_at = if random.rand_float() < 0.3 { now - random.rand_range(0..2) * MILLISECOND } else { 0 };
    let weight = 0.5 + random.rand_float();
    let zone = ZoneId(random.rand_range(0..3) as usize);
    let kind = random.rand_range(0..3) as usize;
    Endpoint {
        started_at,
        state,
        weight,
        zone,
        ..ready_endpoint(server, kind, random.rand_range(0..8) as i64)
    }
}

/// Asserts that the index matches the model.
fn assert_matches_model(fleet: &Fleet, model: &Model, kinds: &[ServerKind], now: Nanos) {
    assert_eq!(fleet.len(), model.servers.len());
    let index = fleet.index();
    for role in [Role::Prefill, Role::Decode, Role::Combined] {
        assert_eq!(ids(fleet, fleet.pool(role, None)), model.ready(kinds, role, |_| true));
        for zone in (0..4).map(ZoneId) {
            let members = fleet.pool(role, Some(ServerScope::Zone(zone)));
            assert_eq!(ids(fleet, members), model.ready(kinds, role, |e| e.zone == zone));
        }
        for cell in (-1..9).map(CellId) {
            let members = fleet.pool(role, Some(ServerScope::Cell(cell)));
            assert_eq!(ids(fleet, members), model.ready(kinds, role, |e| e.cell == cell));
        }
        let members = fleet.pool(role, None);
        assert!(
            members.warm.iter().all(|slot| now >= fleet.at(*slot).slow_start_until),
            "a server in slow start must not be listed as warm"
        );
        assert!(
            members.slow_start.iter().all(|slot| now < fleet.at(*slot).slow_start_until),
            "a server past its slow start must not be listed as in slow start"
        );
    }
    for role in [Role::Prefill, Role::Decode, Role::Combined] {
        let listed = model.servers.values().filter(|e| e.state != EndpointState::Gone);
        let pool = listed.filter(|e| (kinds[e.kind.0].role == Role::Prefill) == (role == Role::Prefill));
        let weight: f64 = pool.map(|e| e.weight).sum();
        assert_eq!(index.pool_weight(role), weight, "the weights must be summed in the same order");
    }
    let prefill = model.servers.values().filter(|e| kinds[e.kind.0].role == Role::Prefill).count();
    assert_eq!(index.prefill_servers(), prefill);
    for zone in (0..3).map(ZoneId) {
        let ready = model.ready(kinds, Role::Prefill, |e| e.zone == zone);
        let replicas: BTreeSet<ServerId> = (0..2_000u64)
            .filter_map(|key| index.ring(zone)?.server(mix_bits(key)))
            .map(|slot| fleet.at(slot).endpoint.server)
            .collect();
        assert_eq!(
            replicas, ready,
            "every ready prefill server of a zone must own keys, and no other server"
        );
    }
}

#[test]
fn index_matches_endpoint_list_after_random_changes() {
    let kinds = deployment().kinds;
    for seed in 0..40 {
        let mut random = Rand64::new(seed);
        let mut fleet = Fleet::new(kinds.clone(), Weights::Size, RING_POINTS);
        let (mut model, mut now) = (Model::default(), START);
        for _ in 0..60 {
            now += random.rand_range(0..1_500) * MILLISECOND;
            let count = random.rand_range(0..12) as usize;
            let entries: Vec<Endpoint> = (0..count).map(|_| random_entry(&mut random, now)).collect();
            let scope = if random.rand_float() < 0.2 { SnapshotKind::Full } else { SnapshotKind::Delta };
            fleet.update(scope, &entries, |entry| new_server(now, entry));
            model.update(scope, &entries);
            // Several list changes may come before the next decision.
            if random.rand_float() < 0.7 {
                fleet.refresh(now);
                assert_matches_model(&fleet, &model, &kinds, now);
            }
        }
    }
}

#[test]
fn slow_start_ends_in_index_without_list_change() {
    let mut fleet = Fleet::new(deployment().kinds, Weights::Unused, RING_POINTS);
    let in_slow_start =
        |n: u64| Endpoint { started_at: START + n * 1_000 * MILLISECOND, ..ready_endpoint(n, 0, 0) };
    let list: Vec<Endpoint> = (0..4).map(in_slow_start).collect();
    fleet.update(SnapshotKind::Full, &list, |entry| new_server(START, entry));
    for (seconds, warm_count) in [(1, 0), (5, 1), (6, 2), (7, 3), (60, 4)] {
        fleet.refresh(START + seconds * 1_000 * MILLISECOND);
        assert_eq!(fleet.pool(Role::Prefill, None).warm.len(), warm_count, "after {seconds} s");
    }
}

#[test]
fn gone_server_is_kept_while_attempt_is_in_flight() {
    let mut fleet = Fleet::new(deployment().kinds, Weights::Unused, RING_POINTS);
    fleet.update(SnapshotKind::Full, &[ready_endpoint(1, 0, 0)], |entry| new_server(START, entry));
    let attempt = InFlightAttempt {
        sequence: SequenceId(1),
        sent_at: START,
        load_tokens: 1.0,
        awaits_first_token: true,
    };
    fleet.get_mut(ServerId(1)).unwrap().in_flight.push(attempt);
    for _ in 0..3 {
        fleet.update(SnapshotKind::Full, &[ready_endpoint(2, 0, 0)], |entry| new_server(START, entry));
        assert!(fleet.get(ServerId(1)).is_some());
    }
    fleet.get_mut(ServerId(1)).unwrap().in_flight.clear();
    fleet.update(SnapshotKind::Delta, &[ready_endpoint(3, 0, 0)], |entry| new_server(START, entry));
    assert!(fleet.get(ServerId(1)).is_none() && fleet.len() == 2);
}

#[test]
fn batched_scan_visits_each_lasting_server_once() {
    let mut random = Rand64::new(3);
    let mut fleet = Fleet::new(deployment().kinds, Weights::Unused, RING_POINTS);
    let lasting: Vec<Endpoint> = (0..500).map(|n| ready_endpoint(2 * n, 0, 0)).collect();
    let mut change_other_server = |fleet: &mut Fleet| {
        let state = if random.rand_float() < 0.5 { EndpointState::Gone } else { EndpointState::Ready };
        let other = Endpoint { state, ..ready_endpoint(2 * random.rand_range(0..500) + 1, 0, 0) };
        fleet.update(SnapshotKind::Delta, &[other], |entry| new_server(START, entry));
    };
    fleet.update(SnapshotKind::Full, &lasting, |entry| new_server(START, entry));
    for batch_size in [1, 7, 64, 499, 500, 1_000] {
        let (mut scan, mut seen) = (ServerScan::default(), Vec::new());
        while !scan.is_finished() {
            let before = fleet.examined();
            let next: Vec<ServerId> =
                scan.next_batch(&fleet, batch_size).iter().map(|server| server.endpoint.server).collect();
            assert!(next.len() <= batch_size && fleet.examined() - before == next.len() as u64);
            seen.extend(next.into_iter().filter(|server| server.0 % 2 == 0));
            change_other_server(&mut fleet);
        }
        let all: Vec<ServerId> = lasting.iter().map(|endpoint| endpoint.server).collect();
        assert_eq!(seen, all, "in batches of {batch_size}");
    }
}

#[test]
fn sampler_turns_reach_all_and_samples_repeat_by_seed() {
    let members = Members { warm: (0..150).collect(), slow_start: (150..200).collect() };
    let mut sampler = Sampler::new(1);
    let mut seen: BTreeSet<Slot> = BTreeSet::new();
    for _ in 0..4 {
        let mut slots = Vec::new();
        sampler.next_in_turn(Role::Prefill, &members, 64, &mut slots);
        assert_eq!(slots.len(), 64);
        seen.extend(slots);
        // Samples, and turns of another role, don't affect the turns of this role.
        sampler.next_in_turn(Role::Decode, &members, 7, &mut Vec::new());
        sampler.sample(&members, SampleSize { warm: 3, slow_start: 3 }, &mut Vec::new());
    }
    assert_eq!(seen.len(), 200, "four turns of 64 must reach all 200 servers");
    let sampled = |seed| {
        let (mut sampler, mut slots) = (Sampler::new(seed), Vec::new());
        (0..50).for_each(|_| sampler.sample(&members, SampleSize { warm: 8, slow_start: 4 }, &mut slots));
        slots
    };
    assert!(sampled(5) == sampled(5) && sampled(5) != sampled(6) && sampled(5).len() == 600);
    // Without warm servers, servers in slow start take their places. If there are fewer servers than places, all are
    // taken.
    let no_warm = Members { warm: vec![], slow_start: (0..30).collect() };
    let mut slots = Vec::new();
    sampler.sample(&no_warm, SampleSize { warm: 8, slow_start: 4 }, &mut slots);
    assert_eq!(slots.len(), 12);
    let few = Members { warm: vec![1, 2], slow_start: vec![3] };
    slots.clear();
    sampler.sample(&few, SampleSize { warm: 8, slow_start: 4 }, &mut slots);
    assert_eq!(slots, [1, 2, 3]);
}

#[test]
fn consistent_hashing_moves_only_the_changed_part() {
    let mut fleet = Fleet::new(deployment().kinds, Weights::Unused, RING_POINTS);
    let list: Vec<Endpoint> = (0..100).map(|n| ready_endpoint(n * 7_919, 0, 0)).collect();
    let replicas = |fleet: &mut Fleet, list: &[Endpoint]| -> Vec<ServerId> {
        fleet.update(SnapshotKind::Full, list, |entry| new_server(START, entry));
        fleet.refresh(START);
        let ring = fleet.index().ring(ZoneId(0)).unwrap();
        let replica = |key: u64| ring.server(mix_bits(key)).unwrap();
        (0..10_000).map(|key| fleet.at(replica(key)).endpoint.server).collect()
    };
    let all = replicas(&mut fleet, &list);
    let without_first = replicas(&mut fleet, &list[1..]);
    let moved = all.iter().zip(&without_first).filter(|(a, b)| a != b).count();
    let owned = all.iter().filter(|server| **server == list[0].server).count();
    assert!(moved == owned && owned < 400, "{moved} of 10,000 keys moved, the removed server owned {owned}");
    let moved = (0..10_000u64).map(mix_bits).filter(|key| jump_hash(*key, 9) != jump_hash(*key, 10));
    let moved: Vec<u64> = moved.collect();
    assert!(moved.iter().all(|key| jump_hash(*key, 10) == 9) && (800..1_200).contains(&moved.len()));
}

#[test]
fn bounded_table_evicts_oldest_write() {
    let mut table = BoundedTable::new(100);
    for key in 0..1_000_000u64 {
        table.insert(key % 250, key);
        // An entry that is written repeatedly is not evicted.
        *table.entry_or_insert_with(1_000, || 0) += 1;
        assert!(table.len() <= 100);
    }
    assert_eq!(table.get(&1_000), Some(&1_000_000));
    assert!(table.get(&(999_999 % 250)).is_some() && table.get(&(999_900 % 250)).is_none());
    let values: Vec<u64> = table.values().copied().collect();
    assert!(
        values.len() == 100 && values.windows(2).take(98).all(|pair| pair[0] < pair[1]),
        "values must be in write order"
    );
}

#[test]
fn medians_match_sorted_values() {
    let mut random = Rand64::new(9);
    assert_eq!(medians(&mut []), None);
    for count in 1..60 {
        let mut values: Vec<f64> = (0..count).map(|_| (random.rand_float() * 20.0).floor()).collect();
        let mut sorted = values.clone();
        sorted.sort_by(f64::total_cmp);
        assert_eq!(
            medians(&mut values),
            Some(Medians { lower: sorted[(count - 1) / 2], upper: sorted[count / 2] })
        );
    }
}
