//! Which servers a decision looks at: all of a small fleet, of a large one those that a hash or chance names.

use super::*;

/// Fleets up to this size are looked at whole.
pub(super) const SMALL_FLEET: usize = 128;
/// Homes of a session, or of its shared text, that are candidates.
const HOMES: u64 = 8;
/// Warm and cold servers drawn from one zone, from all zones, and from the prefill server's cell.
const OF_ZONE: Draw = Draw { warm: 8, cold: 4 };
const OF_ALL: Draw = Draw { warm: 4, cold: 2 };
const OF_CELL: Draw = Draw { warm: 24, cold: 4 };
/// Where none of them is ready, so many others are looked at in turn, up to so many times for one look.
const WIDER: usize = 64;
const WIDER_STEPS: usize = 4;
/// Roles that answer.
pub(super) const ANSWERING: [Role; 2] = [Role::Decode, Role::Combined];

/// What servers are ranked by, the least first.
pub(super) type Rank<'a> = dyn Fn(&Server) -> Option<f64> + 'a;

impl Scheduler {
    pub(super) fn is_small(&self) -> bool {
        self.fleet.len() <= self.bound
    }

    /// The server with the least of a measure, of those that have one and may be sent this; ties go by lot.
    pub(super) fn least(
        &self,
        now: Nanos,
        sequence: &Sequence,
        of: &Candidates,
        by: &Rank,
    ) -> Option<ServerId> {
        let scope = self.scope(sequence);
        let open = self.fleet.among(of).filter(|s| self.allowed(now, s) && in_scope(scope, s));
        let least = open.filter_map(|s| Some((by(s)?, s)));
        let least = least.min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.lot.total_cmp(&y.lot)));
        least.map(|(_, server)| server.endpoint.server)
    }

    /// The least of the candidates. Where none of them is ready, others are looked at in turn until one is.
    pub(super) fn search(
        &self,
        now: Nanos,
        sequence: &Sequence,
        among: &Candidates,
        roles: &[Role],
        by: &Rank,
    ) -> Option<ServerId> {
        let ready = |id: &ServerId| self.ready(now, &self.fleet[*id]);
        let mut found = self.least(now, sequence, among, by);
        for _ in 0..WIDER_STEPS {
            if self.is_small() || found.as_ref().is_some_and(ready) {
                return found;
            }
            let mut slots = Vec::new();
            for role in roles {
                let pool = self.fleet.pool(*role, self.scope(sequence));
                self.sampler.borrow_mut().next(*role, pool, WIDER, &mut slots);
            }
            let further = self.least(now, sequence, &Candidates::These(slots), by);
            found = further.filter(ready).or(found).or(further);
        }
        found
    }

    /// The prefill servers of a session's homes, or of its text's: so many of the zones that this gateway turns to.
    pub(super) fn nominees(&self, session: u64, prefix: Option<PrefixId>, homes: f64) -> Vec<Slot> {
        let zones = &self.shares.zones;
        let homes = ((homes / zones.len().max(1) as f64).ceil() as u64).max(1);
        let key = |n: u64| match prefix {
            None => mix(session ^ mix(n)),
            Some(PrefixId(text)) if homes <= HOMES => mix(mix(text) ^ mix(n)),
            Some(PrefixId(text)) => mix(mix(text) ^ mix(bucket(mix(session ^ mix(n)), homes))),
        };
        let many = if prefix.is_some() { homes.min(HOMES) } else { HOMES };
        (0..many).filter_map(|n| self.fleet.home(key(n), zones)).collect()
    }

    /// The servers that answer of a cell, and some of its zone and of all.
    pub(super) fn decode_candidates(&self, sequence: &Sequence, home: Option<&Endpoint>) -> Candidates {
        if self.is_small() {
            return Candidates::All;
        }
        let mut slots = Vec::new();
        for role in ANSWERING {
            if let Some(home) = home {
                self.sampler.borrow_mut().sample(self.fleet.cell(home.cell, role), OF_CELL, &mut slots);
            }
            self.draw(sequence, role, home.map_or(self.deployment.zone, |home| home.zone), &mut slots);
        }
        Candidates::distinct(slots)
    }

    /// Some of a role: of the group that knows a sequence's repeats where it has one, else of a zone and of all.
    pub(super) fn draw(&self, sequence: &Sequence, role: Role, zone: ZoneId, slots: &mut Vec<Slot>) {
        let (mut sampler, scope) = (self.sampler.borrow_mut(), self.scope(sequence));
        if scope.is_none() {
            sampler.sample(self.fleet.pool(role, Some(Group::Zone(zone))), OF_ZONE, slots);
        }
        sampler.sample(self.fleet.pool(role, scope), OF_ALL, slots);
    }
}
