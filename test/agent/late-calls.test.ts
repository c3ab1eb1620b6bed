/**
 * Guards against late grants. A call that grants shards got no answer, so the agent left its session and took over the
 * back end again. The call was executed after that, and the back end held shards under an epoch that had been granted to
 * another back end.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { EventQueue } from '../../lab/sim/event-queue.js';
import { makeGrantTable, SimBackend } from '../../lab/sim/sim-backend.js';
import { SimProcess } from '../../lab/sim/sim-process.js';

const CALL_DELAY_MS = 3_000;
const DEADLINE_MS = 60_000;
const CLOCK = { startMs: 0, rate: 1, wallOffsetMs: 0 };

function grantOf(
  shard: number,
  epoch: number,
): { shard: number; epoch: number; freshAfterMs: number; window: [] } {
  return { shard, epoch, freshAfterMs: 0, window: [] };
}

test('a grant of a session that was left is refused when it is executed late', async (t) => {
  const queue = new EventQueue();
  const machine = new SimProcess('back-end', queue, CLOCK);
  const agent = machine.onSameMachine('agent');
  const backend = new SimBackend(
    'back-end',
    'service',
    machine,
    new Random(1),
    makeGrantTable,
    () => undefined,
  );
  backend.start();
  agent.start();
  const port = backend.portFor(agent, 'agent-1');
  const runUntil = async (untilMs: number): Promise<void> => {
    while (queue.runNext(untilMs)) await new Promise((resolve) => setImmediate(resolve));
  };
  const firstHolder = port.takeHolder();
  await runUntil(100);
  t.true((await firstHolder).ok);
  backend.heldUpMs = CALL_DELAY_MS;
  const late = port.addGrants(DEADLINE_MS, [grantOf(7, 3)]);
  backend.heldUpMs = 0;
  await runUntil(1_000);
  t.true((await late).err, 'the call got no answer');
  const secondHolder = port.takeHolder();
  await runUntil(1_100);
  t.true((await secondHolder).ok);
  const granted = port.addGrants(DEADLINE_MS, [grantOf(9, 5)]);
  await runUntil(CALL_DELAY_MS * 2);
  t.true((await granted).ok);
  t.deepEqual(backend.grants.servableShards(), [9]);
});
