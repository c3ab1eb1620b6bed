/** Which answers a slow network link has room for. */
import test from 'ava';
import { decideOnLink, plannedLinkWaitMs, queueEndMs } from '../../src/sidecar/link-admission.js';

const BACKLOG_MS = 100;

/** Guards against counting answers as queued that the link sends, or that are produced, while the work goes on. */
for (const { name, expected, untilMs, endMs } of [
  { name: 'the backlog', expected: [], untilMs: 200, endMs: 100 },
  { name: 'an overdue answer', expected: [[0, 90]], untilMs: 200, endMs: 190 },
  { name: 'an answer produced after the backlog is sent', expected: [[150, 90]], untilMs: 200, endMs: 240 },
  { name: 'no answer that will be ready later', expected: [[300, 90]], untilMs: 200, endMs: 100 },
  {
    name: 'answers in the order of production',
    expected: [
      [400, 90],
      [0, 90],
    ],
    untilMs: 500,
    endMs: 490,
  },
] as const) {
  test(`ahead of an answer is ${name}`, (t) => {
    const answers = expected.map(([readyInMs, sendingMs]) => ({ readyInMs, sendingMs }));
    t.is(queueEndMs(BACKLOG_MS, answers, untilMs), endMs);
  });
}

/** Guards against refusals for work that is slow, and against a queue that is filled up to the target. */
for (const { name, readyInMs, queueMs, targetLeftMs, freeInMs } of [
  { name: 'an idle link', readyInMs: 200, queueMs: 0, targetLeftMs: 1_000, freeInMs: null },
  {
    name: 'an idle link, for an answer that will be late',
    readyInMs: 2_000,
    queueMs: 0,
    targetLeftMs: 1_000,
    freeInMs: null,
  },
  {
    name: 'a link that is free when slow work ends',
    readyInMs: 900,
    queueMs: 900,
    targetLeftMs: 1_000,
    freeInMs: null,
  },
  {
    name: 'a queue within the planned wait',
    readyInMs: 200,
    queueMs: 600,
    targetLeftMs: 1_100,
    freeInMs: null,
  },
  { name: 'a queue over the planned wait', readyInMs: 200, queueMs: 650, targetLeftMs: 1_100, freeInMs: 50 },
  {
    name: 'one answer ahead of one that will be late',
    readyInMs: 2_000,
    queueMs: 2_100,
    targetLeftMs: 1_000,
    freeInMs: null,
  },
  {
    name: 'two answers ahead of one that will be late',
    readyInMs: 2_000,
    queueMs: 2_200,
    targetLeftMs: 1_000,
    freeInMs: 100,
  },
]) {
  test(`${freeInMs === null ? 'room' : 'no room'}: ${name}`, (t) => {
    const decision = decideOnLink({ readyInMs, queueMs, sendingMs: 100, targetLeftMs });
    t.deepEqual(decision, freeInMs === null ? { kind: 'accept' } : { kind: 'refuse', freeInMs });
  });
}

test('a link with nothing queued is idle until the expected answers fill the time until an answer is ready', (t) => {
  const answers = [0, 0, 0].map((readyInMs) => ({ readyInMs, sendingMs: 90 }));
  t.is(queueEndMs(0, answers, 271), 0);
  t.is(queueEndMs(0, answers, 270), 270);
  t.is(queueEndMs(1, answers, 271), 271);
});

test('the wait for the link is planned with a margin, and is 0 without a wait', (t) => {
  t.is(plannedLinkWaitMs(100), 200);
  t.is(plannedLinkWaitMs(0), 0);
});
