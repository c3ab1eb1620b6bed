import test from 'ava';
import { LoadReport, MAX_REPORTED_SHARDS } from '../../src/agent/load-report.js';

const INTERVAL_MS = 1_000;

function createReport(): LoadReport {
  return new LoadReport(0, INTERVAL_MS);
}

test('nothing is reported before the interval is over', (t) => {
  const load = createReport();
  load.count([[1, 50]]);
  t.deepEqual(load.takeReport(INTERVAL_MS - 1, [1]), []);
  t.deepEqual(load.takeReport(INTERVAL_MS, [1]), [[1, 50]]);
});

test('a rate without a significant change is not reported again', (t) => {
  const load = createReport();
  load.count([[1, 100]]);
  load.takeReport(1_000, [1]);
  load.count([[1, 110]]);
  t.deepEqual(load.takeReport(2_000, [1]), []);
  load.count([[1, 300]]);
  t.deepEqual(load.takeReport(3_000, [1]), [[1, 202.5]]);
});

test('a shard that becomes idle is reported', (t) => {
  const load = createReport();
  load.count([[1, 100]]);
  load.takeReport(1_000, [1]);
  t.deepEqual(load.takeReport(2_000, [1]), [[1, 50]]);
});

test('the size of a report is bounded; the largest changes come first, the rest follow', (t) => {
  const load = createReport();
  const shards = Array.from({ length: MAX_REPORTED_SHARDS + 5 }, (_, shard) => shard);
  load.count(shards.map((shard) => [shard, 10 + shard]));
  const first = load.takeReport(1_000, shards);
  t.is(first.length, MAX_REPORTED_SHARDS);
  t.is(first[0]?.[0], shards.at(-1));
  load.count(shards.map((shard) => [shard, 10 + shard]));
  t.deepEqual(
    load.takeReport(2_000, shards).map(([shard]) => shard),
    [4, 3, 2, 1, 0],
  );
});

test('all rates are reported to a new leader', (t) => {
  const load = createReport();
  load.count([[1, 100]]);
  load.takeReport(1_000, [1]);
  load.discardReported();
  load.count([[1, 100]]);
  t.deepEqual(load.takeReport(2_000, [1]), [[1, 100]]);
});

test('a shard that is not owned is not reported', (t) => {
  const load = createReport();
  load.count([[1, 100]]);
  t.deepEqual(load.takeReport(1_000, []), []);
});
