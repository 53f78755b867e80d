//! The fleet index against a recomputation from the list, after random courses of changes.

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
const SLOW_START: Nanos = 5_000 * MS;

/// What a list says, kept in the plainest way.
#[derive(Default)]
struct Model {
    servers: BTreeMap<ServerId, Endpoint>,
}

impl Model {
    fn listed(&mut self, scope: SnapshotKind, entries: &[Endpoint]) {
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
        holds: impl Fn(&Endpoint) -> bool,
    ) -> BTreeSet<ServerId> {
        let ready = self.servers.values().filter(|l| l.state == EndpointState::Ready);
        let ready = ready.filter(|l| kinds[l.kind.0].role == role && holds(l));
        ready.map(|l| l.server).collect()
    }
}

fn ids(fleet: &Fleet, members: &Members) -> BTreeSet<ServerId> {
    let slots = members.warm.iter().chain(&members.slow_start);
    let found: Vec<ServerId> = slots.map(|slot| fleet.at(*slot).endpoint.server).collect();
    let distinct: BTreeSet<ServerId> = found.iter().copied().collect();
    assert_eq!(distinct.len(), found.len(), "each server once");
    distinct
}

fn start(now: Nanos, entry: &Endpoint) -> Server {
    let cold_until = if entry.started_at > 0 { entry.started_at + SLOW_START } else { 0 };
    Server::new(now, entry.clone(), cold_until, 0.5, MS)
}

fn random_entry(chance: &mut Rand64, now: Nanos) -> Endpoint {
    let server = chance.rand_range(0..60);
    let condition = match chance.rand_range(0..6) {
        0 => EndpointState::Gone,
        1 => EndpointState::Draining,
        _ => EndpointState::Ready,
    };
    // Its cell, zone, kind and weight may change too, and its start go back.
    let since = if chance.rand_float() < 0.3 { now - chance.rand_range(0..2) * MS } else { 0 };
    let weight = 0.5 + chance.rand_float();
    let zone = ZoneId(chance.rand_range(0..3) as usize);
    let kind = chance.rand_range(0..3) as usize;
    Endpoint {
        started_at: since,
        state: condition,
        weight,
        zone,
        ..entry(server, kind, chance.rand_range(0..8) as i64)
    }
}

fn agrees(fleet: &Fleet, model: &Model, kinds: &[ServerKind], now: Nanos) {
    assert_eq!(fleet.len(), model.servers.len());
    let index = fleet.index();
    for role in [Role::Prefill, Role::Decode, Role::Combined] {
        assert_eq!(ids(fleet, fleet.pool(role, None)), model.ready(kinds, role, |_| true));
        for zone in (0..4).map(ZoneId) {
            let members = fleet.pool(role, Some(ServerScope::Zone(zone)));
            assert_eq!(ids(fleet, members), model.ready(kinds, role, |l| l.zone == zone));
        }
        for cell in (-1..9).map(CellId) {
            let members = fleet.pool(role, Some(ServerScope::Cell(cell)));
            assert_eq!(ids(fleet, members), model.ready(kinds, role, |l| l.cell == cell));
        }
        let members = fleet.pool(role, None);
        assert!(members.warm.iter().all(|slot| now >= fleet.at(*slot).slow_start_until), "warm is warm");
        assert!(members.slow_start.iter().all(|slot| now < fleet.at(*slot).slow_start_until), "cold is cold");
    }
    for prefill in [true, false] {
        let there = model.servers.values().filter(|l| l.state != EndpointState::Gone);
        let pool = there.filter(|l| (kinds[l.kind.0].role == Role::Prefill) == prefill);
        let weight: f64 = pool.map(|l| l.weight).sum();
        assert_eq!(index.pool_weight(prefill), weight, "the same sum, in the same order");
    }
    let prefill = model.servers.values().filter(|l| kinds[l.kind.0].role == Role::Prefill).count();
    assert_eq!(index.prefill_servers(), prefill);
    for zone in (0..3).map(ZoneId) {
        let ready = model.ready(kinds, Role::Prefill, |l| l.zone == zone);
        let homes: BTreeSet<ServerId> = (0..2_000u64)
            .filter_map(|key| index.ring(zone)?.server(mix_bits(key)))
            .map(|slot| fleet.at(slot).endpoint.server)
            .collect();
        assert_eq!(homes, ready, "every ready prefill server of a zone is a home, and no other");
    }
}

#[test]
fn the_index_is_what_the_list_says_after_any_course_of_changes() {
    let kinds = deployment().kinds;
    for seed in 0..40 {
        let mut chance = Rand64::new(seed);
        let mut fleet = Fleet::new(kinds.clone(), Weights::Size, RING_POINTS);
        let (mut model, mut now) = (Model::default(), START);
        for _ in 0..60 {
            now += chance.rand_range(0..1_500) * MS;
            let many = chance.rand_range(0..12) as usize;
            let entries: Vec<Endpoint> = (0..many).map(|_| random_entry(&mut chance, now)).collect();
            let scope = if chance.rand_float() < 0.2 { SnapshotKind::Full } else { SnapshotKind::Delta };
            fleet.update(scope, &entries, |entry| start(now, entry));
            model.listed(scope, &entries);
            // Some changes come together before anything is decided.
            if chance.rand_float() < 0.7 {
                fleet.refresh(now);
                agrees(&fleet, &model, &kinds, now);
            }
        }
    }
}

#[test]
fn servers_get_warm_in_the_index_without_a_change_of_the_list() {
    let mut fleet = Fleet::new(deployment().kinds, Weights::Unused, RING_POINTS);
    let cold = |n: u64| Endpoint { started_at: START + n * 1_000 * MS, ..entry(n, 0, 0) };
    let list: Vec<Endpoint> = (0..4).map(cold).collect();
    fleet.update(SnapshotKind::Full, &list, |entry| start(START, entry));
    for (seconds, warm) in [(1, 0), (5, 1), (6, 2), (7, 3), (60, 4)] {
        fleet.refresh(START + seconds * 1_000 * MS);
        assert_eq!(fleet.pool(Role::Prefill, None).warm.len(), warm, "after {seconds} s");
    }
}

#[test]
fn a_server_that_is_gone_with_an_attempt_out_is_kept_until_that_has_ended() {
    let mut fleet = Fleet::new(deployment().kinds, Weights::Unused, RING_POINTS);
    fleet.update(SnapshotKind::Full, &[entry(1, 0, 0)], |entry| start(START, entry));
    let out = InFlightAttempt {
        sequence: SequenceId(1),
        sent_at: START,
        load_tokens: 1.0,
        awaits_first_token: true,
    };
    fleet.get_mut(ServerId(1)).unwrap().in_flight.push(out);
    for _ in 0..3 {
        fleet.update(SnapshotKind::Full, &[entry(2, 0, 0)], |entry| start(START, entry));
        assert!(fleet.get(ServerId(1)).is_some());
    }
    fleet.get_mut(ServerId(1)).unwrap().in_flight.clear();
    fleet.update(SnapshotKind::Delta, &[entry(3, 0, 0)], |entry| start(START, entry));
    assert!(fleet.get(ServerId(1)).is_none() && fleet.len() == 2);
}

#[test]
fn a_walk_in_parts_comes_to_every_server_that_stays_once() {
    let mut chance = Rand64::new(3);
    let mut fleet = Fleet::new(deployment().kinds, Weights::Unused, RING_POINTS);
    let stays: Vec<Endpoint> = (0..500).map(|n| entry(2 * n, 0, 0)).collect();
    let mut comes_and_goes = |fleet: &mut Fleet| {
        let condition = if chance.rand_float() < 0.5 { EndpointState::Gone } else { EndpointState::Ready };
        let other = Endpoint { state: condition, ..entry(2 * chance.rand_range(0..500) + 1, 0, 0) };
        fleet.update(SnapshotKind::Delta, &[other], |entry| start(START, entry));
    };
    fleet.update(SnapshotKind::Full, &stays, |entry| start(START, entry));
    for part in [1, 7, 64, 499, 500, 1_000] {
        let (mut scan, mut seen) = (ServerScan::default(), Vec::new());
        while !scan.is_finished() {
            let before = fleet.examined();
            let next: Vec<ServerId> =
                scan.next_batch(&fleet, part).iter().map(|server| server.endpoint.server).collect();
            assert!(next.len() <= part && fleet.examined() - before == next.len() as u64);
            seen.extend(next.into_iter().filter(|server| server.0 % 2 == 0));
            comes_and_goes(&mut fleet);
        }
        let all: Vec<ServerId> = stays.iter().map(|endpoint| endpoint.server).collect();
        assert_eq!(seen, all, "parts of {part}");
    }
}

#[test]
fn turns_come_to_everybody_and_samples_are_bounded_and_repeat_with_their_seed() {
    let members = Members { warm: (0..150).collect(), slow_start: (150..200).collect() };
    let mut sampler = Sampler::new(1);
    let mut seen: BTreeSet<Slot> = BTreeSet::new();
    for _ in 0..4 {
        let mut slots = Vec::new();
        sampler.next_in_turn(Role::Prefill, &members, 64, &mut slots);
        assert_eq!(slots.len(), 64);
        seen.extend(slots);
        // Draws and turns of other roles in between change nothing.
        sampler.next_in_turn(Role::Decode, &members, 7, &mut Vec::new());
        sampler.sample(&members, SampleSize { warm: 3, slow_start: 3 }, &mut Vec::new());
    }
    assert_eq!(seen.len(), 200, "200 servers in four turns of 64");
    let drawn = |seed| {
        let (mut sampler, mut slots) = (Sampler::new(seed), Vec::new());
        (0..50).for_each(|_| sampler.sample(&members, SampleSize { warm: 8, slow_start: 4 }, &mut slots));
        slots
    };
    assert!(drawn(5) == drawn(5) && drawn(5) != drawn(6) && drawn(5).len() == 600);
    // Without warm ones the cold ones fill their places; of few all are taken.
    let cold = Members { warm: vec![], slow_start: (0..30).collect() };
    let mut slots = Vec::new();
    sampler.sample(&cold, SampleSize { warm: 8, slow_start: 4 }, &mut slots);
    assert_eq!(slots.len(), 12);
    let few = Members { warm: vec![1, 2], slow_start: vec![3] };
    slots.clear();
    sampler.sample(&few, SampleSize { warm: 8, slow_start: 4 }, &mut slots);
    assert_eq!(slots, [1, 2, 3]);
}

#[test]
fn one_server_more_or_less_moves_its_part_of_the_homes_and_one_bucket_more_its_part_of_the_keys() {
    let mut fleet = Fleet::new(deployment().kinds, Weights::Unused, RING_POINTS);
    let list: Vec<Endpoint> = (0..100).map(|n| entry(n * 7_919, 0, 0)).collect();
    let homes = |fleet: &mut Fleet, list: &[Endpoint]| -> Vec<ServerId> {
        fleet.update(SnapshotKind::Full, list, |entry| start(START, entry));
        fleet.refresh(START);
        let ring = fleet.index().ring(ZoneId(0)).unwrap();
        let home = |key: u64| ring.server(mix_bits(key)).unwrap();
        (0..10_000).map(|key| fleet.at(home(key)).endpoint.server).collect()
    };
    let all = homes(&mut fleet, &list);
    let less = homes(&mut fleet, &list[1..]);
    let moved = all.iter().zip(&less).filter(|(a, b)| a != b).count();
    let its = all.iter().filter(|server| **server == list[0].server).count();
    assert!(moved == its && its < 400, "{moved} of 10,000 keys moved, {its} were its");
    let moved = (0..10_000u64).map(mix_bits).filter(|key| jump_hash(*key, 9) != jump_hash(*key, 10));
    let moved: Vec<u64> = moved.collect();
    assert!(moved.iter().all(|key| jump_hash(*key, 10) == 9) && (800..1_200).contains(&moved.len()));
}

#[test]
fn a_bounded_table_never_holds_more_and_what_was_written_longest_ago_leaves() {
    let mut table = BoundedTable::new(100);
    for key in 0..1_000_000u64 {
        table.insert(key % 250, key);
        // One that is written again and again stays.
        *table.entry_or_insert_with(1_000, || 0) += 1;
        assert!(table.len() <= 100);
    }
    assert_eq!(table.get(&1_000), Some(&1_000_000));
    assert!(table.get(&(999_999 % 250)).is_some() && table.get(&(999_900 % 250)).is_none());
    let values: Vec<u64> = table.values().copied().collect();
    assert!(values.len() == 100 && values.windows(2).take(98).all(|pair| pair[0] < pair[1]), "oldest first");
}

#[test]
fn the_middle_is_that_of_the_sorted_values() {
    let mut chance = Rand64::new(9);
    assert_eq!(medians(&mut []), None);
    for count in 1..60 {
        let mut values: Vec<f64> = (0..count).map(|_| (chance.rand_float() * 20.0).floor()).collect();
        let mut sorted = values.clone();
        sorted.sort_by(f64::total_cmp);
        assert_eq!(
            medians(&mut values),
            Some(Medians { lower: sorted[(count - 1) / 2], upper: sorted[count / 2] })
        );
    }
}
