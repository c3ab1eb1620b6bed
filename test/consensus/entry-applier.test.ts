import test from 'ava';
import { EntryApplier } from '../../src/consensus/entry-applier.js';
import type { LogEntry } from '../../src/consensus/raft-types.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';

class Recorder {
  readonly seen: string[] = [];
  private readonly scheduled: (() => void)[] = [];
  readonly applier = new EntryApplier(
    { ...nodeRuntime, nowMs: () => 0, afterInput: (run) => void this.scheduled.push(run) },
    {
      apply: ({ index }) => void this.seen.push(`apply ${index}`),
      snapshot: () => null,
      restore: (_data, index) => void this.seen.push(`restore ${index}`),
    },
    0,
    () => undefined,
  );

  /** Runs all scheduled slices and returns their number. */
  runAll(): number {
    let slices = 0;
    for (let run = this.scheduled.shift(); run !== undefined; run = this.scheduled.shift()) {
      run();
      slices += 1;
    }
    return slices;
  }
}

function entries(from: number, to: number): LogEntry[] {
  return Array.from({ length: to - from + 1 }, (_, at) => ({
    index: from + at,
    term: 1,
    payload: { kind: 'no-op' },
  }));
}

test('a few entries are applied immediately, many in slices, all in order', (t) => {
  const recorder = new Recorder();
  recorder.applier.add(entries(1, 3));
  t.is(recorder.applier.appliedIndex, 3);
  recorder.applier.add(entries(4, 300));
  t.true(recorder.applier.appliedIndex < 300);
  recorder.applier.add(entries(301, 302));
  t.true(recorder.runAll() > 1);
  t.deepEqual(
    recorder.seen,
    entries(1, 302).map(({ index }) => `apply ${index}`),
  );
});

test('a snapshot is restored in order, and entries that it contains are not applied again', (t) => {
  const recorder = new Recorder();
  recorder.applier.add(entries(1, 100));
  recorder.applier.restore({}, 150);
  recorder.applier.add(entries(140, 152));
  recorder.runAll();
  t.deepEqual(recorder.seen.slice(100), ['restore 150', 'apply 151', 'apply 152']);
});
