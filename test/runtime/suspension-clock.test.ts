/** Which differences between the steady and the wall clock count as passed time. */
import test from 'ava';
import { ProcessTimers } from '../../src/runtime/process-timers.js';
import { SuspensionClock } from '../../src/runtime/suspension-clock.js';

class Machine {
  steadyMs = 1_000;
  wallMs = 1_800_000_000_000;
  readonly skips: number[] = [];
  /** Called after the next reading of the wall clock. */
  afterWall: () => void = () => undefined;
  readonly clock = new SuspensionClock(
    () => this.steadyMs,
    () => {
      const { wallMs } = this;
      const { afterWall } = this;
      this.afterWall = () => undefined;
      afterWall();
      return wallMs;
    },
    (ms) => this.skips.push(ms),
  );

  run(ms: number, wallRate = 1): void {
    this.steadyMs += ms;
    this.wallMs += ms * wallRate;
  }
}

interface Case {
  readonly name: string;
  readonly simulate: (machine: Machine) => void;
  /** Expected advance of the clock, in ms. */
  readonly passedMs: number;
}

const CASES: readonly Case[] = [
  {
    name: 'normal operation',
    simulate: (machine) => {
      machine.run(5_000);
    },
    passedMs: 5_000,
  },
  {
    name: 'a stopped process, which the steady clock includes',
    simulate: (machine) => {
      machine.run(7_000);
    },
    passedMs: 7_000,
  },
  {
    name: 'a suspension',
    simulate: (machine) => {
      machine.run(100);
      machine.wallMs += 4_000;
    },
    passedMs: 4_100,
  },
  {
    name: 'two suspensions in short succession',
    simulate: (machine) => {
      machine.wallMs += 4_000;
      machine.clock.nowMs();
      machine.run(1);
      machine.wallMs += 3_000;
    },
    passedMs: 7_001,
  },
  {
    name: 'a wall clock that is set back, without effect',
    simulate: (machine) => {
      machine.run(100);
      machine.wallMs -= 5_000;
    },
    passedMs: 100,
  },
  {
    name: 'a wall clock that is set forward, as a suspension',
    simulate: (machine) => {
      machine.run(100);
      machine.wallMs += 2_000;
    },
    passedMs: 2_100,
  },
  {
    name: 'a wall clock that is set forward and back, once',
    simulate: (machine) => {
      machine.wallMs += 2_000;
      machine.clock.nowMs();
      machine.wallMs -= 2_000;
      machine.clock.nowMs();
    },
    passedMs: 2_000,
  },
  {
    name: 'a suspension after the wall clock was set back',
    simulate: (machine) => {
      machine.wallMs -= 5_000;
      machine.clock.nowMs();
      machine.wallMs += 3_000;
    },
    passedMs: 3_000,
  },
];

for (const { name, simulate, passedMs } of CASES) {
  test(`the clock counts: ${name}`, (t) => {
    const machine = new Machine();
    const startMs = machine.clock.nowMs();
    simulate(machine);
    t.is(machine.clock.nowMs() - startMs, passedMs);
  });
}

test('a drift of 500 ppm between the clocks never adds up to a jump', (t) => {
  const machine = new Machine();
  const startMs = machine.clock.nowMs();
  for (let second = 0; second < 3_600; second += 1) {
    machine.run(1_000, 1.0005);
    machine.clock.nowMs();
  }
  t.is(machine.clock.nowMs() - startMs, 3_600_000);
  t.deepEqual(machine.skips, []);
});

test('a process stopped between the readings of the two clocks does not count the time twice', (t) => {
  const machine = new Machine();
  const startMs = machine.clock.nowMs();
  machine.run(100);
  machine.wallMs += 200;
  machine.afterWall = () => {
    machine.run(6_000);
  };
  t.true(machine.clock.nowMs() - startMs <= 6_300);
  t.is(machine.clock.nowMs() - startMs, 6_300);
});

test('a timer that came due during a suspension fires at once, another after its remaining time', async (t) => {
  let nowMs = 0;
  const timers = new ProcessTimers(() => nowMs);
  const fired: string[] = [];
  const due = new Promise<void>((resolve) => {
    timers.after(60_000, () => {
      fired.push('due');
      resolve();
    });
  });
  const cancelLater = timers.after(120_000, () => fired.push('later'));
  const cancelCalledOff = timers.after(60_000, () => fired.push('called off'));
  cancelCalledOff();
  nowMs = 60_000;
  timers.clockSkipped();
  await due;
  t.deepEqual(fired, ['due']);
  cancelLater();
});
