/** Guards against a long change of the configuration that costs its leader the leadership and is never acknowledged. */
import test from 'ava';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';
import { SimOperator } from '../../lab/sim/sim-operator.js';

const SEEDS = [1, 2, 3];
const SIZE = {
  replicas: 11,
  seeds: 3,
  toleratedLosses: 2,
  snapshotEveryEntries: 2_048,
  workMsPerKilobyte: 0.8,
};
const READY_MS = 6_000;
const ROUTES = 1_400;

/** Bound in ms of an acknowledgement without faults, and addition for each route of the change. */
const ACKNOWLEDGEMENT_BOUND_MS = 4_000;
const ACKNOWLEDGEMENT_BOUND_PER_ROUTE_MS = 3;

/** Share of the acknowledgements that do not reach the operator. */
const LOST_SHARE = 0.6;

const OK = 200;

async function startWorld(seed: number): Promise<{ world: DirectoryWorld; operator: SimOperator }> {
  const world = new DirectoryWorld(seed, SIZE);
  await world.start();
  await world.runUntil(READY_MS);
  const directory = { queue: world.queue, random: world.random, replicas: world.replicas };
  const operator = new SimOperator({ ...directory, acknowledgementLossProbability: LOST_SHARE });
  return { world, operator };
}

function makeChange(base: number, version: number, routes: number): Parameters<SimOperator['send']>[0] {
  const table = Object.fromEntries(
    Array.from({ length: routes }, (_, at) => [`route-${version}-${at}`, route(at)]),
  );
  const service = { health_path: '/health', max_connections: 380, protocol: 'h1', tls: false };
  const body = JSON.stringify({ version, upsert: { routes: table, services: { ledger: service } } });
  return { method: 'PATCH', path: '/config', headers: { 'if-match': String(base) }, body };
}

function route(at: number): object {
  return {
    host: `shop-${at % 7}.example`,
    path_prefix: `/ledger/${at}/`,
    route_type: 'safe',
    timeout_s: 1.5,
    target_latency_s: 0.635,
    priority: 2,
    service: 'ledger',
    max_attempts: 2,
  };
}

function termOf(world: DirectoryWorld): number | undefined {
  return world.leader()?.consensus?.core.term;
}

test('a long change is acknowledged although acknowledgements are lost, and causes no election', async (t) => {
  for (const seed of SEEDS) {
    const { world, operator } = await startWorld(seed);
    const first = operator.send(makeChange(0, 1, 1));
    await world.runUntil(READY_MS + ACKNOWLEDGEMENT_BOUND_MS);
    t.is(first.status ?? OK, OK, `seed ${seed}: the first change`);
    const termBefore = termOf(world);
    const long = operator.send(makeChange(1, 2, ROUTES));
    const boundMs = ACKNOWLEDGEMENT_BOUND_MS + ROUTES * ACKNOWLEDGEMENT_BOUND_PER_ROUTE_MS;
    await world.runUntil(long.sentMs + boundMs);
    t.not(
      long.acknowledgedMs,
      null,
      `seed ${seed}: no acknowledgement after ${boundMs} ms and ${long.attempts} tries`,
    );
    t.is(termOf(world), termBefore, `seed ${seed}: another leader was elected`);
  }
});

test('a short change behind a long one is acknowledged within the bound of a short one', async (t) => {
  for (const seed of SEEDS) {
    const { world, operator } = await startWorld(seed);
    operator.send(makeChange(0, 1, 1));
    await world.runUntil(READY_MS + ACKNOWLEDGEMENT_BOUND_MS);
    const long = operator.send(makeChange(1, 2, ROUTES));
    while (long.acknowledgedMs === null && world.queue.nowMs < long.sentMs + ACKNOWLEDGEMENT_BOUND_MS * 4) {
      await world.runUntil(world.queue.nowMs + 50);
    }
    t.not(long.acknowledgedMs, null, `seed ${seed}: no acknowledgement of the long change`);
    const short = operator.send(makeChange(2, 3, 1));
    await world.runUntil(short.sentMs + ACKNOWLEDGEMENT_BOUND_MS);
    t.not(
      short.acknowledgedMs,
      null,
      `seed ${seed}: no acknowledgement after ${ACKNOWLEDGEMENT_BOUND_MS} ms`,
    );
  }
});
