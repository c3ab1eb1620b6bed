/**
 * Operators that race for each version while leaders are cut off, suspended and killed: what was answered as refused is never in the
 * configuration, what was acknowledged is, and each version has one successor.
 */
import test from 'ava';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';
import type { DirectoryFault } from '../../lab/sim/sim-directory.js';
import { SimOperator, type SentCall } from '../../lab/sim/sim-operator.js';
import { Random } from '../../lab/random.js';
import type { Call } from '../../platform/json-server.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const READY_MS = 4_000;
const FAULTS_UNTIL_MS = 34_000;
const END_MS = 48_000;
const CHANGE_INTERVAL_MS = 60;
const FAULT_INTERVAL_MS = 3_000;
const FAULTS: readonly DirectoryFault[] = ['cut', 'mute', 'freeze', 'suspend', 'crash'];
const STATUS = { ok: 200, invalid: 400, conflict: 412 };

interface SentChange {
  readonly version: number;
  readonly sent: SentCall;
}

/** Draws a PUT: most build on the newest version, others on an older or a later one; some name an unknown service. */
function drawPut(random: Random, revision: number, version: number): Call {
  const base = Math.max(0, revision - random.pick([0, 0, 0, 0, 1, 5, -1]));
  const destination = random.below(6) === 0 ? 'unknown' : 's';
  const route = {
    host: 'h.example',
    path_prefix: '/p/',
    route_type: 'safe',
    timeout_s: 1,
    service: destination,
  };
  const body = JSON.stringify({ version, routes: { r: route }, services: { s: { cold_start_s: version } } });
  return { method: 'PUT', path: '/config', headers: { 'if-match': String(base) }, body };
}

/** Runs racing operators under faults; returns what they sent and the versions accepted in the end. */
async function race(seed: number): Promise<{ changes: SentChange[]; accepted: Set<number> }> {
  const world = new DirectoryWorld(seed);
  const random = new Random(seed);
  await world.start();
  await world.runUntil(READY_MS);
  const { queue } = world;
  const operated = { queue, random, replicas: world.replicas, acknowledgementLossProbability: 0.2 };
  const operator = new SimOperator(operated);
  const changes: SentChange[] = [];
  let version = 0;
  for (let atMs = READY_MS; atMs < FAULTS_UNTIL_MS; atMs += CHANGE_INTERVAL_MS) {
    queue.at(atMs, () => {
      const revision = Math.max(0, ...world.replicas.map(({ node }) => node?.state.revision ?? 0));
      version += 1;
      const call = drawPut(random, revision, version);
      changes.push({ version, sent: operator.send(call) });
      if (random.below(3) === 0) operator.send(call);
    });
  }
  for (let atMs = READY_MS + 500; atMs < FAULTS_UNTIL_MS; atMs += FAULT_INTERVAL_MS) {
    queue.at(atMs, () => {
      const leader = world.directory.leaderReplica();
      const replica = leader !== null && random.below(3) > 0 ? leader : random.pick(world.replicas);
      world.injectFault(random.pick(FAULTS), replica, 500 + random.below(FAULT_INTERVAL_MS - 1_000));
    });
  }
  await world.runUntil(END_MS);
  const state = world.leader()?.state;
  return { changes, accepted: new Set(state?.accepted.map((known) => known.version) ?? []) };
}

for (const seed of SEEDS) {
  test(`answers to racing operators agree with the configuration under faults, seed ${seed}`, async (t) => {
    const { changes, accepted } = await race(seed);
    const counts = new Map<number | null, number>();
    for (const { version, sent } of changes) {
      counts.set(sent.status, (counts.get(sent.status) ?? 0) + 1);
      const isRefused = sent.status === STATUS.conflict || sent.status === STATUS.invalid;
      if (isRefused) t.false(accepted.has(version), `version ${version} was refused`);
      if (sent.acknowledgedMs !== null) t.true(accepted.has(version), `version ${version} was acknowledged`);
    }
    for (const status of Object.values(STATUS)) t.true((counts.get(status) ?? 0) > 10, `status ${status}`);
    t.is(counts.get(null) ?? 0, 0, 'every change is answered');
  });
}
