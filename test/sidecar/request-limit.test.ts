/** When requests get turns under a limit that a back end names, changes, lifts, or may have named before a restart. */
import test from 'ava';
import type { StatedLimit } from '../../src/sidecar/backend-signals.js';
import { RequestLimit } from '../../src/sidecar/request-limit.js';

const NONE: StatedLimit = { kind: 'none' };
const STEP_MS = 10;

function limited(requestsPerSecond: number): StatedLimit {
  return { kind: 'limited', requestsPerSecond };
}

/** A limit whose requests are answered after `answerMs`; sends whenever it may. */
class Traffic {
  nowMs = 0;
  readonly sentMs: number[] = [];
  stated: StatedLimit = NONE;
  private readonly answers: {
    readonly atMs: number;
    readonly number: number;
    readonly stated: StatedLimit;
  }[] = [];

  constructor(
    readonly limit: RequestLimit,
    private readonly answerMs = 20,
    /** Maximum number of requests sent in one step. */
    private readonly perStep = 1,
  ) {}

  run(ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs; this.nowMs += STEP_MS) {
      this.answerDue();
      for (let sent = 0; sent < this.perStep && this.limit.delayMs(0, this.nowMs) <= 0; sent += 1)
        this.send();
    }
  }

  sentSince(sinceMs: number): number {
    return this.sentMs.filter((atMs) => atMs >= sinceMs).length;
  }

  private send(): void {
    const number = this.limit.recordSent(this.nowMs);
    this.sentMs.push(this.nowMs);
    this.answers.push({ atMs: this.nowMs + this.answerMs, number, stated: this.stated });
  }

  private answerDue(): void {
    while ((this.answers[0]?.atMs ?? Infinity) <= this.nowMs) {
      const answer = this.answers.shift();
      if (answer !== undefined) this.limit.recordStatement(answer.stated, answer.number, this.nowMs);
    }
  }
}

function newLimit(): RequestLimit {
  const limit = new RequestLimit(0);
  limit.startIncarnation(true);
  return limit;
}

for (const perSecond of [100, 12, 4, 2.5, 0.5, 0.25]) {
  test(`any 4 s hold little more than the limit, and most of it is used: ${perSecond} a second`, (t) => {
    const traffic = new Traffic(newLimit(), 20, 5);
    traffic.run(1_000);
    traffic.stated = limited(perSecond);
    traffic.run(200);
    const bindingMs = traffic.nowMs;
    traffic.run(40_000);
    for (const fromMs of traffic.sentMs.filter((atMs) => atMs >= bindingMs)) {
      const count = traffic.sentMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 4_000).length;
      t.true(count <= perSecond * 4.5 + 1, `${count} in 4 s`);
    }
    t.true(traffic.sentSince(bindingMs) >= perSecond * 40 * 0.85 - 1);
  });
}

test('after a pause the burst is half a second of the limit, or one request', (t) => {
  for (const [perSecond, burst] of [
    [8, 4],
    [0.5, 1],
  ] as const) {
    const limit = newLimit();
    limit.recordStatement(limited(perSecond), limit.recordSent(0), 10);
    let sent = 0;
    for (; limit.delayMs(0, 60_000) <= 0; sent += 1) limit.recordSent(60_000);
    t.is(sent, burst);
  }
});

test('a limit of 0 admits one request in 4 s, whose answer tells whether it still holds', (t) => {
  const traffic = new Traffic(newLimit());
  traffic.stated = limited(0);
  traffic.run(100);
  const namedMs = traffic.nowMs;
  traffic.run(20_000);
  t.is(traffic.sentSince(namedMs), 5);
  traffic.stated = NONE;
  traffic.run(8_000);
  t.is(traffic.limit.perSecond, null);
});

test('after a limit is lifted the rate doubles every half second, and is unlimited after 3 s', (t) => {
  const traffic = new Traffic(newLimit(), 20, 50);
  traffic.stated = limited(4);
  traffic.run(2_000);
  traffic.stated = NONE;
  while (traffic.limit.perSecond !== null) traffic.run(STEP_MS);
  const liftedMs = traffic.nowMs;
  traffic.run(500);
  t.true(traffic.sentSince(liftedMs) <= 10);
  traffic.run(500);
  t.true(traffic.sentSince(liftedMs) <= 24);
  traffic.run(2_000);
  t.is(traffic.limit.currentIntervalMs(traffic.nowMs), null);
});

test('beside an incarnation that a previous process may have served, requests go one by one until an answer', (t) => {
  const limit = new RequestLimit(0);
  limit.startIncarnation(false);
  t.is(limit.delayMs(0, 0), 0);
  const first = limit.recordSent(0);
  t.true(limit.delayMs(0, 50) > 0);
  limit.recordStatement(NONE, first, 60);
  t.is(limit.delayMs(3, 60), 0);
});

test('without an answer the next trial follows after a second', (t) => {
  const limit = new RequestLimit(0);
  limit.startIncarnation(false);
  limit.recordSent(0);
  t.true(limit.delayMs(0, 990) > 0);
  t.is(limit.delayMs(0, 1_000), 0);
});

test('a limit that another daemon knows is adopted before an answer, and counted from the start of the process', (t) => {
  const limit = new RequestLimit(1_000);
  limit.startIncarnation(false);
  t.like(limit.adopt(0.5), { kind: 'named', after: 0.5 });
  t.is(limit.delayMs(0, 1_500), 1_500);
  t.is(limit.adopt(8), null);
});

test('a limit that another daemon knows does not replace what an answer has shown', (t) => {
  const limit = new RequestLimit(0);
  limit.startIncarnation(false);
  limit.recordStatement(NONE, limit.recordSent(0), 10);
  t.is(limit.adopt(4), null);
  t.is(limit.perSecond, null);
});

test('the next incarnation is not limited', (t) => {
  const limit = newLimit();
  limit.recordStatement(limited(0.5), limit.recordSent(0), 10);
  limit.startIncarnation(true);
  t.is(limit.delayMs(0, 20), 0);
});

test('refused requests are promised different turns, for some seconds ahead', (t) => {
  const limit = newLimit();
  limit.recordStatement(limited(2), limit.recordSent(0), 0);
  const promised = Array.from({ length: 12 }, () => limit.promiseTurn(0, 0));
  t.deepEqual(promised.slice(0, 4), [500, 1_000, 1_500, 2_000]);
  t.is(promised.at(-1), 4_500);
});

test('a trial that ends without an answer is repeated at once, but only one time', (t) => {
  const limit = new RequestLimit(0);
  limit.startIncarnation(false);
  limit.recordUnanswered(limit.recordSent(0));
  t.is(limit.delayMs(0, 200), 0);
  limit.recordUnanswered(limit.recordSent(200));
  t.true(limit.delayMs(0, 400) > 0);
  t.is(limit.delayMs(0, 1_200), 0);
});

test('an incarnation that was not registered before is not limited', (t) => {
  const limit = new RequestLimit(0);
  limit.startIncarnation(false);
  limit.recordSent(0);
  limit.confirmNewToDaemon();
  t.is(limit.delayMs(5, 10), 0);
});

test('requests refused during a trial are told different times after its answer is due', (t) => {
  const limit = new RequestLimit(0);
  limit.startIncarnation(false);
  limit.recordSent(0);
  const promised = Array.from({ length: 11 }, () => limit.promiseTurn(0, 200));
  t.deepEqual(promised.slice(0, 3), [800, 900, 1_000]);
  t.is(Math.max(...promised), 1_700);
  t.is(promised[10], 800);
});
