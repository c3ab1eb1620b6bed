/** Readers of one configuration share its text; a read behind an acknowledged change returns that change. */
import test from 'ava';
import { DirectoryWorld } from '../../lab/sim/directory-world.js';
import type { CallAnswer } from '../../platform/json-server.js';
import { OperatorCalls } from '../../platform/operator-calls.js';

const READY_MS = 4_000;
const CALL_MS = 500;
const CHANGES = 5;
const CONTROL_PORT = 8_306;

test('reads of one configuration share a text, and a changed one is read at once', async (t) => {
  const world = new DirectoryWorld(1);
  await world.start();
  await world.runUntil(READY_MS);
  const node = world.leader();
  if (node === null) throw new Error('invariant broken: no replica leads');
  const calls = new OperatorCalls(node, CONTROL_PORT, new Set());
  const answerOf = async (method: string, body: string, base: number): Promise<CallAnswer | null> => {
    const answers: CallAnswer[] = [];
    void calls
      .handle({ method, path: '/config', headers: { 'if-match': String(base) }, body })
      .then((answer) => {
        answers.push(answer);
      });
    await world.runUntil(world.queue.nowMs + CALL_MS);
    return answers[0] ?? null;
  };
  for (let version = 1; version <= CHANGES; version += 1) {
    const changed = await answerOf(
      'PUT',
      JSON.stringify({ version, services: { [`s-${version}`]: {} } }),
      version - 1,
    );
    t.is(changed?.status, 200);
    const [first, second] = [await answerOf('GET', '', 0), await answerOf('GET', '', 0)];
    t.deepEqual(JSON.parse(String(first?.content)), {
      version,
      routes: {},
      services: { [`s-${version}`]: {} },
    });
    t.is(second?.content, first?.content);
  }
});
