/** Tests of both grant modes: grants in heartbeat answers and grants by calls. */
import test from 'ava';
import type { DirectoryRequest } from '../../src/directory/directory-messages.js';
import type { KeyRange } from '../../src/directory/directory-state.js';
import type { BackendHeartbeat, GrantResult } from '../../src/sidecar/backend-report.js';
import { HeartbeatGrants } from '../../src/sidecar/heartbeat-grants.js';
import { InvokedGrants } from '../../src/sidecar/invoked-grants.js';
import { OutstandingGrants } from '../../src/sidecar/outstanding-grants.js';
import { ReleaseReporter, type KeyGrantPorts } from '../../src/sidecar/key-grants.js';
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
      holder: 'process',
      send: (request) => {
        this.sent.push(request);
        return true;
      },
      onKeysGained: () => undefined,
    };
  }
}

const isPresent = async (): Promise<boolean> => await Promise.resolve(true);

function heartbeat(sequence: number, parts: Partial<BackendHeartbeat> = {}): BackendHeartbeat {
  const common = { version: 'v1', service: 's', zone: 'z', slots: 2, condition: 'ready' } as const;
  return { ...common, id: 'me', bornMs: null, sequence, coldLeftMs: 0, holds: [], released: [], ...parts };
}

test('heartbeats: owned ranges are granted for at most the remaining lease', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.deadlineMs = world.time.nowMs + 2_000;
  const answer = grants.answer(heartbeat(1), world.time.nowMs);
  t.deepEqual(answer, { ranges: [{ from: 0, to: 99, fence: 5, handover: '' }], holdMs: 2_000 });
  t.true(grants.holds(50));
  world.time.pass(2_000);
  t.false(grants.holds(50), 'the grant has expired');
});

test('heartbeats: nothing is renewed without a lease', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.session = null;
  t.is(grants.answer(heartbeat(1), 0), null);
  world.session = 1;
  world.deadlineMs = world.time.nowMs + 100;
  t.is(grants.answer(heartbeat(2), 0), null);
});

test('heartbeats: a moving range is reported as released only after the back end has released it', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  const held = { holds: [{ from: 0, to: 99, fence: 5 }] };
  grants.recordHeartbeat(heartbeat(1, held));
  grants.answer(heartbeat(1, held), world.time.nowMs);
  world.ranges = [range(0, 49, 5, 'other'), range(50, 99, 5)];
  const rest = [{ from: 50, to: 99, fence: 5, handover: '' }];
  t.deepEqual(grants.answer(heartbeat(2, held), world.time.nowMs)?.ranges, rest);
  t.false(grants.holds(20));
  t.true(grants.holds(70));
  grants.recordHeartbeat(heartbeat(3, held));
  t.deepEqual(world.sent, [], 'the back end still holds the keys');
  const released = {
    holds: [{ from: 50, to: 99, fence: 5 }],
    released: [{ from: 0, to: 49, handover: 'h' }],
  };
  grants.recordHeartbeat(heartbeat(4, released));
  t.like(world.sent, [{ kind: 'released', from: 0, to: 49, fence: 5, handover: 'h', owner: 'me' }]);
});

test('heartbeats: ranges that were released as one share their handover data', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.ranges = [range(0, 49, 5, 'other'), range(50, 99, 5, 'third')];
  grants.answer(heartbeat(1, { holds: [{ from: 0, to: 99, fence: 5 }] }), world.time.nowMs);
  grants.recordHeartbeat(heartbeat(2, { released: [{ from: 0, to: 99, handover: 'h' }] }));
  t.deepEqual(
    world.sent.map((request) => (request.kind === 'released' ? request.handover : '')),
    ['h', 'h'],
  );
});

test('heartbeats: a range is omitted once the back end has reported it under its present fence, in parts or whole', (t) => {
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
  t.deepEqual(grants.answer(heartbeat(3), world.time.nowMs)?.ranges, [], 'the back end has released it');
});

/** Guards against keys that are granted again under the fence under which their release was reported. */
test('heartbeats: released keys are not granted again when their range is merged with another that moves', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.ranges = [range(0, 49, 5, 'other'), range(50, 99, 5)];
  grants.answer(heartbeat(1, { holds: [{ from: 0, to: 99, fence: 5 }] }), 0);
  const rest = { holds: [{ from: 50, to: 99, fence: 5 }] };
  grants.recordHeartbeat(heartbeat(2, rest));
  t.like(world.sent, [{ kind: 'released', from: 0, to: 49, fence: 5 }]);
  world.ranges = [range(0, 99, 5, 'other')];
  t.deepEqual(grants.answer(heartbeat(2, rest), 0)?.ranges, [], 'both parts are to move');
  grants.recordHeartbeat(heartbeat(3, { holds: [] }));
  t.like(world.sent.at(-1), { kind: 'released', from: 0, to: 99, fence: 5 });
  const unconfirmed = new HeartbeatGrants(world.ports());
  world.ranges = [range(0, 49, 5, 'other')];
  unconfirmed.answer(heartbeat(4, { holds: [{ from: 0, to: 99, fence: 5 }] }), 0);
  unconfirmed.recordHeartbeat(heartbeat(5, rest));
  world.ranges = [range(0, 149, 5, 'other')];
  t.deepEqual(
    unconfirmed.answer(heartbeat(5, rest), 0)?.ranges,
    [],
    'keys that were not reported wait for a fence',
  );
  t.like(world.sent.at(-1), { kind: 'raise-fence', from: 0, to: 149, fence: 5 });
});

/** Guards against a list that grows for as long as a reported move is not completed. */
test('a range whose release is reported repeatedly is stored once', (t) => {
  const world = new World();
  const reporter = new ReleaseReporter(world.ports());
  const moving = range(0, 99, 5, 'other');
  world.ranges = [moving];
  for (let report = 0; report < 5; report += 1) {
    reporter.report(moving, 'h');
    world.time.pass(300);
  }
  t.is(world.sent.length, 5);
  t.deepEqual(reporter.reportedParts(moving), [{ from: 0, to: 99, fence: 5 }]);
});

test('heartbeats: a delayed heartbeat from before the answer does not prove a release', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.ranges = [range(0, 99, 5, 'other')];
  grants.answer(heartbeat(7, { holds: [{ from: 0, to: 99, fence: 5 }] }), world.time.nowMs);
  grants.recordHeartbeat(heartbeat(6, { holds: [] }));
  t.deepEqual(world.sent, []);
});

test('heartbeats: after a daemon restart the ranges that the back end reports count as held', (t) => {
  const world = new World();
  const grants = new HeartbeatGrants(world.ports());
  world.session = null;
  grants.recordHeartbeat(heartbeat(9, { holds: [{ from: 0, to: 9, fence: 3 }] }));
  t.true(grants.holds(5));
  t.false(grants.holds(50));
});

class Calls {
  readonly log: string[] = [];
  /** Id of the back end at the called address. */
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

/** Returns grants of a back end that was registered while it owned nothing. */
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

test('calls: a range does not count as held while its grant is unanswered, and the grant is repeated', async (t) => {
  const world = new World();
  const calls = new Calls();
  calls.result = 'unanswered';
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  t.false(grants.holds(5));
  t.true(grants.holdsExpireAtMs > world.time.nowMs, 'the back end may have applied it');
  world.time.pass(100);
  t.is(calls.log.length, 2);
  grants.stop();
});

test('calls: a part of a range is released and the rest stays held', async (t) => {
  const world = new World();
  const calls = new Calls();
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  world.ranges = [range(0, 49, 5, 'other'), range(50, 99, 5)];
  grants.tableChanged();
  t.false(grants.holds(20), 'a range that is being released does not count as held');
  t.true(grants.holds(70));
  await settle();
  t.like(world.sent, [{ kind: 'released', from: 0, to: 49, fence: 5, handover: 'h' }]);
  grants.stop();
});

test('calls: an unanswered release is not reported while the back end may hold the range', async (t) => {
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

test('calls: keys are released only once the back end would refuse outstanding grants', async (t) => {
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

test('calls: a range that an earlier process of the daemon may have granted is fenced before its release', async (t) => {
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

test('calls: released keys are not granted again when their range is merged with another that needs a grant', async (t) => {
  const world = new World();
  const calls = new Calls();
  world.ranges = [range(0, 49, 5, 'other')];
  const grants = invokedGrants(world, calls);
  grants.tableChanged();
  await settle();
  t.like(world.sent.at(-1), { kind: 'released', from: 0, to: 49, fence: 5 });
  world.outstanding.recordInherited({ from: 50, to: 99, fence: 3 });
  world.ranges = [range(0, 99, 5, 'other')];
  grants.tableChanged();
  await settle();
  t.deepEqual(calls.log, ['release 0-49@5']);
  t.like(world.sent.at(-1), { kind: 'raise-fence', from: 0, to: 99, fence: 5 });
  grants.stop();
});

test('calls: after a cancelled move the range counts as held only once it is granted again', async (t) => {
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

test('calls: a grant that was refused for its fence is not repeated under the same fence', async (t) => {
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

test('calls: an unanswered release of merged ranges is not reported while the back end may hold them', async (t) => {
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

test('after a change to heartbeat grants, an unanswered grant call delays the release of its keys', async (t) => {
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
  grants.recordHeartbeat(heartbeat(2));
  t.like(world.sent, [{ kind: 'raise-fence', from: 0, to: 99, fence: 5 }]);
  world.ranges = [range(0, 99, 8, 'other')];
  const granted = { ranges: [{ from: 0, to: 99, fence: 8, handover: '' }] };
  t.like(grants.answer(heartbeat(2), world.time.nowMs), granted, 'the back end must see the higher fence');
  world.sent.length = 0;
  const held = { holds: [{ from: 0, to: 99, fence: 8 }] };
  grants.recordHeartbeat(heartbeat(3, held));
  t.like(grants.answer(heartbeat(3, held), world.time.nowMs), { ranges: [] });
  grants.recordHeartbeat(heartbeat(4));
  t.like(world.sent, [{ kind: 'released', from: 0, to: 99, fence: 8 }]);
});

test('calls: nothing is granted while another incarnation is at the address', async (t) => {
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
