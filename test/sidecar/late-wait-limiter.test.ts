/** Whether waiting beyond the target still brings answers. */
import test from 'ava';
import { LateOutlook } from '../../src/sidecar/late-wait-limiter.js';

const NOW_MS = 10_000;
const WAIT_MS = 1_000;
const SLOTS = 6;

const CASES: readonly {
  readonly name: string;
  readonly outcomes: readonly ('place' | 'in-vain' | 'withdrawn')[];
  readonly waiting: number;
  readonly passMs: number;
  readonly mayWait: boolean;
}[] = [
  { name: 'before anything was seen a few may wait', outcomes: [], waiting: 2, passMs: 0, mayWait: true },
  { name: 'but not many', outcomes: [], waiting: 3, passMs: 0, mayWait: false },
  {
    name: 'as many more as got places in the last second',
    outcomes: ['place', 'place', 'place'],
    waiting: 5,
    passMs: 0,
    mayWait: true,
  },
  {
    name: 'places of earlier seconds tell nothing',
    outcomes: ['place', 'place', 'place'],
    waiting: 5,
    passMs: 1_000,
    mayWait: false,
  },
  {
    name: 'one wait in vain among many is no sign',
    outcomes: ['place', 'place', 'in-vain'],
    waiting: 0,
    passMs: 0,
    mayWait: true,
  },
  {
    name: 'three in a row are',
    outcomes: ['in-vain', 'in-vain', 'in-vain'],
    waiting: 0,
    passMs: 0,
    mayWait: false,
  },
  {
    name: 'callers that left are no sign',
    outcomes: ['withdrawn', 'withdrawn', 'withdrawn'],
    waiting: 0,
    passMs: 0,
    mayWait: true,
  },
  {
    name: 'what was long ago is forgotten',
    outcomes: ['in-vain', 'in-vain', 'in-vain', 'in-vain'],
    waiting: 0,
    passMs: 4_000,
    mayWait: true,
  },
];

for (const { name, outcomes, waiting, passMs, mayWait } of CASES) {
  test(name, (t) => {
    const outlook = new LateOutlook();
    for (const outcome of outcomes) {
      outlook.begin();
      outlook.end(outcome, NOW_MS);
    }
    for (let count = 0; count < waiting; count += 1) outlook.begin();
    t.is(outlook.mayWait(WAIT_MS, SLOTS, NOW_MS + passMs), mayWait);
    t.is(outlook.waiting, waiting);
  });
}
