/**
 * After a crash of all replicas, a new leader does not know which entries of its log are committed until an entry of its
 * own term is; until then, its state is that of its last snapshot. Guards against sending this old state to daemons that
 * start at that moment: one of them granted keys under fence 19 although later fences, up to 89, had been issued.
 */
import test from 'ava';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';
import { SIM_TOKEN } from '../../lab/sim/sim-directory.js';
import { simRuntime } from '../../lab/sim/sim-runtime.js';
import { DirectoryClient } from '../../src/sidecar/directory-client.js';
import { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';

const CHANGES = 40;
const READY_MS = 5_000;
const CHANGE_EVERY_MS = 100;
const DOWN_MS = 400;
const FRESH_WATCHERS = 6;
const SEEDS = Array.from({ length: 12 }, (_, at) => at + 1);

/** Starts a daemon and records the index of the first table that it receives. */
function firstTable(world: DirectoryWorld, name: string): { index: number | null } {
  const { directory } = world;
  const process = directory.createProcess(name);
  process.start();
  const runtime = simRuntime(process, directory.network, () => directory.nextId());
  const table = new DirectoryTable();
  const first: { index: number | null } = { index: null };
  const identity = { role: 'sidecar', name, zone: 'zone', token: SIM_TOKEN } as const;
  new DirectoryClient(runtime, identity, directory.seeds, table, SILENT_EVENT_LOG, {
    onTable: () => {
      first.index ??= table.index;
    },
    onNotice: () => undefined,
    onConnected: () => undefined,
  });
  return first;
}

test('a daemon that starts right after an election never receives a table older than the acknowledged changes', async (t) => {
  for (const seed of SEEDS) {
    const world = new DirectoryWorld(seed);
    await world.start();
    await world.runUntil(READY_MS);
    for (let change = 0; change < CHANGES; change += 1) {
      world.queue.at(READY_MS + change * CHANGE_EVERY_MS, () => {
        world.change(`item-${change}`);
      });
    }
    const lossMs = READY_MS + CHANGES * CHANGE_EVERY_MS + 500;
    await world.runUntil(lossMs);
    t.is(world.acknowledged.size, CHANGES, `seed ${seed}: all changes are acknowledged before the crash`);
    const committed = Math.max(...world.replicas.map(({ node }) => node?.consensus?.core.commitIndex ?? 0));
    for (const replica of world.replicas) world.injectFault('crash', replica, DOWN_MS);
    const firsts = Array.from({ length: FRESH_WATCHERS }, (_, at) => firstTable(world, `fresh-${at}`));
    await world.runUntil(lossMs + 6_000);
    for (const { index } of firsts) {
      t.true(
        (index ?? 0) >= committed,
        `seed ${seed}: the first table has index ${index}, committed was ${committed}`,
      );
    }
  }
});
