/** Rate limit of a cold back end, for any arrivals and any order of reports. */
import test from 'ava';
import fc from 'fast-check';
import { ColdStartLimit, MAX_COLD_MS } from '../../src/sidecar/cold-start-limit.js';

const BOUND = { factor: 1.5, slack: 8 };
const COLD_START = { durationMs: 3_000, requestsPerSecond: 14 };

/** Maximum number of requests per second within the bound. */
const ACCEPTED = COLD_START.requestsPerSecond * BOUND.factor + BOUND.slack;

function limitAt(startedMs: number): ColdStartLimit {
  const limit = new ColdStartLimit(BOUND, startedMs);
  limit.configure(COLD_START);
  return limit;
}

/** Sends as many requests as the limit allows at every ms of a time span; returns their times. */
function sendAll(limit: ColdStartLimit, fromMs: number, toMs: number): number[] {
  const sent: number[] = [];
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 1) {
    while (limit.delayMs(0, nowMs) <= 0 && sent.length < 10_000) {
      limit.recordSent(nowMs);
      sent.push(nowMs);
    }
  }
  return sent;
}

function maxInASecond(sentMs: readonly number[]): number {
  return Math.max(
    0,
    ...sentMs.map((fromMs) => sentMs.filter((at) => at >= fromMs && at < fromMs + 1_000).length),
  );
}

test('requests to a cold back end are evenly spaced at the rate that it can sustain', (t) => {
  const limit = limitAt(-10_000);
  limit.startIncarnation(3_000, 0);
  const sent = sendAll(limit, 0, 2_999);
  const gaps = sent.slice(2).map((at, index) => at - (sent[index + 1] ?? 0));
  t.true(Math.max(...gaps) <= 73 && Math.min(...gaps) >= 70, `gaps of ${gaps.join(', ')} ms`);
  t.true(maxInASecond(sent) <= COLD_START.requestsPerSecond + 2);
});

test('a daemon that has just started sends a cold back end nothing for one window', (t) => {
  const limit = limitAt(0);
  limit.startIncarnation(3_000, 100);
  t.true((sendAll(limit, 100, 2_000)[0] ?? 0) > 1_000);
});

/** Guards against a second without requests after a loss of power, when the back end has begun anew as well. */
test('a back end that no previous process can have sent to is sent requests at once, within the bound', (t) => {
  const limit = limitAt(0);
  limit.startIncarnation(3_000, 100);
  limit.confirmNewToDaemon();
  const sent = sendAll(limit, 100, 3_000);
  t.is(sent[0], 100);
  t.true(maxInASecond(sent) <= ACCEPTED);
});

test('a back end that becomes cold gets no more than the bound in any second from then on', (t) => {
  const holds = fc.check(
    fc.property(fc.array(fc.nat(2_000), { maxLength: 200 }), fc.nat(2_000), (arrivals, coldAtMs) => {
      const limit = limitAt(-10_000);
      limit.startIncarnation(0, -5_000);
      const before = arrivals.filter((at) => at < coldAtMs).sort((left, right) => left - right);
      for (const at of before) limit.recordSent(at);
      limit.recordReport(3_000, coldAtMs);
      const sent = sendAll(limit, coldAtMs, coldAtMs + 2_500);
      for (const fromMs of sent) {
        const all = [...before, ...sent].filter((at) => at > fromMs - 1_000 && at <= fromMs).length;
        const unavoidable = before.filter((at) => at > fromMs - 1_000).length;
        if (all > Math.max(ACCEPTED, unavoidable)) return false;
      }
      return true;
    }),
  );
  t.false(holds.failed, fc.defaultReportMessage(holds));
});

test('for any order of reports the requests sent while it counts as cold stay within the bound', (t) => {
  const report = fc.record({
    at: fc.nat(6_000),
    reportedMs: fc.option(fc.nat(4_000)),
    assumed: fc.boolean(),
  });
  const holds = fc.check(
    fc.property(fc.array(report, { maxLength: 12 }), (reports) => {
      const limit = limitAt(-10_000);
      limit.startIncarnation(6_000, 0);
      const cold: number[] = [];
      for (let nowMs = 0; nowMs < 6_000; nowMs += 5) {
        for (const { at, reportedMs, assumed } of reports) {
          if (at < nowMs - 4 || at > nowMs) continue;
          if (assumed) limit.assumeCold();
          else limit.recordReport(reportedMs, nowMs);
        }
        // Nothing is sent here while it counts as warm, so every counted request went to a cold back end.
        while (limit.isCold(nowMs) && limit.delayMs(0, nowMs) <= 0) {
          limit.recordSent(nowMs);
          cold.push(nowMs);
        }
      }
      return maxInASecond(cold) <= ACCEPTED;
    }),
  );
  t.false(holds.failed, fc.defaultReportMessage(holds));
});

test('a back end that may have become cold unnoticed counts as cold until two reports say otherwise', (t) => {
  const limit = limitAt(-10_000);
  limit.startIncarnation(0, 0);
  t.false(limit.isCold(10));
  limit.assumeCold();
  t.true(limit.isCold(10));
  limit.recordReport(0, 20);
  t.true(limit.isCold(30), 'the first report may date from before it became cold');
  limit.recordReport(0, 900);
  t.false(limit.isCold(910));
});

test('a report without the value changes nothing, a new incarnation without it is cold, a huge value is clamped', (t) => {
  const limit = limitAt(-10_000);
  limit.startIncarnation(null, 0);
  t.true(limit.isCold(2_999));
  t.false(limit.isCold(3_001));
  limit.recordReport(1_000, 4_000);
  limit.recordReport(null, 4_100);
  t.true(limit.isCold(4_900));
  limit.recordReport(1e12, 5_000);
  t.false(limit.isCold(5_001 + MAX_COLD_MS));
});

test('nothing is limited if the service configures no rate', (t) => {
  const limit = new ColdStartLimit(BOUND, 0);
  limit.startIncarnation(3_000, 0);
  t.is(limit.delayMs(5, 10), 0);
  t.is(limit.estimate(10), null);
});

test('the estimate reports how soon further requests are accepted', (t) => {
  const limit = limitAt(-10_000);
  limit.startIncarnation(2_000, 0);
  limit.recordSent(0);
  limit.recordSent(0);
  t.deepEqual(limit.estimate(0), { delayMs: 71, intervalMs: 71, leftMs: 2_000 });
});
