import test from 'ava';
import type { GrantMode } from '../../../src/directory/directory-state.js';
import { HeldKeys } from '../../../lab/soak/held-keys.js';

class World {
  nowMs = 0;
  readonly keys: HeldKeys;

  constructor(mode: GrantMode) {
    this.keys = new HeldKeys(
      'life',
      () => mode,
      () => this.nowMs,
      () => undefined,
    );
  }
}

test('calls: a grant holds for its duration, counted from its arrival', (t) => {
  const world = new World('invoke');
  t.true(world.keys.grant({ from: 0, to: 9, fence: 1, holdMs: 100 }));
  t.true(world.keys.holds(5));
  t.false(world.keys.holds(10));
  world.nowMs = 100;
  t.false(world.keys.holds(5));
});

test('calls: a grant under a lower fence is refused, one under a higher fence is accepted', (t) => {
  const { keys } = new World('invoke');
  keys.grant({ from: 0, to: 9, fence: 5, holdMs: 100 });
  t.false(keys.grant({ from: 5, to: 20, fence: 4, holdMs: 100 }));
  t.true(keys.grant({ from: 0, to: 9, fence: 6, holdMs: 100 }));
});

test('calls: the highest fence is kept after its keys were released', (t) => {
  const { keys } = new World('invoke');
  keys.grant({ from: 0, to: 9, fence: 5, holdMs: 100 });
  keys.release({ from: 0, to: 9, fence: 5, holdMs: 0 });
  t.false(keys.grant({ from: 9, to: 20, fence: 4, holdMs: 100 }));
  t.true(keys.grant({ from: 10, to: 20, fence: 4, holdMs: 100 }));
});

test('calls: a grant of part of a range leaves the rest held until its own expiry', (t) => {
  const world = new World('invoke');
  world.keys.grant({ from: 0, to: 9, fence: 5, holdMs: 100 });
  world.nowMs = 50;
  world.keys.grant({ from: 0, to: 4, fence: 6, holdMs: 100 });
  t.true(world.keys.holds(7));
  world.nowMs = 100;
  t.deepEqual([world.keys.holds(4), world.keys.holds(7)], [true, false]);
});

test('calls: part of a range is released, and the rest stays held', (t) => {
  const { keys } = new World('invoke');
  keys.grant({ from: 0, to: 9, fence: 5, holdMs: 100 });
  keys.release({ from: 3, to: 5, fence: 5, holdMs: 0 });
  t.deepEqual(
    [2, 3, 5, 6].map((key) => keys.holds(key)),
    [true, false, false, true],
  );
});

test('heartbeats: an answer grants all held ranges, for a duration counted from the sending of the heartbeat', (t) => {
  const world = new World('heartbeat');
  world.nowMs = 50;
  world.keys.applyAnswer({ ranges: [{ from: 0, to: 9, fence: 1, handover: '' }], holdMs: 100 }, 10);
  t.true(world.keys.holds(9));
  world.nowMs = 110;
  t.false(world.keys.holds(9));
  t.deepEqual(world.keys.report(), { holds: [], released: [] });
});

test('heartbeats: a range missing in an answer is reported as released, and keys still worked on as held', (t) => {
  const { keys } = new World('heartbeat');
  keys.applyAnswer({ ranges: [{ from: 0, to: 9, fence: 1, handover: '' }], holdMs: 100 }, 0);
  keys.begin(4);
  keys.applyAnswer({ ranges: [], holdMs: 100 }, 0);
  const { holds, released } = keys.report();
  t.deepEqual(holds, [{ from: 4, to: 4, fence: 0 }]);
  t.like(released, [{ from: 0, to: 9 }]);
  keys.end(4);
  t.deepEqual(keys.report().holds, []);
});

test('heartbeats: a row under a lower fence than the highest seen is ignored', (t) => {
  const { keys } = new World('heartbeat');
  keys.applyAnswer({ ranges: [{ from: 0, to: 9, fence: 5, handover: '' }], holdMs: 100 }, 0);
  keys.applyAnswer({ ranges: [{ from: 0, to: 9, fence: 4, handover: '' }], holdMs: 100 }, 10);
  t.false(keys.holds(3));
});

test('heartbeats: an answer without a grant changes nothing', (t) => {
  const { keys } = new World('heartbeat');
  keys.applyAnswer({ ranges: [{ from: 0, to: 9, fence: 1, handover: '' }], holdMs: 100 }, 0);
  keys.applyAnswer(null, 50);
  t.true(keys.holds(3));
});
