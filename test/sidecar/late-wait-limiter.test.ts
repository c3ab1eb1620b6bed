/** How many requests may wait although they will miss their target latency. */
import test from 'ava';
import { LateWaitLimiter } from '../../src/sidecar/late-wait-limiter.js';

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
  { name: 'without any outcomes a few may wait', outcomes: [], waiting: 2, passMs: 0, mayWait: true },
  {
    name: 'without any outcomes three waits are too many for six slots',
    outcomes: [],
    waiting: 3,
    passMs: 0,
    mayWait: false,
  },
  {
    name: 'as many more may wait as got slots in the last second',
    outcomes: ['place', 'place', 'place'],
    waiting: 5,
    passMs: 0,
    mayWait: true,
  },
  {
    name: 'slots granted in earlier seconds do not count',
    outcomes: ['place', 'place', 'place'],
    waiting: 5,
    passMs: 1_000,
    mayWait: false,
  },
  {
    name: 'one unsuccessful wait among several does not stop waiting',
    outcomes: ['place', 'place', 'in-vain'],
    waiting: 0,
    passMs: 0,
    mayWait: true,
  },
  {
    name: 'three unsuccessful waits in a row stop waiting',
    outcomes: ['in-vain', 'in-vain', 'in-vain'],
    waiting: 0,
    passMs: 0,
    mayWait: false,
  },
  {
    name: 'withdrawn waits do not stop waiting',
    outcomes: ['withdrawn', 'withdrawn', 'withdrawn'],
    waiting: 0,
    passMs: 0,
    mayWait: true,
  },
  {
    name: 'unsuccessful waits lose their weight with time',
    outcomes: ['in-vain', 'in-vain', 'in-vain', 'in-vain'],
    waiting: 0,
    passMs: 4_000,
    mayWait: true,
  },
];

for (const { name, outcomes, waiting, passMs, mayWait } of CASES) {
  test(name, (t) => {
    const limiter = new LateWaitLimiter();
    for (const outcome of outcomes) {
      limiter.begin();
      limiter.end(outcome, NOW_MS);
    }
    for (let count = 0; count < waiting; count += 1) limiter.begin();
    t.is(limiter.mayWait(WAIT_MS, SLOTS, NOW_MS + passMs), mayWait);
    t.is(limiter.waiting, waiting);
  });
}
