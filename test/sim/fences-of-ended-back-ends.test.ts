/**
 * Guards against repeated fences while keys move away from an ended back end: a call that was refused for lack of a listener
 * counted as one that may still take effect, so the daemon raised the fence every 100 ms, each time by a log entry.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { incarnationName } from '../../src/model/backend-incarnation.js';
import type { EventLog } from '../../src/telemetry/event-log.js';

const SPEC: FleetSpec = {
  services: [{ name: 'keyed', keyed: true, backends: 4, grantMode: 'invoke' }],
  traffic: [],
  restartDelayMs: 20_000,
  slots: 6,
  spontaneousEndIntervalMs: null,
};

const CALM_MS = 1_000;

/** Time in ms in which grants are renewed and the daemon does not yet consider its silent back end ended. */
const RENEWAL_MS = 2_000;
const MOVING_MS = 3_000;

/** Fences that may be raised for one range: for the calls before the end, and one more. */
const MAX_RAISED = 2;

class RaisedFenceCounter implements EventLog {
  count = 0;

  event(name: string): void {
    if (name === 'fence-raised') this.count += 1;
  }

  failure(): void {
    // No requests come.
  }

  routine(): void {
    // No requests come.
  }
}

test('calls to an address without a listener do not raise fences repeatedly', async (t) => {
  for (const seed of [1, 2, 3]) {
    const raised = new RaisedFenceCounter();
    const world = new FleetWorld(seed, SPEC, raised);
    await world.start();
    await world.runUntil(FLEET_READY_MS + CALM_MS);
    const [machine, other] = world.machines;
    if (machine?.backend == null || other?.backend == null) throw new Error('invariant broken: no back ends');
    const owner = incarnationName(machine.backend);
    const range = world.directory
      .leader()
      ?.state.ranges.get('keyed')
      ?.find((known) => known.owner === owner);
    if (range === undefined) throw new Error('invariant broken: it owns nothing');
    machine.endBackend();
    await world.runUntil(world.queue.nowMs + RENEWAL_MS);
    world.beginMove('keyed', range.from, range.to, incarnationName(other.backend));
    await world.runUntil(world.queue.nowMs + MOVING_MS);
    t.true(raised.count <= MAX_RAISED, `seed ${seed}: ${raised.count} raised`);
  }
});
