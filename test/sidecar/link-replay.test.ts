/** Use of slow network links by large answers, replayed against the code that chooses, admits and paces them. */
import test from 'ava';
import { DOWNLOADS, replay, type ReplayLoad, type ReplayResult } from './link-replay.js';

/** Answers of 5 KB, of which a link carries far more than the back ends produce. */
const CANCELLATIONS: ReplayLoad = {
  ...DOWNLOADS,
  perSecond: 273,
  callers: 88,
  links: 24,
  slots: 8,
  linkBytesPerMs: 250,
  bytes: 5_000,
  workMs: 248,
  targetMs: 829,
  deadlineMs: 6_217,
};

const CHANGE_MS = 7_000;

function replayAndLog(
  log: (text: string) => void,
  load: ReplayLoad,
): ReplayResult & { readonly inTimeShare: number } {
  const result = replay(load);
  const { latencyMs, ...figures } = result;
  const inTimeShare = result.bytesInTime / (result.bytesInTime + result.bytesLate);
  log(JSON.stringify({ ...figures, inTimeShare, answers: latencyMs.length }));
  return { ...result, inTimeShare };
}

/** Guards against a full link that sends what is late, and against refusals while a link is idle. */
for (const { name, load } of [
  { name: 'links at 1.6 times their capacity', load: DOWNLOADS },
  { name: 'the same with statuses that are 2 s old', load: { ...DOWNLOADS, statusDelayMs: 2_000 } },
  { name: 'the same with callers that retry when they are told', load: { ...DOWNLOADS, retries: 1 } },
]) {
  test(`${name} send answers in time, and none is refused while a link is idle`, (t) => {
    const { inTimeShare, usedShare, refusedWhileIdle } = replayAndLog((text) => t.log(text), load);
    t.true(inTimeShare >= 0.9);
    t.true(usedShare >= 0.87, 'the pacer uses 0.92 of a link, headers included');
    t.is(refusedWhileIdle, 0);
  });
}

/** Guards against links that stay idle because slow work leaves no slack within the target. */
test('links are used while back ends take four times as long', (t) => {
  const load = { ...DOWNLOADS, perSecond: 60, workFactor: () => 4 };
  const { requests, refusedWhileIdle, usedShare } = replayAndLog((text) => t.log(text), load);
  t.true(usedShare >= 0.7);
  t.true(refusedWhileIdle <= requests * 0.01);
});

/** Guards against refusals for a link whose queue is a few ms long. */
test('no small answer is refused for the link while back ends are cold', (t) => {
  const load = {
    ...CANCELLATIONS,
    workFactor: (_link: number, atMs: number) => (atMs < CHANGE_MS ? 2.2 : 1),
  };
  t.is(replayAndLog((text) => t.log(text), load).refused, 0);
});

test('links that other traffic halves are used for what they still carry', (t) => {
  const load = { ...DOWNLOADS, otherShare: (_link: number, atMs: number) => (atMs < CHANGE_MS ? 0 : 0.46) };
  const { inTimeShare, usedShare, refusedWhileIdle } = replayAndLog((text) => t.log(text), load);
  t.true(inTimeShare >= 0.7, 'answers admitted before the change are late');
  t.true(usedShare >= 0.54);
  t.is(refusedWhileIdle, 0);
});
