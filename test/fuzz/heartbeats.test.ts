/** Damaged heartbeats and leaves: each is answered, and sound heartbeats of the back end go on being answered. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { handleBackendCall } from '../../platform/heartbeat-calls.js';
import { World, SERVICE } from '../sidecar/sidecar-world.js';
import { damageBytes, damageJson } from './damage.js';

const CASES = 1_500;
const STEP_MS = 20;

/** Steps of the manual clock for which a call may wait for its answer. */
const MAX_STEPS = 200;

const HEARTBEAT = {
  address: '10.0.0.1:1',
  born: 5,
  info: { service: SERVICE, version: 'v1', zone: 'z', slots: 6 },
  status: { state: 'ready', call_seq: 4, cold_left_s: 1 },
  holds: [[0, 9, 7]],
  released: [[10, 19, 'h']],
};

test('each damaged call of a back end is answered', async (t) => {
  const random = new Random(64);
  const world = new World();
  const node = await world.start();
  world.table([]);
  const statuses = new Map<number, number>();
  for (let count = 1; count <= CASES; count += 1) {
    const isSound = count % 50 === 0;
    const body = JSON.stringify(isSound ? HEARTBEAT : damageJson(HEARTBEAT, random));
    const sent = isSound || random.below(4) > 0 ? body : damageBytes(Buffer.from(body), random).toString();
    const id = random.pick(['one', 'two', '%C3%A9', '%ff', 'a/b', '']);
    const method = isSound ? 'PUT' : random.pick(['PUT', 'PUT', 'PUT', 'DELETE', 'GET']);
    const path = `/instances/${isSound ? 'one' : id}`;
    let status = 0;
    void handleBackendCall(node, { method, path, headers: {}, body: sent }).then(
      (answer) => (status = answer.status),
    );
    for (let step = 0; step < MAX_STEPS && status === 0; step += 1) {
      world.lease();
      await world.pass(STEP_MS);
    }
    if (isSound) t.is(status, 200, `case ${count}`);
    t.true(status > 0, `case ${count} has no answer: ${method} ${path} ${sent}`);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  }
  t.log(Object.fromEntries(statuses));
  await world.stop(node);
});
