import test from 'ava';
import { ReturnRule } from '../../../lab/soak/return-rule.js';

const LOST_MS = 10_000;
const STARTED_MS = 11_000;
const BOUND_MS = 15_000;

/** Records four requests a second for 60 s; `isAnswered` decides by the time and by the number within the second. */
function play(isAnswered: (atMs: number, which: number) => boolean): ReturnRule {
  const rule = new ReturnRule(BOUND_MS);
  for (let atMs = 0; atMs < 60_000; atMs += 250) rule.record(atMs, isAnswered(atMs, (atMs / 250) % 4));
  return rule;
}

test('a quarter of the requests answered after the bound is enough, and less is a violation', (t) => {
  const enough = play((atMs, which) => atMs < LOST_MS || which === 0);
  t.deepEqual(enough.result(LOST_MS, STARTED_MS).violations, []);
  const tooFew = play((atMs, which) => atMs < LOST_MS || (which === 0 && atMs < 40_000));
  t.is(tooFew.result(LOST_MS, STARTED_MS).violations.length, 1);
});

test('a loss of service that was there before the loss of the daemons is no violation of the return', (t) => {
  t.deepEqual(play(() => false).result(LOST_MS, STARTED_MS).violations, []);
});

test('the time of the return is that of the first second with enough answers after the start', (t) => {
  const rule = play((atMs) => atMs < LOST_MS || atMs >= STARTED_MS + 4_000);
  t.is(rule.result(LOST_MS, STARTED_MS).returnedAfterMs, 4_000);
});
