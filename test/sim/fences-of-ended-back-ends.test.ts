/**
 * The keys of a back end that has ended are to move. Its daemon raised their fence every 100 ms, each time by an entry of the
 * log, since a call that nobody listened to counted as one that may still be taken.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { incarnationName } from '../../src/model/backend-life.js';
import type { EventLog } from '../../src/telemetry/event-log.js';

const SPEC: FleetSpec = {
  services: [{ name: 'keyed', keyed: true, backends: 4, grantMode: 'invoke' }],
  traffic: [],
  backAfterMs: 20_000,
  slots: 6,
  endsByItselfEveryMs: null,
};

const CALM_MS = 1_000;

/** Time in which what was granted is renewed, and in which its daemon does not yet take a silent back end for gone, in ms. */
const RENEWED_MS = 2_000;
const MOVING_MS = 3_000;

/** Fences that may be raised for one range: the calls before its end, and one more. */
const MOST_RAISED = 2;

class RaisedFences implements EventLog {
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

test('calls to an address where nobody listens raise no fence again and again', async (t) => {
  for (const seed of [1, 2, 3]) {
    const raised = new RaisedFences();
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
    await world.runUntil(world.queue.nowMs + RENEWED_MS);
    world.beginMove('keyed', range.from, range.to, incarnationName(other.backend));
    await world.runUntil(world.queue.nowMs + MOVING_MS);
    t.true(raised.count <= MOST_RAISED, `seed ${seed}: ${raised.count} raised`);
  }
});
