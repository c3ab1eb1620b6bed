/** Bytes held for clients: their bound, who gives way, and what a single client may take. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { ClientMemory } from '../../src/runtime/client-memory.js';
import { IncomingBody } from '../../src/runtime/incoming-body.js';

const SEED = 79;
const LIMIT = 100_000;
const PART = Buffer.alloc(10_000, 'b');

function memoryAt(clock: { nowMs: number }): ClientMemory {
  return new ClientMemory(LIMIT, () => clock.nowMs);
}

test('what clients hold together stays within the limit, and room that is given up can be taken again', (t) => {
  const memory = memoryAt({ nowMs: 0 });
  const shares = Array.from({ length: 20 }, () => memory.open(() => undefined));
  const taken = shares.filter((share) => share.resize(10_000));
  t.is(taken.length, 10);
  t.is(memory.usedBytes, LIMIT);
  taken[0]?.release();
  t.true(shares.at(-1)?.resize(10_000));
  for (const share of shares) share.release();
  t.is(memory.usedBytes, 0);
});

test('a client that is alone may hold more than the limit, but not beside others', (t) => {
  const memory = memoryAt({ nowMs: 0 });
  const first = memory.open(() => undefined);
  t.true(first.resize(2 * LIMIT));
  const second = memory.open(() => undefined);
  t.false(second.resize(1));
  first.release();
  t.true(second.resize(2 * LIMIT));
});

test('the client that has stalled for longest gives way, one that makes progress or is in use does not', (t) => {
  const clock = { nowMs: 0 };
  const memory = memoryAt(clock);
  const evicted: string[] = [];
  const open = (name: string) => memory.open(() => evicted.push(name));
  const inUse = open('in use');
  t.true(inUse.resize(30_000));
  inUse.keep();
  clock.nowMs = 100;
  const oldest = open('oldest');
  t.true(oldest.resize(30_000));
  clock.nowMs = 200;
  const old = open('old');
  t.true(old.resize(30_000));
  clock.nowMs = 1_150;
  const fresh = open('fresh');
  t.true(fresh.resize(30_000));
  t.deepEqual(evicted, ['oldest']);
  clock.nowMs = 1_190;
  t.false(open('refused').resize(30_000), 'nobody else has stalled for a second');
  t.is(memory.usedBytes, 90_000);
});

test('a body in parts of one byte holds little more than its bytes', (t) => {
  const memory = memoryAt({ nowMs: 0 });
  const body = new IncomingBody(memory, 50_000, null, () => undefined);
  for (let at = 0; at < 50_000; at += 1) t.is(body.add(PART.subarray(0, 1)), null);
  t.true(memory.usedBytes < 60_000, `${memory.usedBytes} bytes`);
  t.is(body.end()?.length, 50_000);
  body.release();
  t.is(memory.usedBytes, 0);
});

test('a body that is too large, or has no room, is given up and told of once', (t) => {
  const memory = memoryAt({ nowMs: 0 });
  const large = new IncomingBody(memory, 15_000, null, () => undefined);
  t.deepEqual([large.add(PART), large.add(PART), large.add(PART)], [null, 'too-large', null]);
  t.is(large.end(), null);
  t.is(memory.usedBytes, 0);
  const others = memory.open(() => undefined);
  t.true(others.resize(95_000));
  const refused = new IncomingBody(memory, 50_000, 20_000, () => undefined);
  t.deepEqual([refused.add(PART), refused.add(PART)], ['no-memory', null]);
  t.is(refused.end(), null);
  t.is(memory.usedBytes, 95_000);
});

test('the copy of a body on its way counts like the body, whatever its size', (t) => {
  const random = new Random(SEED);
  for (let round = 0; round < 200; round += 1) {
    const memory = memoryAt({ nowMs: 0 });
    const sizes = Array.from({ length: 1 + random.below(12) }, () => random.below(30_000));
    const bodies = sizes.map((size) => {
      const body = new IncomingBody(memory, 30_000, size, () => undefined);
      const isStored = size === 0 || body.add(Buffer.alloc(size)) === null;
      return { size, body, isSent: isStored && body.end() !== null && body.holdCopy() };
    });
    const sentBytes = bodies.reduce((sum, { size, isSent }) => sum + (isSent ? 2 * size : 0), 0);
    t.true(memory.usedBytes >= sentBytes, `round ${round}`);
    t.true(sentBytes <= LIMIT, `round ${round}: ${sizes.join()}`);
    for (const { body } of bodies) body.release();
    t.is(memory.usedBytes, 0);
  }
});
