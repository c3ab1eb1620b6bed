/** Both ways of granting keys to a back end. */
import test from 'ava';
import type { DirectoryRequest } from '../../src/directory/directory-messages.js';
import type { KeyRange } from '../../src/directory/directory-state.js';
import type { BackendHeartbeat, GrantResult } from '../../src/sidecar/backend-report.js';
import { HeartbeatGrants } from '../../src/sidecar/heartbeat-grants.js';
import { InvokedGrants } from '../../src/sidecar/invoked-grants.js';
import { OutstandingGrants } from '../../src/sidecar/outstanding-grants.js';
import type { KeyGrantPorts } from '../../src/sidecar/key-grants.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { ManualTime } from './manual-runtime.js';

const HOLD_MS = 6_000;

function range(from: number, to: number, fence: number, movingTo: string | null = null): KeyRange {
  return { from, to, owner: 'me', session: 1, fence, movingTo, handover: '' };
}

class World {
  readonly time = new ManualTime();
  readonly sent: DirectoryRequest[] = [];
  ranges: KeyRange[] = [range(0, 99, 5)];
  readonly outstanding = new OutstandingGrants();
  deadlineMs = 20_000;
  session: number | null = 1;

  ports(): KeyGrantPorts {
    return {
      runtime: this.time.runtime,
      log: SILENT_EVENT_LOG,
      service: 's',
      lease: this as unknown as KeyGrantPorts['lease'],
      owned: {
        list: () => (this.session === null ? [] : this.ranges),
        fenceOf: (key: number) => this.ranges.find(({ from, to }) => key >= from && key <= to)?.fence ?? null,
      } as KeyGrantPorts['owned'],
      holdMs: HOLD_MS,
      outstanding: this.outstanding,
      instance: () => 'me',
      send: (request) => {
        this.sent.push(request);
        return true;
      },
      onGained: () => undefined,
    };
  }
}

const isPresent = async (): Promise<boolean> => await Promise.resolve(true);

function heartbeat(sequence: number, parts: Partial<BackendHeartbeat> = {}): BackendHeartbeat {
  const common = { version: 'v1', service: 's', zone: 'z', slots: 2, condition: 'ready' } as const;
  return { ...common, id: 'me', bornMs: null, sequence, coldLeftMs: 0, holds: [], released: [], ...parts };
}

test('heartbeats: what is owned is granted, for no longer than the lease has left', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.deadlineMs = world.time.nowMs + 2_000;
  const answer = grants.answer(heartbeat(1), world.time.nowMs);
  t.deepEqual(answer, { ranges: [{ from: 0, to: 99, fence: 5, handover: '' }], holdMs: 2_000 });
  t.true(grants.holds(50));
  world.time.pass(2_000);
  t.false(grants.holds(50), 'after its time nothing is sent there');
});

test('heartbeats: without a lease nothing is renewed', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.session = null;
  t.is(grants.answer(heartbeat(1), 0), null);
  world.session = 1;
  world.deadlineMs = world.time.nowMs + 100;
  t.is(grants.answer(heartbeat(2), 0), null);
});

test('heartbeats: a moving range is reported as released only after the back end has let it go', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  const held = { holds: [{ from: 0, to: 99, fence: 5 }] };
  grants.take(heartbeat(1, held));
  grants.answer(heartbeat(1, held), world.time.nowMs);
  world.ranges = [range(0, 49, 5, 'other'), range(50, 99, 5)];
  const rest = [{ from: 50, to: 99, fence: 5, handover: '' }];
  t.deepEqual(grants.answer(heartbeat(2, held), world.time.nowMs)?.ranges, rest);
  t.false(grants.holds(20));
  t.true(grants.holds(70));
  grants.take(heartbeat(3, held));
  t.deepEqual(world.sent, [], 'it still works on the keys');
  const let_go = { holds: [{ from: 50, to: 99, fence: 5 }], released: [{ from: 0, to: 49, handover: 'h' }] };
  grants.take(heartbeat(4, let_go));
  t.like(world.sent, [{ kind: 'released', from: 0, to: 49, fence: 5, handover: 'h', owner: 'me' }]);
});

test('heartbeats: ranges that were let go as one share what was left for the next holder', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.ranges = [range(0, 49, 5, 'other'), range(50, 99, 5, 'third')];
  grants.answer(heartbeat(1, { holds: [{ from: 0, to: 99, fence: 5 }] }), world.time.nowMs);
  grants.take(heartbeat(2, { released: [{ from: 0, to: 99, handover: 'h' }] }));
  t.deepEqual(
    world.sent.map((request) => (request.kind === 'released' ? request.handover : '')),
    ['h', 'h'],
  );
});

test('heartbeats: a range is left out once the back end has shown it under its present fence, in parts or whole', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.ranges = [range(0, 99, 8, 'other')];
  const older = { holds: [{ from: 0, to: 99, fence: 5 }] };
  t.is(grants.answer(heartbeat(1, older), world.time.nowMs)?.ranges.length, 1);
  const parts = {
    holds: [
      { from: 0, to: 49, fence: 8 },
      { from: 50, to: 120, fence: 8 },
    ],
  };
  t.deepEqual(grants.answer(heartbeat(2, parts), world.time.nowMs)?.ranges, []);
  t.deepEqual(grants.answer(heartbeat(3), world.time.nowMs)?.ranges, [], 'it has let go of it');
});

test('heartbeats: a late heartbeat from before the answer proves nothing', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.ranges = [range(0, 99, 5, 'other')];
  grants.answer(heartbeat(7, { holds: [{ from: 0, to: 99, fence: 5 }] }), world.time.nowMs);
  grants.take(heartbeat(6, { holds: [] }));
  t.deepEqual(world.sent, []);
});

test('heartbeats: after a restart of the daemon the back end goes on with what it holds', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.session = null;
  grants.take(heartbeat(9, { holds: [{ from: 0, to: 9, fence: 3 }] }));
  t.true(grants.holds(5));
  t.false(grants.holds(50));
});

class Calls {
  readonly log: string[] = [];
  /** Id of the back end that is called. */
  id = 'me';
  result: GrantResult = 'granted';
  handover: string | null = 'h';

  async identify(): Promise<null> {
    return await Promise.resolve(null);
  }

  async grant(
    id: string,
    granted: { from: number; to: number; fence: number },
    holdMs: number,
  ): Promise<GrantResult> {
    if (id !== this.id) return 'misdirected';
    this.log.push(`grant ${granted.from}-${granted.to}@${granted.fence} for ${holdMs}`);
    return await Promise.resolve(this.result);
  }

  async release(id: string, released: { from: number; to: number; fence: number }): Promise<string | null> {
    if (id !== this.id) return null;
    this.log.push(`release ${released.from}-${released.to}@${released.fence}`);
    return await Promise.resolve(this.handover);
  }
}

/** Grants of a back end that was registered while it owned nothing. */
function invokedGrants(world: World, calls: Calls): InvokedGrants {
  const { ranges } = world;
  world.ranges = [];
  const grants = new InvokedGrants(world.ports(), calls, isPresent);
  grants.tableChanged();
  world.ranges = ranges;
  return grants;
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
}

test('calls: a range counts as held once its grant was answered, and is renewed', async (t) => {
  const world = new World();
  const calls = new Calls();
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  t.false(grants.holds(5));
  await settle();
  t.true(grants.holds(5));
  t.deepEqual(calls.log, ['grant 0-99@5 for 6000']);
  world.time.pass(1_600);
  t.is(calls.log.length, 2);
  grants.stop();
});

test('calls: a grant without answer is not relied on, and is sent again', async (t) => {
  const world = new World();
  const calls = new Calls();
  calls.result = 'unanswered';
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  t.false(grants.holds(5));
  t.true(grants.heldUntil > world.time.nowMs, 'the back end may have taken it');
  world.time.pass(100);
  t.is(calls.log.length, 2);
  grants.stop();
});

test('calls: part of a range is released, and the rest stays held', async (t) => {
  const world = new World();
  const calls = new Calls();
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  world.ranges = [range(0, 49, 5, 'other'), range(50, 99, 5)];
  grants.tableChanged();
  t.false(grants.holds(20), 'nothing more is sent there while it is being released');
  t.true(grants.holds(70));
  await settle();
  t.like(world.sent, [{ kind: 'released', from: 0, to: 49, fence: 5, handover: 'h' }]);
  grants.stop();
});

test('calls: a release without answer is not reported while the back end may hold the range', async (t) => {
  const world = new World();
  const calls = new Calls();
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  calls.handover = null;
  world.ranges = [range(0, 99, 5, 'other')];
  grants.tableChanged();
  await settle();
  t.deepEqual(world.sent, []);
  world.time.pass(HOLD_MS * 1.1);
  await settle();
  grants.tableChanged();
  await settle();
  t.like(world.sent.at(-1), { kind: 'released', handover: '' });
  grants.stop();
});

test('calls: keys leave only once the back end refuses a grant that it may still take', async (t) => {
  const world = new World();
  const calls = new Calls();
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  calls.result = 'unanswered';
  world.time.pass(1_600);
  await settle();
  calls.result = 'granted';
  world.ranges = [range(0, 99, 5, 'other')];
  grants.tableChanged();
  await settle();
  t.like(world.sent, [{ kind: 'raise-fence', from: 0, to: 99, fence: 5 }]);
  world.ranges = [range(0, 99, 8, 'other')];
  calls.log.length = 0;
  for (let step = 0; step < 3; step += 1) {
    grants.tableChanged();
    await settle();
  }
  t.deepEqual(calls.log.slice(0, 2), ['grant 0-99@8 for 6000', 'release 0-99@8']);
  t.like(world.sent.at(-1), { kind: 'released', fence: 8 });
  grants.stop();
});

test('calls: what an earlier life of the daemon may have granted is fenced before it leaves', async (t) => {
  const world = new World();
  const calls = new Calls();
  world.ranges = [range(0, 99, 5, 'other')];
  const grants = new InvokedGrants(world.ports(), calls, isPresent);
  grants.tableChanged();
  await settle();
  t.like(world.sent, [{ kind: 'raise-fence', fence: 5 }]);
  t.deepEqual(calls.log, []);
  grants.stop();
});

test('calls: a move that is called off is granted anew before the range counts as held', async (t) => {
  const world = new World();
  const calls = new Calls();
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  world.ranges = [range(0, 99, 5, 'other')];
  grants.tableChanged();
  await settle();
  world.ranges = [range(0, 99, 5)];
  calls.result = 'unanswered';
  grants.tableChanged();
  await settle();
  t.false(grants.holds(5));
  grants.stop();
});

test('calls: a grant that was refused for its fence is not sent again under the same one', async (t) => {
  const world = new World();
  const calls = new Calls();
  calls.result = 'superseded';
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  for (let step = 0; step < 20; step += 1) {
    world.time.pass(500);
    await settle();
  }
  t.deepEqual(calls.log, ['grant 0-99@5 for 6000']);
  t.true(world.sent.length > 0);
  t.true(world.sent.every((request) => request.kind === 'raise-fence' && request.fence === 5));
  calls.result = 'granted';
  world.ranges = [range(0, 99, 9)];
  grants.tableChanged();
  await settle();
  t.is(calls.log.at(-1), 'grant 0-99@9 for 6000');
  t.true(grants.holds(5));
  grants.stop();
});

test('calls: a release without answer of ranges that were joined is not reported while the back end may hold them', async (t) => {
  const world = new World();
  const calls = new Calls();
  world.ranges = [range(0, 49, 5), range(50, 99, 5)];
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  calls.handover = null;
  world.ranges = [range(0, 99, 5, 'other')];
  grants.tableChanged();
  await settle();
  t.deepEqual(world.sent, []);
  world.time.pass(HOLD_MS * 1.1);
  await settle();
  t.like(world.sent.at(-1), { kind: 'released', handover: '' });
  grants.stop();
});

test('a grant by call that got no answer keeps its keys back when they are granted in heartbeats from then on', async (t) => {
  const world = new World();
  const calls = new Calls();
  const invoked = invokedGrants(world, calls);
  calls.result = 'unanswered';
  invoked.tableChanged();
  await settle();
  invoked.stop();
  const grants = new HeartbeatGrants(world.ports());
  world.ranges = [range(0, 99, 5, 'other')];
  grants.answer(heartbeat(1), world.time.nowMs);
  grants.take(heartbeat(2));
  t.like(world.sent, [{ kind: 'raise-fence', from: 0, to: 99, fence: 5 }]);
  world.ranges = [range(0, 99, 8, 'other')];
  const granted = { ranges: [{ from: 0, to: 99, fence: 8, handover: '' }] };
  t.like(grants.answer(heartbeat(2), world.time.nowMs), granted, 'the back end must see the higher fence');
  world.sent.length = 0;
  const held = { holds: [{ from: 0, to: 99, fence: 8 }] };
  grants.take(heartbeat(3, held));
  t.like(grants.answer(heartbeat(3, held), world.time.nowMs), { ranges: [] });
  grants.take(heartbeat(4));
  t.like(world.sent, [{ kind: 'released', from: 0, to: 99, fence: 8 }]);
});

test('calls: where another life is at the address nothing is granted until the present one is there', async (t) => {
  const world = new World();
  const calls = new Calls();
  const { ranges } = world;
  const there = { isPresent: false, asked: 0 };
  world.ranges = [];
  const grants = new InvokedGrants(world.ports(), calls, async () => {
    there.asked += 1;
    return await Promise.resolve(there.isPresent);
  });
  grants.tableChanged();
  world.ranges = ranges;
  calls.id = 'other';
  grants.tableChanged();
  await settle();
  t.false(grants.holds(5));
  calls.id = 'me';
  world.time.pass(1_000);
  await settle();
  t.deepEqual(calls.log, []);
  t.true(there.asked > 0);
  there.isPresent = true;
  world.time.pass(100);
  await settle();
  world.time.pass(100);
  await settle();
  t.true(grants.holds(5));
  grants.stop();
});
