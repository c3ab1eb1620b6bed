/** Bound on held answers: what is paused, read on and cut. */
import test from 'ava';
import fc from 'fast-check';
import {
  chooseAnswerToCut,
  maxStreamBytes,
  SpoolLimits,
  type CutAnswer,
} from '../../src/sidecar/spool-limits.js';

const BOUND_BYTES = 4 * 1024 * 1024;
const KIB = 1024;

class World {
  readonly cuts: CutAnswer[] = [];
  readonly readOn: string[] = [];
  private deferred: (() => void)[] = [];
  readonly limits = new SpoolLimits({
    boundBytes: BOUND_BYTES,
    defer: (callback) => this.deferred.push(callback),
    onCut: (answer) => this.cuts.push(answer),
  });

  open(name: string, priority = 1) {
    const cut = (): void => {
      account.close();
    };
    const readOn = (bytes: number): void => {
      this.readOn.push(name);
      account.add(bytes);
    };
    const account = this.limits.open(priority, { cut, readOn });
    return account;
  }

  run(): void {
    for (const callback of this.deferred.splice(0)) callback();
  }
}

test('answers hold a share of the room that is left, and a minimum when there is none', (t) => {
  const alone = maxStreamBytes(0, BOUND_BYTES);
  t.true(alone > maxStreamBytes(BOUND_BYTES / 4, BOUND_BYTES));
  t.is(maxStreamBytes(BOUND_BYTES, BOUND_BYTES), 32 * KIB);
  t.true(alone < BOUND_BYTES / 2);
});

test('the answer that occupies its bytes longest is cut, of similar ones the less urgent', (t) => {
  const fast = { heldBytes: 900 * KIB, bytesPerMs: 900, priority: 2 };
  const slow = { heldBytes: 300 * KIB, bytesPerMs: 10, priority: 0 };
  const slowAndUrgent = { ...slow, heldBytes: 310 * KIB };
  const slowAndNotUrgent = { ...slow, priority: 1 };
  t.is(chooseAnswerToCut([fast, slow]), slow);
  t.is(chooseAnswerToCut([slowAndNotUrgent, slowAndUrgent]), slowAndNotUrgent);
  t.is(chooseAnswerToCut([slow, slowAndUrgent]), slowAndUrgent);
  t.is(chooseAnswerToCut([{ ...slow, heldBytes: 0 }]), null);
});

test('at the bound the slowest answer is cut, once, and the others keep what they hold', (t) => {
  const world = new World();
  const stalled = world.open('stalled');
  const fast = world.open('fast');
  world.limits.update(0, 0);
  stalled.add(BOUND_BYTES / 2);
  for (let ms = 500; ms <= 10_000; ms += 500) {
    fast.add(500 * KIB);
    fast.remove(500 * KIB);
    world.limits.update(ms, 0);
  }
  fast.add(BOUND_BYTES / 2 + 1);
  world.run();
  t.is(world.limits.cuts, 1);
  t.like(world.cuts[0], { heldBytes: BOUND_BYTES / 2, totalBytes: BOUND_BYTES + 1 });
  t.is(world.limits.totalBytes, BOUND_BYTES / 2 + 1);
  stalled.remove(5);
  t.is(world.limits.totalBytes, BOUND_BYTES / 2 + 1, 'a late report of a cut answer changes nothing');
});

test('paused sources are read on in turn before a back end aborts them, as the room allows', (t) => {
  const world = new World();
  for (const name of ['a', 'b', 'c']) {
    const account = world.open(name);
    account.add(BOUND_BYTES / 4);
    t.is(account.mayHoldMore, name === 'a' && maxStreamBytes(BOUND_BYTES / 4, BOUND_BYTES) > BOUND_BYTES / 4);
  }
  for (let ms = 500; ms <= 4_000; ms += 500) world.limits.update(ms, 0);
  t.deepEqual(world.readOn.slice(0, 3).sort(), ['a', 'b', 'c']);
});

test('bytes queued at connections count', (t) => {
  const world = new World();
  world.open('a').add(10);
  world.limits.update(0, BOUND_BYTES);
  world.run();
  t.is(world.limits.cuts, 1);
});

test('whatever is added and removed, no more than the bound stays held', (t) => {
  const step = fc.record({
    answer: fc.nat(7),
    bytes: fc.nat(1_400 * KIB),
    removes: fc.boolean(),
    ms: fc.nat(900),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const world = new World();
      const held = Array.from({ length: 8 }, () => 0);
      const accounts = held.map((_, index) => world.open(String(index), index % 3));
      let nowMs = 0;
      for (const { answer, bytes, removes, ms } of steps) {
        const account = accounts[answer];
        const before = held[answer] ?? 0;
        const change = removes ? -Math.min(bytes, before) : bytes;
        if (removes) account?.remove(-change);
        else account?.add(change);
        held[answer] = before + change;
        world.limits.update((nowMs += ms), 0);
        world.run();
        t.true(world.limits.totalBytes <= BOUND_BYTES);
        t.true(world.limits.totalBytes >= 0);
      }
      for (const account of accounts) account.close();
      t.is(world.limits.totalBytes, 0);
    }),
    { seed: 1, numRuns: 100 },
  );
});
