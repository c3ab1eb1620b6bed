/**
 * Answers that are given before the body of their request has been received. Guards against a connection of a caller that ends
 * with the stream of such a body, which costs the caller the answer and the requests behind it.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { pathOf, RawCaller, requestText } from './raw-caller.js';
import { startWorld } from './router-world.js';

const SEED = 7_621;
const ROUNDS = 30;
const BODY_SIZES = [100, 20_000, 90_000, 1_000_000, 4_000_000];

test('an answer before the end of its request is delivered, and the requests behind it are answered', async (t) => {
  const world = await startWorld(t);
  const random = new Random(SEED);
  const wrong: string[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const isRefused = random.below(4) === 0;
    const path = isRefused ? `/unknown/${round}` : pathOf(`upload-${round}`);
    const bodyBytes = random.pick(BODY_SIZES);
    const bytes = random.pick([10, 30_000, 300_000, 2_000_000]);
    const end = random.pick(['nothing', 'close', 'reset'] as const);
    const endAfterMs = random.pick([0, 20, 200]);
    const stated = random.below(3) > 0;
    world.scripts.set(path, [{ bytes, stated, end, endAfterMs, beforeBody: true }]);
    const text = requestText(path, { method: 'POST', body: 'b'.repeat(bodyBytes) });
    const behind = requestText(pathOf(`behind-${round}`));
    const caller = new RawCaller(world.port);
    const cut = text.length - random.below(bodyBytes);
    caller.write(text.slice(0, cut));
    await new Promise((resolve) => setTimeout(resolve, random.pick([0, 10, 60])));
    caller.write(text.slice(cut) + behind);
    await caller.settled(2, 3_000);
    const statuses = caller.answers.map(({ statusCode, whole }) => (whole ? statusCode : -statusCode));
    // An answer that its back end breaks off before the router has read it is unknown to the router.
    const isUnread = end === 'reset' && endAfterMs < 200;
    const expected = isRefused ? [404, 200] : [200, 200];
    const isRight = statuses.join() === expected.join() || (isUnread && statuses.join() === '504,200');
    // One without a length cannot be stored until it is whole, so it may break off in its middle; nothing behind it runs then.
    const isCut = isUnread && !stated && statuses.join() === '-200' && caller.end === 'ended';
    if (isCut ? world.received.includes(pathOf(`behind-${round}`)) : !isRight || caller.end !== null)
      wrong.push(
        `${round}: ${bodyBytes} up, ${bytes} ${end} ${endAfterMs}: ${statuses.join()} ${caller.end}`,
      );
    caller.close();
  }
  t.deepEqual(wrong, []);
});
